"""How a request may run at the local backend server: at once, alone among suspects, or not.

While one suspect runs, other suspects wait for it: when the server ends under it, no other one
ran there, and the innocent ones among them are answered sooner or later. Requests that nothing
is held against go on beside it.
"""

import asyncio
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager

from wheatslip.call import UNLIMITED, Call
from wheatslip.outcome import NotRun
from wheatslip.quarantine import Quarantine, Standing
from wheatslip.retryafter import SUSPECT_RUNS, held_refusal

# Seconds that a suspect waits for another one at the most: some service times. Longer, one that
# hangs holds up all; shorter, innocent ones are refused while they could still be answered.
LANE_SECONDS = 1.0


class SuspectGuard:
    """Lets requests pass to one backend server by what is held against them."""

    def __init__(
        self,
        quarantine: Quarantine,
        clock: Callable[[], float],
        unix: Callable[[], float],
    ):
        """`clock` is monotonic; both are in seconds."""
        self._quarantine = quarantine
        self._clock = clock
        self._unix = unix
        self._lane = asyncio.Lock()

    @asynccontextmanager
    async def passing(
        self, call: Call, fingerprint: str, max_wait: float, *, was_suspected: bool
    ) -> AsyncIterator[NotRun | None]:
        """Hold the request's place while it runs; gives the refusal if it may not run now.

        `was_suspected`: its entry has seen a server end under it. `max_wait`: seconds that it
        may wait for other suspects.
        """
        standing = self._standing(fingerprint)
        if standing is Standing.FREE and not was_suspected:
            yield None
        elif standing is Standing.HELD:
            yield self._refusal(fingerprint)
        elif await self._enter_lane(call, max_wait):
            try:
                yield self._refusal(fingerprint)
            finally:
                self._lane.release()
        else:
            yield SUSPECT_RUNS

    def answered(self, fingerprint: str) -> None:
        """The server answered the request without failing, so it does not end servers."""
        self._quarantine.answered(fingerprint)

    def _standing(self, fingerprint: str) -> Standing:
        if not len(self._quarantine):
            return Standing.FREE
        return self._quarantine.standing(fingerprint, self._unix())

    def _refusal(self, fingerprint: str) -> NotRun | None:
        """The refusal of a request that is held; None if it is not."""
        seconds = self._quarantine.held_for(fingerprint, self._unix())
        return held_refusal(seconds) if seconds > 0 else None

    async def _enter_lane(self, call: Call, max_wait: float) -> bool:
        """Wait until no other suspect runs here; False if that takes too long."""
        now = self._clock()
        until = call.deadline if call.hold_until >= UNLIMITED else call.hold_until
        try:
            async with asyncio.timeout(max(0.0, min(max_wait, until - now, LANE_SECONDS))):
                await self._lane.acquire()
        except TimeoutError:
            return False
        return True
