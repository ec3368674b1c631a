"""Limits the idle time after which a pooled connection may be reused.

Some backend servers drop idle connections without closing them and reset the next request. It
is unknown whether that request ran, so it cannot be retried if it may run only once. The limit
is learned from the idle times of connections that were reset. Does no I/O; times are in
seconds.
"""

from dataclasses import dataclass

# Part of the idle time before a reset that is still allowed. With more the next connection may
# be reset too, with less connections are opened needlessly.
IDLE_FRACTION = 0.5
# Time after the last such reset until the limit is dropped: the server may have been replaced.
LIMIT_VALID_SECONDS = 10.0
MIN_IDLE_SECONDS = 0.05  # a reset after a shorter idle time has another cause


@dataclass(slots=True)
class IdleLimit:
    """The longest idle time allowed for connections to one backend server."""

    _max_idle: float = float("inf")
    _learned_at: float = float("-inf")

    def on_reset(self, idle_seconds: float, now: float) -> None:
        """A request was reset on a connection that had been idle for `idle_seconds` seconds."""
        if idle_seconds < MIN_IDLE_SECONDS:
            return
        self._max_idle = min(self.max_idle(now), IDLE_FRACTION * idle_seconds)
        self._learned_at = now

    def max_idle(self, now: float) -> float:
        """The longest idle time after which a connection may be reused; `inf`: unlimited."""
        return self._max_idle if now - self._learned_at < LIMIT_VALID_SECONDS else float("inf")
