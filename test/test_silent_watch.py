"""A watch falls silent while the platform answers all other calls.

Guards against a late change, and against confirming the head by a call that does not read it.
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

IN_FORCE_SECONDS = 2.0  # from the write, without the duration of a read
WATCH_SECONDS = 20.0


class SilentWatchStore:
    """A platform that answers no watch of the head except one with a wait of 0.

    If `answers_head` is False, it answers no call that returns the head, but all others. If
    `read_seconds` is above 0.1, the configuration is large.
    """

    def __init__(self, read_seconds):
        self.calls = 0
        self.version = 1
        self.answers_head = True
        self._read_seconds = read_seconds
        self._is_large = read_seconds > 0.1
        self._bundle = self._make_bundle()

    def change(self):
        self.version += 1
        self._bundle = self._make_bundle()

    def _make_bundle(self):
        count = 1400 if self._is_large else 1
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
        if not self.answers_head:
            return Err(Unavailable("silent"))
        changed = (self._head(),) if self.version > since else ()
        return Ok(Listing(self.version, changed))

    async def _read_head(self):
        await asyncio.sleep(self._read_seconds)
        return Ok(self._head()) if self.answers_head else Err(Unavailable("silent"))

    def _head(self):
        return self._stored(HEAD_KIND, "head", Head(self.version, self._bundle.digest()))

    def _stored(self, kind, name, value):
        return StoredObject(kind, name, self.version, msgspec.Raw(msgspec.json.encode(value)))


def make_feed(store):
    feed_settings = FeedSettings(watch=WATCH_SECONDS, watch_check=1.0, list_watch=WATCH_SECONDS)
    dependencies = FeedDependencies(store, PeerTls(), Random(1), time.time)
    return Feed(
        LocalDaemon("a", "one", feed_settings), dependencies, TrustedPlatformVerifier(), Bus()
    )


async def wait_until_in_force(feed, version):
    async def is_in_force():
        return feed.cache_writer.version == version

    await eventually(is_in_force)


@pytest.mark.parametrize("read_seconds", [0.01, 0.4, 1.1])
def test_a_change_arrives_although_the_watch_is_silent(read_seconds):
    """Guards against a head that is read too rarely if reads take long."""

    async def scenario():
        store = SilentWatchStore(read_seconds)
        feed = make_feed(store)
        feed_task = asyncio.create_task(feed.run())
        await wait_until_in_force(feed, 1)
        await asyncio.sleep(2.0 + read_seconds)
        for version in (2, 3):
            store.change()
            async with asyncio.timeout(IN_FORCE_SECONDS + read_seconds):
                await wait_until_in_force(feed, version)
        feed_task.cancel()

    run(scenario)


def test_a_call_that_does_not_read_the_head_does_not_confirm_it():
    async def scenario():
        store = SilentWatchStore(0.4)
        feed = make_feed(store)
        feed_task = asyncio.create_task(feed.run())
        await wait_until_in_force(feed, 1)
        store.answers_head = False
        await asyncio.sleep(1.0)
        as_of_before = feed.cache.as_of
        await asyncio.sleep(4.0)
        assert feed.cache.as_of == as_of_before
        feed_task.cancel()

    run(scenario)
