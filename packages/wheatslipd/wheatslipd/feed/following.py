"""Follows other daemons, one after the other, for what they know of the platform."""

import asyncio
from contextlib import aclosing, suppress
from random import Random

from wheatslip.store.instances import Instance

from wheatslipd.feed.intake import Intake
from wheatslipd.feed.place import Place
from wheatslipd.feed.reader import PlatformReader
from wheatslipd.feed.relay import follow_parent
from wheatslipd.telemetry import logs
from wheatslipd.tls import PeerTls

STALE_SECONDS = 15.0  # a parent whose news are not confirmed for so long is left
TURN_SECONDS = 0.2  # pause before the next parent is tried
# Pause before the parents are tried again that all failed; the platform was read instead, which
# bounds what a zone without its first daemons costs.
IN_VAIN_SECONDS = 1.0


class ParentFollower:
    """Follows the parents of one daemon."""

    def __init__(
        self, place: Place, intake: Intake, reader: PlatformReader, tls: PeerTls, rng: Random
    ):
        self._place = place
        self._intake = intake
        self._reader = reader
        self._tls = tls
        self._rng = rng
        self.parent = ""  # the daemon that is followed now

    async def run(self) -> None:
        """Follow one parent after the other until this daemon's role changes.

        When none of them has news, all of them may be gone, or the list that names them is
        old, and the list with whom to follow instead comes from the platform alone.
        """
        in_vain = 0
        turn = 0
        while not self._place.role_changed.is_set():
            if self._place.parents_changed.is_set():
                self._place.parents_changed.clear()
                in_vain = 0
                turn = 0
            parents = self._place.parents()
            if in_vain >= len(parents):
                await self._read_platform(len(parents))
                await self._rest(IN_VAIN_SECONDS)
                in_vain = 0
                continue
            had_news = await self._follow(parents[turn % len(parents)])
            in_vain = 0 if had_news else in_vain + 1
            turn += 1
            await self._rest(TURN_SECONDS)

    async def _read_platform(self, tried: int) -> None:
        """Read from the platform what the parents would have brought.

        A watcher reads the configuration anyway, and one of a zone the list. The other one has
        the list from its parents alone: with an old list it would try old addresses for ever.
        """
        if self._place.watches_list:
            return
        logs.warning(
            "parents-without-news",
            tried=tried,
            listed=self._intake.cache.listed,
            repeat_key="parents-without-news",
        )
        if self._place.watches:
            await self._reader.read_list(stale_ok=True)
        else:
            await self._reader.read_all()

    async def _rest(self, seconds: float) -> None:
        """Sleep for about so long, or until there are other parents."""
        with suppress(TimeoutError):
            async with asyncio.timeout(seconds * (0.5 + self._rng.random())):
                await self._place.parents_changed.wait()

    async def _follow(self, parent: str) -> bool:
        """Follow one parent until it fails or there are others; whether it had news."""
        instance = self._intake.cache.instances.get(parent)
        if instance is None or not instance.control_port:
            return False
        logs.info("following", parent=parent)
        self.parent = parent
        reading = asyncio.ensure_future(self._read(instance))
        moving = asyncio.ensure_future(self._place.parents_changed.wait())
        try:
            await asyncio.wait({reading, moving}, return_when=asyncio.FIRST_COMPLETED)
        finally:
            self.parent = ""
            for task in (reading, moving):
                task.cancel()
            await asyncio.gather(reading, moving, return_exceptions=True)
        return reading.result() if not reading.cancelled() else False

    async def _read(self, parent: Instance) -> bool:
        """Take a parent's updates until it fails, or the platform has not answered it, or those
        that it follows, for long; whether it had news.
        """
        loop = asyncio.get_running_loop()
        had_news = False
        heard = 0.0  # the latest `as_of` of the parent
        heard_at = loop.time()
        before = self._intake.cache.as_of
        cursor = self._intake.cache.cursor(self._place.name)
        async with aclosing(follow_parent(parent, cursor, self._tls)) as updates:
            async for update in updates:
                had_news |= update.as_of > before or update.listed > cursor.listed
                if update.as_of > heard:
                    heard = update.as_of
                    heard_at = loop.time()
                self._intake.take_update(update)
                if loop.time() - heard_at > STALE_SECONDS:
                    break
        return had_news
