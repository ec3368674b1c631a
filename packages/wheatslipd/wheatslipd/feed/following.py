"""Follows other daemons, one after the other, for what they know of the platform."""

import asyncio
from collections.abc import Callable
from contextlib import aclosing, suppress

from wheatslip.store.instances import Instance

from wheatslipd.feed.access import PlatformAccess
from wheatslipd.feed.place import Place
from wheatslipd.feed.reader import PlatformReader
from wheatslipd.feed.relay import follow_parent
from wheatslipd.feed.tasks import until_first_ends
from wheatslipd.telemetry import logs
from wheatslipd.tls import PeerTls

# Seconds for which a parent may send the same `as_of` before the next parent is tried: some
# heartbeats for each step of the tree.
STALE_TIMEOUT = 15.0
NEXT_PARENT_PAUSE = 0.2  # seconds before the next parent is tried
# Seconds before the parents are tried again after all of them failed. The platform is read once
# in that time, so this bounds what a zone without its watchers costs.
ROUND_PAUSE = 1.0


def list_timeout(list_watch: float) -> float:
    """Seconds for which a parent may send the same `checked`: two watches of the list, which
    confirm it at their ends, beside the time of the way.
    """
    return STALE_TIMEOUT + 2 * list_watch


class Progress:
    """Whether a time that a parent sends still grows."""

    def __init__(self, timeout: float, now: float):
        """`timeout`: seconds without growth after which it is stale."""
        self._timeout = timeout
        self._latest = 0.0
        self._latest_at = now

    def take(self, value: float, now: float) -> None:
        """Take the time in an update that came now."""
        if value > self._latest:
            self._latest = value
            self._latest_at = now

    def age(self, now: float) -> float:
        """Seconds since it has grown."""
        return round(now - self._latest_at, 1)

    def is_stale(self, now: float) -> bool:
        """Whether it has not grown for longer than the time-out."""
        return now - self._latest_at > self._timeout


class ParentFollower:
    """Follows the parents of one daemon."""

    def __init__(
        self, place: Place, access: PlatformAccess, reader: PlatformReader, tls: PeerTls
    ):
        self._place = place
        self._intake = access.intake
        self._list_watch = access.pace.list_watch
        self._rng = access.rng
        self._reader = reader
        self._tls = tls
        self.parent = ""  # the daemon that is followed now; empty: none
        # Called when another parent is followed.
        self.on_parent: Callable[[], None] = lambda: None

    async def run(self) -> None:
        """Follow one parent after the other until this daemon's role changes.

        When no parent has news, all of them may be gone, or the list that names them may be
        old. Only the platform then has the list with the daemons to follow instead.
        """
        without_news = 0  # parents tried since the last one that had news
        tried = 0
        while not self._place.role_changed.is_set():
            if self._place.parents_changed.is_set():
                self._place.parents_changed.clear()
                without_news = 0
                tried = 0
            parents = self._place.parents()
            if without_news >= len(parents):
                await self._read_platform(len(parents))
                await self._rest(ROUND_PAUSE)
                without_news = 0
                continue
            had_news = await self._follow(parents[tried % len(parents)])
            without_news = 0 if had_news else without_news + 1
            tried += 1
            await self._rest(NEXT_PARENT_PAUSE)

    async def _read_platform(self, tried: int) -> None:
        """Read from the platform what the parents would have brought.

        Each watcher reads the configuration by itself, and one watcher of each zone reads the
        list. The others have the list from their parents alone: with an old list they would try
        old addresses without end.
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
        """Sleep for half to one and a half times `seconds`, or until the parents change."""
        with suppress(TimeoutError):
            async with asyncio.timeout(seconds * (0.5 + self._rng.random())):
                await self._place.parents_changed.wait()

    async def _follow(self, parent: str) -> bool:
        """Follow one parent until it fails or the parents change; whether it had news."""
        instance = self._intake.cache.instances.get(parent)
        if instance is None or not instance.control_port:
            return False
        logs.info("following", parent=parent)
        self.parent = parent
        self.on_parent()
        try:
            had_news, _ = await until_first_ends(
                self._read(instance), self._place.parents_changed.wait()
            )
        finally:
            self.parent = ""
        return bool(had_news)

    async def _read(self, parent: Instance) -> bool:
        """Take a parent's updates until it fails or has become stale; whether it had news.

        `as_of` stands still when the platform does not answer the watchers from which the
        parent has its news, or when daemons follow each other in a circle. A watcher that does
        not watch the list follows a parent for the list only. There `checked`, the time at
        which the list was confirmed, counts instead: two such watchers that follow each other
        keep their heads fresh by their own watches, but nobody brings them a list.
        """
        loop = asyncio.get_running_loop()
        needs_list = self._place.watches and not self._place.watches_list
        head = Progress(STALE_TIMEOUT, loop.time())
        listed = Progress(list_timeout(self._list_watch), loop.time())
        had_news = False
        cache = self._intake.cache
        before = cache.checked if needs_list else cache.as_of
        cursor = cache.cursor(self._place.name)
        async with aclosing(follow_parent(parent, cursor, self._tls)) as updates:
            async for update in updates:
                confirmed = update.checked if needs_list else update.as_of
                had_news |= confirmed > before or update.listed > cursor.listed
                head.take(update.as_of, loop.time())
                listed.take(update.checked, loop.time())
                self._intake.take_update(update, parent.name)
                now = loop.time()
                if head.is_stale(now) or (needs_list and listed.is_stale(now)):
                    logs.info("parent-stale", parent=parent.name, head_age=head.age(now))
                    break
        return had_news
