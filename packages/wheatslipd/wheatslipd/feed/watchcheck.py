"""Finds out that the watches of the platform hear nothing any more, without an error."""

import asyncio
from collections.abc import Callable

from wheatslipd.feed.access import PlatformAccess
from wheatslipd.feed.reader import PlatformReader

# Seconds between two proofs that the head in force is the platform's, each a call at the full
# price. In between, another daemon or cheap reads of the head bring what a silent watch misses.
PROOF_SECONDS = 4.0
# The same where nothing else brings it: at a check each second, at every one.
LONE_PROOF_SECONDS = 0.75
# Longest configuration that is read at each check. Some platforms answer a read of the head
# with the whole configuration, and one of 700 kB takes a second of a narrow link.
SHORT_BYTES = 20_000


class WatchCheck:
    """Calls the platform beside the watches of one daemon, on other connections.

    Only an answer that tells what the head is confirms it. That the platform answers at all
    shows no more than that calls pass.
    """

    def __init__(
        self, access: PlatformAccess, reader: PlatformReader, has_parent: Callable[[], bool]
    ):
        """`has_parent` returns whether another daemon brings changes too."""
        self._access = access
        self._has_parent = has_parent
        self._reader = reader
        self._cache = access.intake.cache
        self._proved_at = -PROOF_SECONDS  # the loop's time of the last proof

    async def run(self) -> None:
        """Return when the platform answers after it did not: the watches may hear nothing."""
        await self._until(answered=False)
        await self._until(answered=True)

    async def _until(self, *, answered: bool) -> None:
        """Call the platform until it answers, or until it does not."""
        backoff = self._access.backoff()
        period = self._access.pace.watch_check
        while True:
            await asyncio.sleep(backoff.next() if answered else period)
            if await self._is_answered() == answered:
                return

    async def _is_answered(self) -> bool:
        now = asyncio.get_running_loop().time()
        is_short = self._cache.bundle_bytes <= SHORT_BYTES
        is_alone = not is_short and not self._has_parent()
        proof_seconds = LONE_PROOF_SECONDS if is_alone else PROOF_SECONDS
        if now >= self._proved_at + proof_seconds:
            self._proved_at = now
            return await self._reader.prove_head()
        if is_short:
            return await self._reader.read_head(stale_ok=True)
        return await self._reader.read_own_entry()
