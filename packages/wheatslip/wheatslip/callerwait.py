"""How long a caller has waited already, computed from the deadline that it sends.

A caller that comes back after a refusal sends what is left of its deadline. The callers of one
route commonly start with the same deadline, so the difference to the longest one seen lately is
the time since the caller's first attempt. Seconds.
"""

from collections import OrderedDict
from dataclasses import dataclass, field

# Seconds, at least, in which the longest deadline of a route is looked for. Shorter, a pause
# between first attempts hides the full deadline; longer, a shorter one counts as waiting for
# longer after callers have changed theirs.
LONGEST_WINDOW = 10.0
MAX_ROUTES = 10_000  # bounds the memory; the route added first is dropped
# Part of the longest deadline from which on an attempt counts as a first one: callers send what
# is left when they write, a little less than they have.
FIRST_SHARE = 0.97


@dataclass(slots=True)
class _Longest:
    """The longest deadline since `since`, and that of the window before."""

    since: float
    present: float = 0.0
    before: float = 0.0


@dataclass(slots=True)
class CallerWait:
    """The longest deadlines by route, in seconds."""

    _routes: OrderedDict[str, _Longest] = field(default_factory=OrderedDict)

    def waited(self, route: str, remaining: float, now: float) -> float:
        """Seconds that a caller with `remaining` left has waited; 0 for a first attempt."""
        longest = self._routes.get(route)
        if longest is None:
            longest = self._routes[route] = _Longest(now)
            if len(self._routes) > MAX_ROUTES:
                self._routes.popitem(last=False)
        if now - longest.since >= LONGEST_WINDOW:
            longest.before = longest.present
            longest.present = 0.0
            longest.since = now
        longest.present = max(longest.present, remaining)
        full = max(longest.present, longest.before)
        return 0.0 if remaining >= FIRST_SHARE * full else full - remaining
