"""Mean service time of each kind of request at the usual speed of one backend server."""

from collections import OrderedDict
from dataclasses import dataclass, field

MEAN_WEIGHT = 0.1  # weight of one response in the moving average of its kind
# Limits memory, as callers may send any name; the oldest kind is evicted.
MAX_KINDS = 1000


@dataclass(slots=True)
class ServiceTimes:
    """Moving averages by kind, in seconds."""

    _means: OrderedDict[str, float] = field(default_factory=OrderedDict)

    def observe(self, kind: str, service_time: float) -> None:
        """Records a service time, in seconds at the usual speed of the server."""
        mean = self._means.get(kind)
        self._means[kind] = (
            service_time if mean is None else mean + MEAN_WEIGHT * (service_time - mean)
        )
        if len(self._means) > MAX_KINDS:
            self._means.popitem(last=False)

    def mean(self, kind: str) -> float | None:
        """Returns the mean of a kind, or None before its first response."""
        return self._means.get(kind)
