"""Zone drains: no new request reaches the servers of a drained zone until it is restored."""

import asyncio
import json
from contextlib import asynccontextmanager

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from wheatslip.config.zonedrains import (
    ZONE_DRAIN_KIND,
    ZoneDrain,
    ZoneDrains,
    decode_drain,
    with_changes,
)
from wheatslip.distribution.feedcache import FeedCache
from wheatslipd.feed import watching

from fleet_adapter.wire import KINDS
from fleet_standins.store import Fault
from standins.cluster import eventually
from test.helper import run
from test.routed_fleet import configuration, fleet
from test.test_cold_servers import SETTINGS, send_at_rate

STORED_KIND = KINDS[ZONE_DRAIN_KIND]
IN_FORCE_SECONDS = 5.0  # from the store's response; required by the users' platform
ZONES = {"a": "one", "b": "one", "c": "two", "d": "two"}
STORE_FAULTS = (Fault.BUSY, Fault.RESET, Fault.SILENT)


def drain_zone(cluster, zone):
    cluster.store.write(STORED_KIND, zone, {})


def restore_zone(cluster, zone):
    cluster.store.remove(STORED_KIND, zone)


async def wait_until_in_force(cluster, *zones, names=None):
    """Wait until all daemons, or those in `names`, know exactly these drained zones."""

    async def is_known():
        return all(
            cluster.daemons[name].view.drains is not None
            and cluster.daemons[name].view.drains.zones == frozenset(zones)
            for name in names or cluster.daemons
        )

    async with asyncio.timeout(IN_FORCE_SECONDS):
        await eventually(is_known)


def received_count(cluster, zone):
    return sum(len(cluster.backends[n].received) for n, z in ZONES.items() if z == zone)


@asynccontextmanager
async def two_zone_fleet(**options):
    async with fleet(*ZONES, zones=ZONES, **options) as cluster:
        yield cluster


def test_requests_of_a_drained_zone_are_served_in_another_zone():
    async def scenario():
        async with two_zone_fleet() as cluster:
            drain_zone(cluster, "one")
            await wait_until_in_force(cluster, "one")
            before = received_count(cluster, "one")
            for number in range(20):
                status, body, _ = await cluster.send_request("abcd"[number % 4])
                assert status == 200 and body in (b"i-c", b"i-d")
            assert received_count(cluster, "one") == before
            assert all(daemon.status().ready for daemon in cluster.daemons.values())
            restore_zone(cluster, "one")
            await wait_until_in_force(cluster)
            bodies = {(await cluster.send_request("a"))[1] for _ in range(40)}
            assert bodies & {b"i-a", b"i-b"}

    run(scenario)


def test_the_gate_refuses_requests_of_an_entry_that_does_not_know_the_drain():
    async def scenario():
        async with two_zone_fleet() as cluster:
            drain_zone(cluster, "one")
            await wait_until_in_force(cluster, "one")
            # This daemon does not know the drain.
            uninformed = cluster.daemons["c"]
            uninformed.view.drains = ZoneDrains(1)
            before = received_count(cluster, "one")
            statuses = [(await cluster.send_request("c"))[0] for _ in range(20)]
            assert set(statuses) == {200} and received_count(cluster, "one") == before

    run(scenario)


def test_a_drain_lets_running_requests_end_and_forwards_queued_ones():
    async def scenario():
        async with two_zone_fleet() as cluster:
            for backend in cluster.backends.values():
                backend.service = 0.4
            requests = [
                asyncio.create_task(cluster.send_request("a", "/submit/1", "POST"))
                for _ in range(20)
            ]
            await asyncio.sleep(0.1)
            drain_zone(cluster, "one")
            await wait_until_in_force(cluster, "one")
            answers = [await request for request in requests]
            assert {status for status, _, _ in answers} <= {200, 503}
            run_requests = [
                r for backend in cluster.backends.values() for r in backend.run_request_ids
            ]
            assert len(run_requests) == [status for status, _, _ in answers].count(200)

    run(scenario)


def test_requests_are_refused_at_once_with_a_retry_delay_when_all_zones_are_drained():
    async def scenario():
        async with two_zone_fleet() as cluster:
            drain_zone(cluster, "one")
            drain_zone(cluster, "two")
            await wait_until_in_force(cluster, "one", "two")
            before = received_count(cluster, "one") + received_count(cluster, "two")
            loop = asyncio.get_running_loop()
            started_at = loop.time()
            for name in ZONES:
                status, _, headers = await cluster.send_request(name)
                assert status == 503 and float(headers["Retry-After"]) > 0
            assert loop.time() - started_at < 1.0
            assert received_count(cluster, "one") + received_count(cluster, "two") == before
            restore_zone(cluster, "two")
            await wait_until_in_force(cluster, "one")
            assert (await cluster.send_request("a"))[0] == 200

    run(scenario)


def test_rapid_drains_and_restores_end_in_the_last_state():
    async def scenario():
        async with two_zone_fleet() as cluster:
            for _ in range(5):
                drain_zone(cluster, "one")
                restore_zone(cluster, "one")
            drain_zone(cluster, "two")
            drain_zone(cluster, "one")
            restore_zone(cluster, "two")
            await wait_until_in_force(cluster, "one")
            assert (await cluster.send_request("b"))[1] in (b"i-c", b"i-d")

    run(scenario)


def test_a_starting_daemon_knows_the_drains_before_its_first_request():
    async def scenario():
        async with two_zone_fleet() as cluster:
            await cluster.stop("a")
            drain_zone(cluster, "one")
            await wait_until_in_force(cluster, "one")
            before = received_count(cluster, "one")
            await cluster.start("a")
            statuses = set()
            while 200 not in statuses:
                statuses.add((await cluster.send_request("a"))[0])
            assert statuses <= {200, 503} and received_count(cluster, "one") == before

    run(scenario)


@pytest.mark.parametrize("fault", STORE_FAULTS)
def test_a_drain_is_in_force_in_time_while_a_third_of_daemons_lose_the_store(fault):
    async def scenario():
        names = "abcdef"
        zones = {name: "one" if name in "abc" else "two" for name in names}
        options = {"has_doors": True, "watch": "5s", "watch_check": "200ms"}
        async with fleet(*names, zones=zones, **options) as cluster:
            for name in "ad":
                cluster.doors[name].fault = fault
            drain_zone(cluster, "two")
            await wait_until_in_force(cluster, "two")
            restore_zone(cluster, "two")
            await wait_until_in_force(cluster)

    run(scenario)


@pytest.mark.parametrize("fault", STORE_FAULTS)
def test_a_drain_is_in_force_in_time_after_a_store_fault(fault):
    async def scenario():
        async with two_zone_fleet(watch="20s", watch_check="200ms") as cluster:
            cluster.store.fault = fault
            calls = len(cluster.store.calls)

            async def has_noticed():
                return len(cluster.store.calls) > calls + 4

            await eventually(has_noticed)
            drain_zone(cluster, "one")
            cluster.store.fault = Fault.NONE
            await wait_until_in_force(cluster, "one")

    run(scenario)


def test_drains_and_restores_arrive_after_the_store_loses_its_history():
    async def scenario():
        async with two_zone_fleet() as cluster:
            drain_zone(cluster, "one")
            await wait_until_in_force(cluster, "one")
            cluster.store.drop_history()
            restore_zone(cluster, "one")
            drain_zone(cluster, "two")
            cluster.store.drop_history()
            await wait_until_in_force(cluster, "two")

    run(scenario)


def test_a_stale_read_does_not_undo_a_drain():
    async def scenario():
        async with two_zone_fleet() as cluster:
            cluster.store.freeze_stale_reads()
            drain_zone(cluster, "one")
            await wait_until_in_force(cluster, "one")
            reader = cluster.daemons["a"].feed._reader
            assert await reader.read_drains(stale_ok=True)
            await wait_until_in_force(cluster, "one")

    run(scenario)


def test_a_restored_zone_counts_as_cold_until_its_server_is_probed():
    async def scenario():
        initial_configuration = configuration()
        initial_configuration["services"]["papers"] |= {"cold_start_s": 2.0, "cold_per_s": 8}
        async with fleet(
            "a", "b", zones=ZONES, initial_configuration=initial_configuration, **SETTINGS
        ) as cluster:
            backend = cluster.backends["a"]
            drain_zone(cluster, "one")
            await wait_until_in_force(cluster, "one")
            backend.cold_until = asyncio.get_running_loop().time() + 2.0
            backend.arrivals.clear()
            restore_zone(cluster, "one")
            await wait_until_in_force(cluster)
            await send_at_rate(cluster, 0.5)
            # Some requests arrive later, so the limit is checked for every interval of 0.5 s.
            times = backend.arrivals
            max_arrivals = max(sum(at <= other < at + 0.5 for other in times) for at in times)
            assert max_arrivals <= 8 * 1.5 * 0.5 + 4 + 1

            async def is_measured():
                return cluster.daemons["a"].server_side.gate.admission.cold._assumed_until < 0

            await eventually(is_measured)
            assert cluster.daemons["a"].status().cold

    run(scenario)


# Order of changes, without daemons.


def test_changes_apply_to_the_known_drains():
    known = with_changes(None, [("a", ZoneDrain("a"))], 5, whole=True)
    assert known == ZoneDrains(5, (ZoneDrain("a"),))
    assert with_changes(known, [], 4, whole=True) is None
    combined = with_changes(known, [("b", ZoneDrain("b"))], 6, whole=False)
    assert combined.zones == {"a", "b"}
    assert with_changes(combined, [("a", None)], 7, whole=False).zones == {"b"}
    assert with_changes(combined, [], 7, whole=True).zones == set()


def test_a_drain_is_decoded_with_unknown_and_without_optional_fields():
    value = json.dumps({"asked_by": "anna", "since": 12.5, "more": 1}).encode()
    assert decode_drain("a", value).unwrap() == ZoneDrain("a", "anna", 12.5)
    assert decode_drain("a", b"{}").unwrap() == ZoneDrain("a")
    assert decode_drain("a", b"null").is_err()


OPERATION = st.tuples(st.sampled_from("ab"), st.booleans())


@settings(max_examples=300, deadline=None)
@given(
    history=st.lists(OPERATION, max_size=12),
    reads=st.lists(
        st.tuples(st.integers(0, 2), st.integers(0, 12), st.integers(0, 12), st.booleans()),
        max_size=20,
    ),
)
def test_caches_never_go_back_and_converge_to_the_platforms_state(history, reads):
    """Three daemons read parts of the history, late and repeatedly, and follow each other."""
    states = [frozenset()]
    for zone, emptied in history:
        states.append(states[-1] | {zone} if emptied else states[-1] - {zone})

    def change(version):
        zone, emptied = history[version - 1]
        return zone, ZoneDrain(zone) if emptied else None

    def whole(version):
        return [(zone, ZoneDrain(zone)) for zone in sorted(states[version])]

    caches = [FeedCache() for _ in range(3)]

    def answer(number, since, version, is_whole):
        cache = caches[number]
        if not is_whole and (cache.drains is None or since > cache.drains.version):
            return  # a watch never starts after the version of its daemon
        changes = whole(version) if is_whole else map(change, range(since + 1, version + 1))
        new = with_changes(cache.drains, changes, version, whole=is_whole)
        if new is not None:
            cache.store_drains(new)

    def check(before):
        for cache, old in zip(caches, before, strict=True):
            if cache.drains is not None:
                assert old is None or cache.drains.version >= old.version
                assert cache.drains.zones == states[cache.drains.version]

    last = len(history)
    for number, since, version, is_whole in reads:
        before = [cache.drains for cache in caches]
        since, version = sorted((min(since, last), min(version, last)))
        answer(number, since, version, is_whole)
        check(before)
        before = [cache.drains for cache in caches]
        update = caches[number].since(caches[number - 1].cursor("x"))
        if update.drains is not None:
            caches[number - 1].store_drains(update.drains)
        check(before)
    for number in range(3):
        answer(number, 0, last, True)
        assert caches[number].drains.zones == states[last]


def test_only_one_watch_retries_at_a_busy_store_and_restarts_the_other_when_it_recovers(
    monkeypatch,
):
    # So long that the watch of the drains is in time only if the watch of the head restarts it.
    monkeypatch.setattr(watching, "DRAINS_BACKOFF_FACTOR", 100.0)

    async def scenario():
        async with fleet("a", "b", zones={"a": "one", "b": "two"}, watch="500ms") as cluster:

            def count_calls(kind):
                return sum(f"/objects/{kind}" in call for call in cluster.store.calls)

            async def has_retried():
                return count_calls("config") >= 60

            cluster.store.fault = Fault.BUSY
            await eventually(has_retried)  # the pending watches have ended by now
            cluster.store.calls.clear()
            await eventually(has_retried)
            assert count_calls("evacuations") < count_calls("config") / 2
            cluster.store.fault = Fault.NONE
            drain_zone(cluster, "one")
            async with asyncio.timeout(2.0):
                await wait_until_in_force(cluster, "one")

    run(scenario)
