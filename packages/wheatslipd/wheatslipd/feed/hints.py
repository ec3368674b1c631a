"""Acts on hints: requests and answers carry the version that their sender has in force."""

import asyncio
from contextlib import aclosing, suppress
from random import Random

from wheatslip.store.instances import Instance

from wheatslipd.feed.intake import Intake
from wheatslipd.feed.reader import PlatformReader
from wheatslipd.feed.relay import RelayServer, follow_parent
from wheatslipd.telemetry import logs
from wheatslipd.tls import PeerTls

# Seconds, half to one and a half times, in which the version may come by the tree before the
# daemon that gave the hint is asked.
HINT_DELAY = 0.25
# Seconds in which the daemon that gave the hint may send the version before the platform is
# read.
HINT_TIMEOUT = 1.5
# Seconds between two hints that are acted on, which bounds the reads of the platform that hints
# cause.
HINT_SPACING = 1.0


class Hints:
    """Gets the version that a hint names, if the tree does not bring it in time.

    Asks the daemon that gave the hint first. The platform is the last resort: it would send the
    whole configuration, and to all daemons of a zone at once, because they get their hints in
    the same moment.
    """

    def __init__(
        self,
        name: str,
        relay: RelayServer,
        intake: Intake,
        reader: PlatformReader,
        tls: PeerTls,
        rng: Random,
    ):
        self._name = name
        self._relay = relay
        self._intake = intake
        self._reader = reader
        self._tls = tls
        self._rng = rng
        self._given = asyncio.Event()
        self._version = 0  # the newest that was hinted
        self._address = ""  # of the daemon that gave the last hint; empty: unknown

    def give(self, version: int, address: str = "") -> None:
        """Message: the daemon at `address` knows this newer version."""
        self._version = max(self._version, version)
        self._address = address or self._address
        self._given.set()

    async def run(self) -> None:
        """Run until cancelled."""
        while True:
            await self._given.wait()
            self._given.clear()
            await asyncio.sleep(HINT_DELAY * (0.5 + self._rng.random()))
            if self._intake.version >= self._version:
                continue
            with suppress(TimeoutError):
                async with asyncio.timeout(HINT_TIMEOUT):
                    await self._ask(self._address)
            if self._intake.version < self._version:
                await self._reader.read_head()
            await asyncio.sleep(HINT_SPACING)

    async def _ask(self, address: str) -> None:
        """Take one update from the daemon at `address`."""
        if not address:
            return
        listed = (i for i in self._intake.cache.instances.values() if i.address == address)
        # A daemon that has just started has no list. All daemons usually have the same ports.
        guessed = Instance("", "", "", address, 0, 0, self._relay.port)
        instance = next(listed, guessed)
        logs.info("asking-daemon", address=address, hinted_version=self._version)
        cursor = self._intake.cache.cursor(self._name)
        async with aclosing(follow_parent(instance, cursor, self._tls)) as updates:
            async for update in updates:
                self._intake.take_update(update, instance.name)
                return
