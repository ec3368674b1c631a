"""How long a caller has waited already, told from the deadline that it sends.

Callers that come back after a refusal send what is left of their deadline. Those of one
route commonly start with the same one, so what is missing of the longest seen lately is the
time that has gone by since their first attempt.
"""

from collections import OrderedDict
from dataclasses import dataclass, field

WINDOW = 10.0  # seconds in which the longest deadline of a route is looked for, at least
MAX_ROUTES = 10_000
FIRST_SHARE = 0.97  # part of the longest from which on an attempt counts as a first one


@dataclass(slots=True)
class _Longest:
    """The longest deadline since `since`, and that of the window before."""

    since: float
    present: float = 0.0
    before: float = 0.0


@dataclass(slots=True)
class Patience:
    """The longest deadlines by route, in seconds."""

    _routes: OrderedDict[str, _Longest] = field(default_factory=OrderedDict)

    def waited(self, route: str, remaining: float, now: float) -> float:
        """Seconds that a caller with `remaining` left has waited; 0 for a first attempt."""
        longest = self._routes.get(route)
        if longest is None:
            longest = self._routes[route] = _Longest(now)
            if len(self._routes) > MAX_ROUTES:
                self._routes.popitem(last=False)
        if now - longest.since >= WINDOW:
            longest.before = longest.present
            longest.present = 0.0
            longest.since = now
        longest.present = max(longest.present, remaining)
        full = max(longest.present, longest.before)
        return 0.0 if remaining >= FIRST_SHARE * full else full - remaining
