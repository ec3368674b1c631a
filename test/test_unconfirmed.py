"""Credentials while the platform does not confirm the configuration (`max-unconfirmed`).

Guards against a removed credential that a daemon accepts since it did not learn of the removal,
and against credentials that are refused although the platform answers.
"""

import asyncio
import time
from contextlib import aclosing

import msgspec
import pytest
from wheatslip.config.bundle import Bundle
from wheatslip.config.head import Head
from wheatslip.config.signedbundle import SignedBundle
from wheatslip.distribution.feedcache import Confirmation, Cursor, FeedCache, Update
from wheatslip.store.instances import Instance
from wheatslipd.feed.feedsettings import FeedSettings
from wheatslipd.feed.relay import RelayServer, follow_parent
from wheatslipd.tls import PeerTls

from fleet_standins.store import Fault
from standins.cluster import HOST, eventually
from standins.plainbackend import ServerFault
from test.helper import describe_lag, measured_lag, run
from test.test_identity import KEY, NEW_KEY, events, guarded_fleet, tenants_configuration

__all__ = ["events"]  # a fixture

LIMIT_SECONDS = 2.0
OPTIONS = {
    "extra_entry_settings": f"max-unconfirmed = {LIMIT_SECONDS}s",
    "watch": "20s",  # so that only the checks confirm the configuration
}


async def status_of(cluster, name, path="/view/1", key=KEY):
    headers = {"Key": key} if key else {}
    status, _, answer_headers = await cluster.send_request(name, path, **headers)
    if status == 503:
        assert float(answer_headers["Retry-After"]) > 0
    return status


async def wait_until_served(cluster):
    async def are_served():
        return {await status_of(cluster, name) for name in cluster.daemons} == {200}

    await eventually(are_served)


async def check_served(cluster, seconds):
    """Check that all daemons serve requests with a credential for some time.

    A failure says which refused, how old their confirmations were and whom they followed, and
    how long the event loop was held up.
    """
    end = time.monotonic() + seconds
    with measured_lag() as lags:
        while time.monotonic() < end:
            statuses = {name: await status_of(cluster, name) for name in cluster.daemons}
            assert set(statuses.values()) == {200}, (
                f"{statuses}, {end - time.monotonic():.2f} of {seconds} s before the end; "
                f"seconds since the confirmation, and parent: {confirmations(cluster)}; "
                f"{describe_lag(lags)}"
            )
            await asyncio.sleep(0.05)


def confirmations(cluster):
    """For each daemon the age in seconds of its latest confirmation, and its parent."""
    now = time.monotonic()
    return {
        name: (round(now - daemon.feed.cache.confirmation.at, 2), daemon.feed.parent)
        for name, daemon in cluster.daemons.items()
        if daemon.feed.cache.confirmation is not None
    }


async def check_refused_in_time(cluster, silent_since):
    """Check that no daemon serves a credential once the limit has passed."""
    await asyncio.sleep(max(0.0, silent_since + LIMIT_SECONDS - time.monotonic()))
    for _ in range(3):
        assert {await status_of(cluster, name) for name in cluster.daemons} == {503}
        # Requests without a credential are served, or refused for lack of it, as before.
        assert {await status_of(cluster, n, "/open/1", None) for n in cluster.daemons} == {200}
        assert {await status_of(cluster, n, "/view/1", None) for n in cluster.daemons} == {401}
        await asyncio.sleep(0.1)


def logged(events, name):
    return [event for event in events if event["message_type"] == name]


@pytest.mark.parametrize("fault", [Fault.SILENT, Fault.RESET])
def test_credentials_are_refused_while_the_store_is_silent_for_longer_than_the_limit(
    fault, events
):
    async def scenario():
        async with guarded_fleet("a", "b", "c", "d", **OPTIONS) as cluster:
            await wait_until_served(cluster)
            # Longer than the limit: the confirmations reach watchers and followers in time.
            await check_served(cluster, 2.5 * LIMIT_SECONDS)
            assert not all(daemon.feed.is_watcher for daemon in cluster.daemons.values())
            events.clear()
            silent_since = time.monotonic()
            cluster.store.fault = fault
            assert {await status_of(cluster, name) for name in "abcd"} == {200}
            # A key that is removed meanwhile must not be accepted.
            cluster.store.write("config", "main", tenants_configuration(2, beta=[NEW_KEY]))
            await check_refused_in_time(cluster, silent_since)
            assert len(logged(events, "credentials-refused")) == 4
            refusals = cluster.daemons["a"]._shared.metrics.unconfirmed_refusals
            assert refusals.get({}) >= 3
            cluster.store.fault = Fault.NONE

            async def is_new_key_accepted():
                statuses = {await status_of(cluster, n, key=NEW_KEY) for n in "abcd"}
                return statuses == {200}

            await eventually(is_new_key_accepted)
            assert {await status_of(cluster, name) for name in "abcd"} == {401}
            assert len(logged(events, "credentials-accepted")) == 4

    run(scenario)


def test_without_the_limit_credentials_are_accepted_while_the_store_is_silent():
    async def scenario():
        async with guarded_fleet("a", "b", watch="20s") as cluster:
            cluster.store.fault = Fault.SILENT
            await check_served(cluster, LIMIT_SECONDS)

    run(scenario)


def test_without_the_limit_updates_to_followers_are_as_before():
    """Guards against confirmations in every heartbeat of deployments that need none."""

    async def scenario():
        async with guarded_fleet("a", "b", watch="20s") as cluster:
            for daemon in cluster.daemons.values():
                cache = daemon.feed.cache
                assert await daemon.feed._reader.refresh_head()
                assert cache.head is not None
                assert cache.since(Cursor("f")).confirmed is None

    run(scenario)


def test_wall_clocks_that_stand_still_or_differ_change_nothing():
    """Guards against ages that are counted with the clocks of different daemons."""
    started = time.monotonic()
    clocks = {
        "a": lambda: 1_000_000.0,
        "b": lambda: time.time() + 86_400.0,
        "c": lambda: time.time() - 86_400.0,
        "d": lambda: time.time() - 5.0 * (time.monotonic() - started),  # runs backwards
    }

    async def scenario():
        async with guarded_fleet("a", "b", "c", "d", clocks=clocks, **OPTIONS) as cluster:
            await wait_until_served(cluster)
            await check_served(cluster, 2 * LIMIT_SECONDS)
            silent_since = time.monotonic()
            cluster.store.fault = Fault.SILENT
            await check_refused_in_time(cluster, silent_since)

    run(scenario)


def test_a_daemon_that_only_the_store_does_not_answer_goes_on_by_its_parents():
    async def scenario():
        async with guarded_fleet("a", "b", "c", has_doors=True, **OPTIONS) as cluster:
            await wait_until_served(cluster)
            watchers = [n for n, d in cluster.daemons.items() if d.feed.is_watcher]
            cluster.doors[watchers[0]].block(Fault.SILENT)
            await asyncio.sleep(LIMIT_SECONDS)
            await check_served(cluster, LIMIT_SECONDS)

    run(scenario)


def test_a_follower_of_a_parent_of_the_previous_version_confirms_by_itself():
    """Guards against refused credentials during an upgrade."""

    async def scenario():
        async with guarded_fleet("a", "b", "c", **OPTIONS) as cluster:
            await wait_until_served(cluster)
            for daemon in cluster.daemons.values():
                send_since = daemon.feed.cache.since

                def send_as_before(*args, send_since=send_since):
                    return msgspec.structs.replace(send_since(*args), confirmed=None)

                daemon.feed.cache.since = send_as_before
            await check_served(cluster, 2 * LIMIT_SECONDS)
            silent_since = time.monotonic()
            cluster.store.fault = Fault.SILENT
            await check_refused_in_time(cluster, silent_since)

    run(scenario)


def test_a_gate_accepts_no_credential_of_an_older_entry_without_a_confirmation():
    """Guards against a removed credential by way of an entry that knows no limit.

    The answer must be one that the previous version passes on as not run.
    """

    async def scenario():
        options = OPTIONS | {"without_extra_headers": frozenset("a")}
        async with guarded_fleet("a", "b", **options) as cluster:
            cluster.backends["a"].fault = ServerFault.SHED  # all requests go on to b
            await eventually_status(cluster, "a", 200)
            silent_since = time.monotonic()
            cluster.store.fault = Fault.SILENT
            await asyncio.sleep(max(0.0, silent_since + LIMIT_SECONDS - time.monotonic()))
            before = len(cluster.backends["b"].received)
            assert await status_of(cluster, "a") == 503
            assert len(cluster.backends["b"].received) == before
            assert await status_of(cluster, "a", "/open/1", None) == 200

    run(scenario)


async def eventually_status(cluster, name, status):
    async def has_status():
        return await status_of(cluster, name) == status

    await eventually(has_status)


def cache_with_bundle(version=1):
    cache = FeedCache()
    store_bundle(cache, version)
    return cache


def store_bundle(cache, version):
    bundle = Bundle(version)
    signed = SignedBundle(bundle.canonical().decode())
    cache.store_bundle(Head(version, bundle.digest()), signed, bundle)


def test_an_update_that_was_under_way_for_long_does_not_count_as_new():
    """Guards against a frozen daemon that takes buffered updates for new ones.

    The clocks of the two daemons have different origins, as on two machines.
    """

    async def scenario():
        def parent_clock():
            return time.monotonic() + 1000.0

        cache = cache_with_bundle()
        server = RelayServer(cache, PeerTls(), monotonic=parent_clock)
        await server.listen(HOST, 0)
        parent = Instance("p", "papers", "one", HOST, 1, 2, server.port)
        cache.confirm(Confirmation(1, parent_clock()))
        confirmed_at = time.monotonic()
        stream = follow_parent(parent, Cursor("child"), PeerTls())
        async with aclosing(stream) as updates:
            first = (await anext(updates)).confirmed
            assert confirmed_at - 0.5 < first.at <= confirmed_at
            cache.confirm(Confirmation(1, parent_clock()))
            confirmed_at = time.monotonic()
            server.notify_followers()
            await asyncio.sleep(0.6)  # this daemon reads nothing for that long
            second = (await anext(updates)).confirmed
            assert first.at < second.at <= confirmed_at
        await server.stop()

    run(scenario)


def test_a_confirmation_counts_only_for_the_version_that_it_names():
    """Guards against an older configuration in force that counts as confirmed."""
    cache = cache_with_bundle(1)
    assert cache.confirmed_at(1) is None
    cache.confirm(Confirmation(2, 10.0))  # a newer head, whose bundle is not here yet
    assert cache.confirmed_at(1) is None
    cache.confirm(Confirmation(1, 11.0))
    cache.confirm(Confirmation(1, 9.0))
    assert cache.confirmed_at(1) == 11.0
    store_bundle(cache, 2)
    cache.confirm(Confirmation(2, 20.0))
    # Version 1 may be in force for a moment longer; it was not confirmed at 20.
    assert (cache.confirmed_at(1), cache.confirmed_at(2)) == (11.0, 20.0)
    assert cache.since(Cursor("f")).confirmed == Confirmation(2, 20.0)


def test_updates_without_a_confirmation_keep_their_form():
    """Guards against messages that the previous version would not send or take."""
    encoded = msgspec.msgpack.encode(Update(1.0))
    assert msgspec.msgpack.decode(encoded) == {"as_of": 1.0}


def test_the_intervals_of_confirmations_follow_from_the_limit():
    assert FeedSettings(watch_check=1.0).check_interval == 1.0
    assert FeedSettings().check_interval == 0.0
    assert FeedSettings(max_unconfirmed=5.0).check_interval == 1.0
    assert FeedSettings(max_unconfirmed=5.0, watch_check=0.4).check_interval == 0.4
    assert FeedSettings(max_unconfirmed=5.0, watch_check=9.0).check_interval == 1.0
