"""What each kind of request takes at one backend server when it is as fast as usual."""

from collections import OrderedDict
from dataclasses import dataclass, field

# Weight of one answer in the mean of its kind: about the last ten count.
WEIGHT = 0.1
# Kinds that are remembered, so that made-up names don't take memory without bound; the kind
# that was seen first goes first.
MAX_KINDS = 1000


@dataclass(slots=True)
class ServiceTimes:
    """Moving means by kind, in seconds."""

    _means: OrderedDict[str, float] = field(default_factory=OrderedDict)

    def observe(self, kind: str, took: float) -> None:
        """One request of a kind took so long, at the usual speed."""
        mean = self._means.get(kind)
        self._means[kind] = took if mean is None else mean + WEIGHT * (took - mean)
        if len(self._means) > MAX_KINDS:
            self._means.popitem(last=False)

    def of(self, kind: str) -> float | None:
        """The mean of a kind, None before its first answer."""
        return self._means.get(kind)
