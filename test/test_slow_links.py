"""Configurations that take long to read on slow links.

Guards against a limit on the time of a whole response. It must be a limit on the time without a
byte: otherwise a daemon on a slow link aborts and restarts each read of a large configuration,
and handles requests by an old version.
"""

import asyncio
import time
from contextlib import aclosing
from random import Random

import pytest
from result import Ok
from wheatslip.config.bundle import Bundle, Route, Split
from wheatslip.config.head import HEAD_KIND, HEAD_NAME, Head
from wheatslip.config.signedbundle import SignedBundle
from wheatslip.distribution.feedcache import Cursor, FeedCache, ListChange
from wheatslip.distribution.headage import AgeChange, HeadAge
from wheatslip.store.instances import Instance
from wheatslip.store.objectclient import ObjectClient
from wheatslipd.controllers.bus import Bus
from wheatslipd.feed import relay
from wheatslipd.feed.feed import Feed, FeedDependencies, LocalDaemon
from wheatslipd.feed.feedsettings import FeedSettings
from wheatslipd.feed.verifier import TrustedPlatformVerifier
from wheatslipd.tls import PeerTls

from fleet_adapter.store import FleetStore
from fleet_standins.store import StoreStandIn
from standins.cluster import HOST, eventually
from standins.link import ThrottledLink
from standins.platform import serve
from test.helper import run
from test.routed_fleet import configuration, fleet

EXTRA_ROUTES = 1400
CONFIGURATION_BYTES = 260_000  # size of a configuration with EXTRA_ROUTES
LINK_BYTES_PER_SECOND = 200_000  # the configuration takes 1.3 s
IN_FORCE_SECONDS = 4.0  # from the write, including the transfer


def test_a_watcher_reads_a_large_configuration_on_a_slow_link_after_its_watch_expired():
    async def scenario():
        names = ("a", "b", "c", "d")
        links = dict.fromkeys(names, LINK_BYTES_PER_SECOND)
        async with fleet(
            *names, watch="20s", watch_check="500ms", link_bytes_per_second=links
        ) as cluster:
            cluster.store.write("config", "main", configuration(2, extra_routes=EXTRA_ROUTES))
            cluster.store.drop_history()
            async with asyncio.timeout(IN_FORCE_SECONDS):
                await cluster.ready(2)

    run(scenario)


def test_a_starting_daemon_reads_a_large_configuration_on_a_slow_link():
    async def scenario():
        async with fleet(
            "a", link_bytes_per_second={"a": LINK_BYTES_PER_SECOND}, configured=False
        ) as cluster:
            cluster.store.write("config", "main", configuration(2, extra_routes=EXTRA_ROUTES))
            async with asyncio.timeout(IN_FORCE_SECONDS):
                await cluster.ready(2)

    run(scenario)


def test_an_unchanged_configuration_is_not_read_repeatedly():
    """The watch check only asks whether the head has changed, which takes few bytes."""

    async def scenario():
        links = {"a": 10 * LINK_BYTES_PER_SECOND}  # the configuration takes 0.13 s
        async with fleet(
            "a", watch="20s", watch_check="50ms", link_bytes_per_second=links
        ) as cluster:
            cluster.store.write("config", "main", configuration(2, extra_routes=EXTRA_ROUTES))
            await cluster.ready(2)
            carried_before = cluster.links["a"].bytes_from_target
            calls = len(cluster.store.calls)

            async def has_checked():
                return len(cluster.store.calls) >= calls + 40

            await eventually(has_checked)
            read_bytes = cluster.links["a"].bytes_from_target - carried_before
            assert read_bytes < 3 * CONFIGURATION_BYTES  # one read in flight and one refresh

    run(scenario)


def test_the_object_client_reads_a_large_object_on_a_slow_link():
    """The client of wheatslip's own object API also limits the time without a byte only."""

    async def scenario():
        runner, port, _ = await serve(HOST, 0)
        link = ThrottledLink(HOST, port, LINK_BYTES_PER_SECOND)
        await link.open()
        direct = ObjectClient(f"{HOST}:{port}", Random(1))
        slow = ObjectClient(f"{HOST}:{link.port}", Random(1))
        (await direct.put("bundle", "long", "x" * 2 * CONFIGURATION_BYTES, 0)).unwrap()
        # The read takes 2.6 s.
        assert (await slow.get("bundle", "long")).unwrap() is not None
        for client in (direct, slow):
            await client.close()
        await link.close()
        await runner.cleanup()

    run(scenario)


def test_a_large_update_on_a_slow_link_does_not_time_out(monkeypatch):
    """Even compressed, its transfer takes more than twice the silence timeout."""
    monkeypatch.setattr(relay, "SILENCE_TIMEOUT_SECONDS", 0.4)

    async def scenario():
        random = Random(1)
        routes = tuple(
            Route(
                f"{number:05}", f"{random.randbytes(24).hex()}.example", "/", (Split("papers"),)
            )
            for number in range(5000)
        )
        large_bundle = Bundle(2, routes=routes)
        cache = FeedCache()
        signed = SignedBundle(large_bundle.canonical().decode())
        cache.store_bundle(Head(2, large_bundle.digest()), signed, large_bundle)
        server = relay.RelayServer(cache, PeerTls())
        await server.listen(HOST, 0)
        link = ThrottledLink(HOST, server.port, LINK_BYTES_PER_SECOND)
        await link.open()
        parent = Instance("parent", "papers", "one", HOST, 1, 2, link.port)
        updates = relay.follow_parent(parent, Cursor("child"), PeerTls())
        async with aclosing(updates):
            assert (await anext(updates)).signed == signed
        assert (
            link.bytes_from_target / LINK_BYTES_PER_SECOND > 2 * relay.SILENCE_TIMEOUT_SECONDS
        )
        await link.close()
        await server.stop()

    run(scenario)


class EmptyStore:
    """A platform without objects that records the names that are requested."""

    def __init__(self):
        self.requested = []

    async def get(self, kind, name, *, stale_ok=False):
        self.requested.append(name)
        return Ok(None)


@pytest.mark.parametrize(("hinted", "reads"), [(2, []), (3, [HEAD_NAME])])
def test_a_version_hint_is_followed_at_its_sender_before_the_platform(hinted, reads):
    """Guards against all daemons reading the platform at once after a hint in a request."""

    async def scenario():
        bundle = Bundle(2)
        cache = FeedCache()
        signed = SignedBundle(bundle.canonical().decode())
        cache.store_bundle(Head(2, bundle.digest()), signed, bundle)
        hinting_relay = relay.RelayServer(cache, PeerTls())
        await hinting_relay.listen(HOST, 0)
        store = EmptyStore()
        feed = Feed(
            LocalDaemon("b", "one", FeedSettings()),
            FeedDependencies(store, PeerTls(), Random(1), time.time),
            TrustedPlatformVerifier(),
            Bus(),
        )
        feed.cache.apply_list(
            1,
            [
                ListChange(
                    1, "a", Instance("a", "papers", "one", HOST, 1, 2, hinting_relay.port)
                )
            ],
            whole=True,
        )
        following = asyncio.create_task(feed.hint_handler.run())
        feed.handle_version_hint(hinted, HOST)

        async def is_followed():
            return feed.cache.head is not None and store.requested == reads

        await eventually(is_followed)
        following.cancel()
        await hinting_relay.stop()

    run(scenario)


def test_the_error_of_an_aborted_read_names_the_received_bytes():
    async def scenario():
        store = StoreStandIn()
        await store.server.listen(HOST, 0)
        store.write("config", "main", configuration(extra_routes=EXTRA_ROUTES))
        link = ThrottledLink(HOST, store.server.port, LINK_BYTES_PER_SECOND)
        await link.open()
        client = FleetStore(f"{HOST}:{link.port}")
        read_task = asyncio.create_task(client.get(HEAD_KIND, HEAD_NAME))

        async def has_partial_response():
            return link.bytes_from_target > 0

        await eventually(has_partial_response)
        await link.close()
        error = (await read_task).unwrap_err()
        assert error.call == "GET /wheatslip/objects/config/main"
        received_bytes = int(error.detail.split()[-2])
        assert 0 < received_bytes < 200_000
        await client.close()
        await store.server.stop(0.0)

    run(scenario)


def test_losing_and_regaining_the_head_is_reported_once():
    age = HeadAge(lost_after=5.0)
    assert [age.check_age(seconds) for seconds in (0.0, 4.9, 5.1, 7.0, 0.1, 0.2)] == [
        None,
        None,
        AgeChange.LOST,
        None,
        AgeChange.FOUND,
        None,
    ]


def test_each_daemon_reports_the_age_of_its_head():
    async def scenario():
        async with fleet("a", "b", "c", watch="20s", watch_check="100ms") as cluster:

            async def is_reported():
                """Whether each daemon reports a low age, and each follower its parent.

                A daemon that becomes a follower has an age from its earlier reads, and a parent
                shortly after.
                """
                states = [daemon.status() for daemon in cluster.daemons.values()]
                return all(
                    state.head_age is not None
                    and state.head_age < 3.0
                    and (state.watches or state.parent in cluster.daemons)
                    for state in states
                )

            await eventually(is_reported)

    run(scenario)
