"""How long a kept connection may have rested before it is not trusted any more.

Some backend servers forget idle connections without a word and reset the next request on
them. Whether such a request ran can't be known, so one that may run only once is lost. A
reset on a connection that had rested says after how long this happens. Pure; seconds.
"""

from dataclasses import dataclass

MARGIN = 0.5  # part of the rest that ended in a reset that is still trusted
MEMORY = 10.0  # seconds after the last such reset until any rest is trusted again
LONG_ENOUGH = 0.05  # shorter rests don't explain a reset


@dataclass(slots=True)
class RestLimit:
    """What the resets of one backend server tell of its idle connections."""

    _trusted: float = float("inf")
    _learned_at: float = float("-inf")

    def on_reset(self, rested: float, now: float) -> None:
        """A request was reset on a connection that had rested for so long."""
        if rested < LONG_ENOUGH:
            return
        self._trusted = min(self.trusted(now), MARGIN * rested)
        self._learned_at = now

    def trusted(self, now: float) -> float:
        """The longest rest after which a connection should still be used."""
        return self._trusted if now - self._learned_at < MEMORY else float("inf")
