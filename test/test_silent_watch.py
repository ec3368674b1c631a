"""A watch that says nothing more, while all other calls to the platform are answered.

What happened: a reader heard of a change 16 s late, and meanwhile told its followers that the
platform had just confirmed its version: a read of its own list entry counted as confirmation.
"""

import asyncio
import time
from random import Random

import msgspec
import pytest
from result import Err, Ok
from wheatslip.config.bundle import Bundle, Route, Split
from wheatslip.config.head import BUNDLE_KIND, HEAD_KIND, Head
from wheatslip.config.signedbundle import SignedBundle
from wheatslip.store.objects import Listing, StoredObject, Unavailable
from wheatslipd.controllers.bus import Bus
from wheatslipd.feed.feed import Feed, FeedDependencies, LocalDaemon
from wheatslipd.feed.feedsettings import FeedSettings
from wheatslipd.feed.verifier import TrustedPlatformVerifier
from wheatslipd.tls import PeerTls

from standins.cluster import eventually
from test.helper import run

IN_FORCE_SECONDS = 2.0  # from the write, beside the time that a read takes
WATCH = 20.0


class DeafStore:
    """A platform whose watches of the head never answer, but for those that do not wait.

    With `has_head` off no call that tells the head is answered, and all others are. Where a
    read takes long, the configuration is long.
    """

    def __init__(self, read_seconds):
        self.calls = 0
        self.version = 1
        self.has_head = True
        self._read_seconds = read_seconds
        self._is_long = read_seconds > 0.1
        self._bundle = self._make_bundle()

    def change(self):
        self.version += 1
        self._bundle = self._make_bundle()

    def _make_bundle(self):
        count = 1400 if self._is_long else 1
        routes = (Route(f"{n:04}", f"{n}.example", "/", (Split("a"),)) for n in range(count))
        return Bundle(self.version, routes=tuple(routes))

    async def close(self):
        pass

    async def get(self, kind, name, *, stale_ok=False):
        match kind:
            case _ if kind == HEAD_KIND:
                return await self._read_head()
            case _ if kind == BUNDLE_KIND:
                signed = SignedBundle(self._bundle.canonical().decode())
                return Ok(self._stored(kind, name, signed))
        return Ok(None)

    async def list(self, kind, *, stale_ok=False):
        return Ok(Listing(1, whole=True))

    async def changes(self, kind, since, wait):
        if kind != HEAD_KIND:
            await asyncio.sleep(wait)
            return Ok(Listing(since))
        if wait:
            await asyncio.sleep(wait)
            return Err(Unavailable("silent"))
        if not self.has_head:
            return Err(Unavailable("silent"))
        changed = (self._head(),) if self.version > since else ()
        return Ok(Listing(self.version, changed))

    async def _read_head(self):
        await asyncio.sleep(self._read_seconds)
        return Ok(self._head()) if self.has_head else Err(Unavailable("silent"))

    def _head(self):
        return self._stored(HEAD_KIND, "head", Head(self.version, self._bundle.digest()))

    def _stored(self, kind, name, value):
        return StoredObject(kind, name, self.version, msgspec.Raw(msgspec.json.encode(value)))


def feed_on(store):
    pace = FeedSettings(watch=WATCH, watch_check=1.0, list_watch=WATCH)
    around = FeedDependencies(store, PeerTls(), Random(1), time.time)
    return Feed(LocalDaemon("a", "one", pace), around, TrustedPlatformVerifier(), Bus())


async def in_force(feed, version):
    async def taken():
        return feed.cache_writer.version == version

    await eventually(taken)


@pytest.mark.parametrize("read_seconds", [0.01, 0.4, 1.1])
def test_a_change_behind_a_silent_watch(read_seconds):
    """With configurations that take long to read nothing read the head for 20 reads' time."""

    async def scenario():
        store = DeafStore(read_seconds)
        feed = feed_on(store)
        running = asyncio.create_task(feed.run())
        await in_force(feed, 1)
        await asyncio.sleep(2.0 + read_seconds)
        for version in (2, 3):
            store.change()
            async with asyncio.timeout(IN_FORCE_SECONDS + read_seconds):
                await in_force(feed, version)
        running.cancel()

    run(scenario)


def test_what_does_not_read_the_head_does_not_confirm_it():
    async def scenario():
        store = DeafStore(0.4)
        feed = feed_on(store)
        running = asyncio.create_task(feed.run())
        await in_force(feed, 1)
        store.has_head = False
        await asyncio.sleep(1.0)
        confirmed = feed.cache.as_of
        await asyncio.sleep(4.0)
        assert feed.cache.as_of == confirmed
        running.cancel()

    run(scenario)
