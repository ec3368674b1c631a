"""Failures of the platform's store must not lose requests, entries or configurations."""

import asyncio
import json
from random import Random

import pytest
from wheatslip.chooser import Chooser, ChooserSettings, Upstream
from wheatslip.config.bundle import Route, Split
from wheatslip.config.head import HEAD_KIND
from wheatslip.config.routes import pick_service
from wheatslip.config.zonedrains import ZONE_DRAIN_KIND
from wheatslip.distribution.relaytree import relay_order
from wheatslip.hop import LoadReport
from wheatslip.store.instances import INSTANCE_KIND

from fleet_adapter.wire import KINDS
from fleet_standins.store import Fault
from standins.cluster import eventually
from standins.plainbackend import ServerFault
from test.helper import run
from test.routed_fleet import configuration, fleet

STORE_FAULTS = (Fault.BUSY, Fault.RESET, Fault.SILENT)
RECOVERY_SECONDS = 2.0  # from the end of the fault; required by the users' platform
JOIN_SECONDS = 4.0  # until a new server gets requests; required by the users' platform


@pytest.mark.parametrize("fault", STORE_FAULTS)
def test_an_acknowledged_drain_is_in_force_during_a_store_fault(fault):
    async def scenario():
        async with fleet("a", "b") as cluster:
            await cluster.send_heartbeat("a", 1)
            cluster.store.fault = fault
            assert await cluster.send_heartbeat("a", 2, "draining") == 200
            before = len(cluster.backends["a"].received)
            for number in range(20):
                name = "ab"[number % 2]
                assert (await cluster.send_request(name))[1] == b"i-b"
            assert len(cluster.backends["a"].received) == before
            cluster.store.fault = Fault.NONE

    run(scenario)


@pytest.mark.parametrize("fault", STORE_FAULTS)
def test_no_request_is_lost_because_of_a_store_fault(fault):
    async def scenario():
        async with fleet("a", "b") as cluster:
            for backend in cluster.backends.values():
                backend.service = 0.05
            # Requests in flight when the fault begins, during the fault and when it ends.
            requests = [
                asyncio.create_task(cluster.send_request("a", "/submit/1", "POST"))
                for _ in range(4)
            ]
            await asyncio.sleep(0)
            cluster.store.fault = fault
            requests += [asyncio.create_task(cluster.send_request("b")) for _ in range(4)]
            await asyncio.gather(*requests)
            requests += [asyncio.create_task(cluster.send_request("b", "/submit/2", "POST"))]
            cluster.store.fault = Fault.NONE
            assert {(await request)[0] for request in requests} == {200}

    run(scenario)


@pytest.mark.parametrize("loses_history", [False, True])
@pytest.mark.parametrize("fault", STORE_FAULTS)
def test_entries_that_expired_during_a_store_fault_are_restored_in_time(fault, loses_history):
    async def scenario():
        async with fleet("a", "b", "c") as cluster:
            cluster.store.fault = fault
            cluster.store.expire_objects(KINDS[INSTANCE_KIND])
            if loses_history:
                cluster.store.drop_history()
            calls = len(cluster.store.calls)

            async def has_noticed():
                return len(cluster.store.calls) > calls + 4

            await eventually(has_noticed)
            cluster.store.fault = Fault.NONE

            async def are_all_restored():
                return all(
                    (KINDS[INSTANCE_KIND], name) in cluster.store.objects for name in "abc"
                )

            async with asyncio.timeout(RECOVERY_SECONDS):
                await eventually(are_all_restored)

    run(scenario)


async def wait_until_all_watch(cluster):
    """Wait until only the zone's watchers wait at the store: with one watch of the list and two
    each of the configuration and the zone drains, each with a wait of 20 s.
    """

    async def are_watches_open():
        watched_kinds = {c.split("?")[0] for c in cluster.store.calls if "wait_ms=20000" in c}
        expected = {KINDS[INSTANCE_KIND]: 1, KINDS[HEAD_KIND]: 2, KINDS[ZONE_DRAIN_KIND]: 2}
        return len(watched_kinds) == 3 and dict(+cluster.store.waiting) == expected

    await eventually(are_watches_open)


def test_a_watch_opened_before_a_silent_fault_does_not_delay_a_change_after_it():
    async def scenario():
        async with fleet("a", "b", "c", watch="20s", watch_check="100ms") as cluster:
            await wait_until_all_watch(cluster)
            cluster.store.fault = Fault.SILENT
            cluster.store.write("config", "main", configuration(2))
            await asyncio.sleep(1.0)  # longer than the timeout of a call
            cluster.store.fault = Fault.NONE
            async with asyncio.timeout(RECOVERY_SECONDS):
                await cluster.ready(2)

    run(scenario)


def test_followers_get_a_fresh_state_while_nothing_changes():
    """Followers leave a parent that has lost the platform, but not one without changes."""

    async def scenario():
        async with fleet("a", "b", "c", watch="20s", watch_check="100ms") as cluster:
            as_of_before = {name: d.feed.cache.as_of for name, d in cluster.daemons.items()}

            async def is_refreshed():
                return all(
                    d.feed.cache.as_of > as_of_before[n] for n, d in cluster.daemons.items()
                )

            async with asyncio.timeout(5.0):
                await eventually(is_refreshed)

    run(scenario)


def test_one_daemon_of_a_zone_watches_the_list_and_a_second_the_configuration():
    async def scenario():
        async with fleet(*"abcd", watch="20s", watch_check="10s") as cluster:
            calls = cluster.store.calls

            await wait_until_all_watch(cluster)
            own_entry = cluster.store.objects[KINDS[INSTANCE_KIND], "a"]
            # A name that is last in the tree, so that no other daemon changes its position.
            new_instance = next(n for n in "efghijkl" if relay_order([*"abcd", n])[-1] == n)
            other = json.loads(bytes(own_entry.spec)) | {"name": new_instance, "peer_port": 9}
            calls.clear()
            cluster.store.write(KINDS[INSTANCE_KIND], new_instance, other)

            async def is_known():
                return all(
                    new_instance in d.feed.cache.instances for d in cluster.daemons.values()
                )

            async def has_watched_again():
                return len(calls) > 0

            await eventually(is_known)
            await eventually(has_watched_again)
            await asyncio.sleep(0.1)
            assert len(calls) == 1 and "instances?watch=" in calls[0]

    run(scenario)


def test_servers_whose_entries_expired_still_get_requests():
    async def scenario():
        async with fleet("a", "b") as cluster:

            async def list_is_watched():
                return cluster.store.waiting[KINDS[INSTANCE_KIND]] > 0

            # Without an open watch no daemon would see the removal, as the next call fails.
            await eventually(list_is_watched)
            cluster.store.expire_objects(KINDS[INSTANCE_KIND])
            cluster.store.fault = Fault.BUSY  # so that the entries are not written again

            async def is_list_empty():
                return not cluster.daemons["a"].feed.cache.instances

            await eventually(is_list_empty)
            for _ in range(10):
                assert (await cluster.send_request("a"))[0] == 200
            cluster.store.fault = Fault.NONE
            await cluster.ready()

    run(scenario)


def test_an_entry_that_stays_missing_removes_its_instance():
    async def scenario():
        async with fleet("a") as cluster:
            own_entry = cluster.store.objects[KINDS[INSTANCE_KIND], "a"]
            other = json.loads(bytes(own_entry.spec)) | {"name": "b", "peer_port": 9}
            cluster.store.write(KINDS[INSTANCE_KIND], "b", other)

            def member_names():
                peers = cluster.daemons["a"].view.membership.peers("papers")
                return [peer.instance.name for peer in peers]

            async def has_both():
                return member_names() == ["a", "b"]

            async def has_only_live():
                return member_names() == ["a"]

            await eventually(has_both)
            cluster.store.expire_objects(KINDS[INSTANCE_KIND])
            await eventually(has_only_live)

    run(scenario)


@pytest.mark.parametrize("zones", [("one", "two"), ("one", "one")])
def test_a_server_that_joins_gets_requests_within_seconds(zones):
    """Also at a low request rate, and in another zone than its callers."""
    home, joined_zone = zones
    settings = ChooserSettings(far_penalty=0.3, warm_up=1.0)  # as on the users' platform
    chooser = Chooser(home, Random(5), settings)
    existing = [
        Upstream(f"old-{n}", zone) for n, zone in enumerate(("one", "one", "two", "two"))
    ]
    for upstream in existing:
        chooser.on_report(upstream, LoadReport(1, 0, 14, 0.2, 1), 100.0)
    joining = Upstream("new", joined_zone, joined=100.0)
    entries = [home] if joined_zone == home else [home, joined_zone]
    picked = set()
    for tick in range(int(JOIN_SECONDS * 5)):  # five requests per second and daemon
        for zone in entries:
            chooser.zone = zone
            picked.add(chooser.pick([*existing, joining], 100.0 + tick / 5).name)
    assert "new" in picked


def test_a_split_part_without_capacity_keeps_its_share():
    """Requests of that part are refused, never sent to the other part."""

    async def scenario():
        async with fleet("a", "b") as cluster:
            split = configuration(2)
            del split["routes"]["view"]["service"]
            split["routes"]["view"]["traffic_split"] = [
                {"service": "papers", "weight": 1},
                {"service": "rolls", "weight": 1},
            ]
            split["services"]["rolls"] = {"health_path": "/health", "max_connections": 50}
            cluster.store.write("config", "main", split)
            await cluster.ready(2)
            statuses = [(await cluster.send_request("a"))[0] for _ in range(60)]
            # No server of `rolls` runs, so its part can only be refused.
            assert set(statuses) == {200, 503}
            assert 15 <= statuses.count(503) <= 45
            run_count = sum(
                len(backend.run_request_ids) for backend in cluster.backends.values()
            )
            assert run_count == statuses.count(200)

    run(scenario)


def test_a_split_part_that_sheds_requests_is_not_replaced():
    async def scenario():
        async with fleet("a") as cluster:
            cluster.backends["a"].fault = ServerFault.SHED
            split = configuration(2)
            split["routes"]["view"]["service"] = ""
            split["routes"]["view"]["traffic_split"] = [{"service": "papers", "weight": 1}]
            cluster.store.write("config", "main", split)
            await cluster.ready(2)
            status, _, headers = await cluster.send_request("a")
            assert status == 503 and float(headers["Retry-After"]) > 0

    run(scenario)


def test_services_of_a_split_are_picked_by_weight():
    route = Route("r", "h", "/", (Split("x", 90.0), Split("y", 10.0)))
    rng = Random(2)
    picked_services = [pick_service(route, rng) for _ in range(4000)]
    assert abs(picked_services.count("y") / len(picked_services) - 0.1) < 0.02


def test_a_drain_acknowledged_during_a_store_fault_is_listed_after_it():
    async def scenario():
        async with fleet("a", "b") as cluster:
            await cluster.send_heartbeat("a", 1)
            cluster.store.fault = Fault.BUSY
            await cluster.send_heartbeat("a", 2, "draining")
            cluster.store.fault = Fault.NONE

            async def is_listed():
                entry = cluster.store.objects[KINDS[INSTANCE_KIND], "a"]
                return json.loads(bytes(entry.spec))["state"] == "leaving"

            async with asyncio.timeout(RECOVERY_SECONDS):
                await eventually(is_listed)

    run(scenario)
