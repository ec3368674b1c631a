"""Handles hints: requests and responses carry the bundle version in force at the sender."""

import asyncio
import time
from collections.abc import Callable
from contextlib import aclosing, suppress
from random import Random

from wheatslip.store.instances import Instance

from wheatslipd.feed.cachewriter import CacheWriter
from wheatslipd.feed.reader import PlatformReader
from wheatslipd.feed.relay import RelayServer, follow_parent
from wheatslipd.telemetry import logs
from wheatslipd.timeouts import reply_timeout
from wheatslipd.tls import PeerTls

HINT_DELAY_SECONDS = 0.25  # mean wait for the version to arrive through the relay tree
HINT_TIMEOUT_SECONDS = 1.5  # for the daemon that gave the hint to send the version
HINT_INTERVAL_SECONDS = 1.0  # pause after each hint; limits the reads of the platform


class HintHandler:
    """Fetches the bundle version named by a hint if the relay tree does not deliver it in time.

    It asks the daemon that gave the hint first, and reads the platform only if that fails. All
    daemons of a zone get hints at the same time and would load the platform at once.
    """

    def __init__(
        self,
        name: str,
        relay: RelayServer,
        cache_writer: CacheWriter,
        reader: PlatformReader,
        tls: PeerTls,
        rng: Random,
        monotonic: Callable[[], float] = time.monotonic,
    ):
        self._name = name
        self._monotonic = monotonic
        self._relay = relay
        self._cache_writer = cache_writer
        self._reader = reader
        self._tls = tls
        self._rng = rng
        self._hint_received = asyncio.Event()
        self._version = 0  # the newest in any hint
        self._address = ""  # of the daemon that gave the latest hint; empty if unknown

    def add(self, version: int, address: str = "") -> None:
        """Record a hint: the daemon at `address` has this newer version."""
        self._version = max(self._version, version)
        self._address = address or self._address
        self._hint_received.set()

    async def run(self) -> None:
        """Run until cancelled."""
        while True:
            await self._hint_received.wait()
            self._hint_received.clear()
            await asyncio.sleep(HINT_DELAY_SECONDS * (0.5 + self._rng.random()))
            if self._cache_writer.version >= self._version:
                continue
            with suppress(TimeoutError):
                async with reply_timeout(HINT_TIMEOUT_SECONDS, "hinting-daemon"):
                    await self._fetch_from(self._address)
            if self._cache_writer.version < self._version:
                await self._reader.read_head()
            await asyncio.sleep(HINT_INTERVAL_SECONDS)

    async def _fetch_from(self, address: str) -> None:
        """Apply one update from the daemon at `address`."""
        if not address:
            return
        listed = (
            i for i in self._cache_writer.cache.instances.values() if i.address == address
        )
        # Without a list, assume the port of this daemon: daemons usually use the same ports.
        assumed = Instance("", "", "", address, 0, 0, self._relay.port)
        instance = next(listed, assumed)
        logs.info("asking-daemon", address=address, hinted_version=self._version)
        cursor = self._cache_writer.cache.cursor(self._name)
        stream = follow_parent(instance, cursor, self._tls, self._monotonic)
        async with aclosing(stream) as updates:
            async for update in updates:
                self._cache_writer.apply_update(update, instance.name)
                return
