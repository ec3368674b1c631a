"""How long a kept connection may have been idle before it is no longer used.

Some backend servers drop idle connections without closing them and reset the next request on
them. Whether such a request ran can't be known, so one that may run only once is lost. A reset
on a connection that had been idle shows after how long this happens. Pure; seconds.
"""

from dataclasses import dataclass

# Part of the idle time before a reset that is still trusted: more, and the next connection is
# reset as well; less, and connections are opened that were not needed.
MARGIN = 0.5
# Seconds after the last such reset until any idle time is trusted again, as the server may have
# been replaced.
MEMORY = 10.0
# Seconds; a reset after a shorter idle time has another cause.
LONG_ENOUGH = 0.05


@dataclass(slots=True)
class RestLimit:
    """The idle time that one backend server is known to allow."""

    _trusted: float = float("inf")
    _learned_at: float = float("-inf")

    def on_reset(self, rested: float, now: float) -> None:
        """A request was reset on a connection that had been idle for `rested` seconds."""
        if rested < LONG_ENOUGH:
            return
        self._trusted = min(self.trusted(now), MARGIN * rested)
        self._learned_at = now

    def trusted(self, now: float) -> float:
        """The longest idle time, in seconds, after which a connection should still be used."""
        return self._trusted if now - self._learned_at < MEMORY else float("inf")
