"""The adapter to the users' platform: its store, configuration and heartbeats."""

import asyncio
import json
from contextlib import asynccontextmanager
from random import Random

import msgspec
import pytest
from result import Err, Ok
from wheatslip.config.bundle import (
    CallerLimits,
    ColdStart,
    Split,
    decode_bundle,
)
from wheatslip.config.head import BUNDLE_KIND, HEAD_KIND, HEAD_NAME, bundle_name
from wheatslip.config.zonedrains import ZONE_DRAIN_KIND
from wheatslip.store.instances import INSTANCE_KIND, Instance
from wheatslip.store.objects import Conflict, TooOld, Unavailable, follow
from wheatslip.store.registration import Heartbeat, ServerState

from fleet_adapter.configuration import read_configuration
from fleet_adapter.heartbeats import decode_heartbeat
from fleet_adapter.store import FleetStore
from fleet_adapter.wire import KINDS
from fleet_standins.store import Fault, StoreStandIn
from standins.cluster import eventually
from test.helper import run

CONFIGURATION = {
    "version": 7,
    "routes": {
        "r-1": {
            "host": "Hulo84.example",
            "path_prefix": "/leny950/",
            "route_type": "safe",
            "timeout_s": 1,
            "target_latency_s": 0.4,
            "priority": 2,
            "traffic_split": [
                {"service": "papers", "weight": 90},
                {"service": "rolls", "weight": 10},
            ],
            "max_attempts": 2,
        },
        "r-2": {
            "host": "jepu9.example",
            "path_prefix": "/puka111/",
            "route_type": "unsafe",
            "timeout_s": 1.2,
            "target_latency_s": 0.5,
            "priority": 1,
            "service": "rolls",
            "max_attempts": 2,
        },
    },
    "services": {
        "papers": {"health_path": "/health", "max_connections": 220, "tls": False},
        "rolls": {"health_path": "/well", "max_connections": 100, "tls": False},
    },
    "limits": {"max_header_bytes": 16384},
    "base_version": 5,
}


INSTANCE = Instance("a", "papers", "wien-a", "10.0.0.1", 1, 2, 3)


@asynccontextmanager
async def serve_store(**options):
    stand_in = StoreStandIn(**options)
    await stand_in.server.listen("127.0.0.1", 0)
    client = FleetStore(f"127.0.0.1:{stand_in.server.port}")
    try:
        yield stand_in, client
    finally:
        await client.close()
        await stand_in.server.stop(0.0)


def test_a_configuration_is_converted_to_a_bundle():
    bundle = read_configuration(json.dumps(CONFIGURATION).encode()).unwrap()
    first, second = bundle.routes
    assert bundle.version == 7
    assert (first.host, first.prefix, first.repeatable) == (
        "hulo84.example",
        "/leny950/",
        True,
    )
    assert first.splits == (Split("papers", 90.0), Split("rolls", 10.0))
    assert (first.timeout, first.target, first.priority, first.max_attempts) == (1, 0.4, 2, 2)
    assert second.splits == (Split("rolls"),) and not second.repeatable
    assert [(p.name, p.connections, p.health_path) for p in bundle.pools] == [
        ("papers", 220, "/health"),
        ("rolls", 100, "/well"),
    ]


def test_the_limits_of_callers_are_read():
    limits = CONFIGURATION["limits"] | {
        "max_body_bytes": 67108864,
        "header_timeout_s": 3,
        "idle_timeout_s": 15.5,
    }
    text = json.dumps(CONFIGURATION | {"limits": limits}).encode()
    expected = CallerLimits(16384, 67108864, 3.0, 15.5)
    assert read_configuration(text).unwrap().limits == expected


@pytest.mark.parametrize("limits", [{"max_header_bytes": "many"}, {"idle_timeout_s": -1}, 7])
def test_limits_that_cannot_be_read_limit_nothing(limits):
    """Guards against a configuration that is lost because of its limits."""
    text = json.dumps(CONFIGURATION | {"limits": limits}).encode()
    bundle = read_configuration(text).unwrap()
    assert bundle.limits is msgspec.UNSET
    assert bundle.version == CONFIGURATION["version"]


def test_limits_are_no_part_of_the_digest():
    """A daemon of the version before does not know them, and compares digests."""
    with_limits = read_configuration(json.dumps(CONFIGURATION).encode()).unwrap()
    rest = {name: value for name, value in CONFIGURATION.items() if name != "limits"}
    without = read_configuration(json.dumps(rest).encode()).unwrap()
    assert with_limits.digest() == without.digest()
    assert with_limits.canonical() != without.canonical()


def test_cold_start_limits_are_read_where_configured():
    cold = {"cold_start_s": 3.0, "cold_per_s": 8.0}
    services = CONFIGURATION["services"]
    with_cold_start = services | {"papers": services["papers"] | cold}
    bundle = read_configuration(
        json.dumps(CONFIGURATION | {"services": with_cold_start}).encode()
    ).unwrap()
    papers, rolls = bundle.pools
    assert papers.cold == ColdStart(3.0, 8.0)
    assert rolls.cold is msgspec.UNSET
    # Without the limits the bundle must have no such field, or its digest would change.
    assert (
        b'"cold"'
        not in read_configuration(json.dumps(CONFIGURATION).encode()).unwrap().canonical()
    )


def test_evacuations_are_read_as_zone_drains():
    async def scenario():
        async with serve_store() as (stand_in, client):
            assert (await client.list(ZONE_DRAIN_KIND)).unwrap().items == ()
            stand_in.write("evacuations", "wien-a", {})
            listing = (await client.list(ZONE_DRAIN_KIND, stale_ok=True)).unwrap()
            assert [item.name for item in listing.items] == ["wien-a"]
            since = listing.version
            stand_in.remove("evacuations", "wien-a")
            changes = (await client.changes(ZONE_DRAIN_KIND, since, 1.0)).unwrap()
            assert [(item.name, item.deleted) for item in changes.items] == [("wien-a", True)]
            assert changes.version > since

    run(scenario)


def test_an_invalid_configuration_is_refused_with_a_reason():
    for bad in (b"", b"{}", json.dumps(CONFIGURATION | {"routes": {"r": {}}}).encode()):
        assert "not a configuration" in read_configuration(bad).unwrap_err()


def test_a_heartbeat_is_decoded():
    body = {
        "address": "10.0.0.9:8080",
        "info": {"service": "papers", "version": "v1", "zone": "wien-a", "slots": 12},
        "status": {"state": "draining", "seq": 4, "cold_remaining_s": 1.5},
    }
    assert decode_heartbeat(json.dumps(body).encode()) == Heartbeat(
        "papers", "10.0.0.9:8080", 12, 4, ServerState.LEAVING, 1.5
    )
    body["status"]["state"] = "asleep"
    assert decode_heartbeat(json.dumps(body).encode()) is None
    assert decode_heartbeat(b"[]") is None


def test_the_configuration_is_read_as_a_head_and_its_bundle():
    async def scenario():
        async with serve_store() as (stand_in, client):
            assert await client.get(HEAD_KIND, HEAD_NAME) == Ok(None)
            stand_in.write("config", "main", CONFIGURATION)
            stored = (await client.get(HEAD_KIND, HEAD_NAME)).unwrap()
            head = json.loads(bytes(stored.value))
            name = bundle_name(head["version"], head["digest"])
            body = json.loads(bytes((await client.get(BUNDLE_KIND, name)).unwrap().value))
            bundle = decode_bundle(body["body"].encode()).unwrap()
            assert bundle.version == 7 and bundle.digest() == head["digest"]

    run(scenario)


def test_an_unreadable_configuration_is_not_listed():
    async def scenario():
        async with serve_store() as (stand_in, client):
            stand_in.write("config", "main", {"version": "new"})
            assert (await client.list(HEAD_KIND)).unwrap().items == ()

    run(scenario)


def test_writes_and_deletes_require_the_current_revision():
    async def scenario():
        async with serve_store() as (_, client):
            first = (await client.put(INSTANCE_KIND, "a", INSTANCE, 0)).unwrap()
            conflicting = await client.put(INSTANCE_KIND, "a", INSTANCE, 0)
            assert isinstance(conflicting.unwrap_err(), Conflict)
            assert conflicting.unwrap_err().current.version == first.version
            second = (await client.put(INSTANCE_KIND, "a", INSTANCE, first.version)).unwrap()
            stale = await client.delete(INSTANCE_KIND, "a", first.version)
            assert isinstance(stale.unwrap_err(), Conflict)
            assert await client.delete(INSTANCE_KIND, "a", second.version) == Ok(None)
            assert await client.delete(INSTANCE_KIND, "a", second.version) == Ok(None)
            missing = await client.put(INSTANCE_KIND, "a", INSTANCE, second.version)
            assert missing == Err(Conflict(None))

    run(scenario)


def test_all_pages_of_a_list_are_read():
    async def scenario():
        async with serve_store(page=2) as (_, client):
            for name in "abcde":
                (await client.put(INSTANCE_KIND, name, INSTANCE, 0)).unwrap()
            listing = (await client.list(INSTANCE_KIND)).unwrap()
            assert [item.name for item in listing.items] == list("abcde")
            assert listing.version == 5

    run(scenario)


def test_a_change_between_two_pages_of_a_list_is_not_missed():
    """The page of the changed object was already read, so the watch must start earlier."""

    async def scenario():
        async with serve_store(page=2) as (stand_in, client):
            for name in "bcde":
                (await client.put(INSTANCE_KIND, name, INSTANCE, 0)).unwrap()

            def write_to_first_page():
                stand_in.after_page = None
                stand_in.write(KINDS[INSTANCE_KIND], "a", msgspec.to_builtins(INSTANCE))

            stand_in.after_page = write_to_first_page
            states = follow(client, INSTANCE_KIND, Random(1))
            names = [item.name for item in (await anext(states)).items]
            assert names == list("bcde")
            assert [item.name for item in (await anext(states)).items] == ["a"]

    run(scenario)


def test_a_watch_returns_changes_and_deletions():
    async def scenario():
        async with serve_store() as (stand_in, client):
            start_version = (await client.list(INSTANCE_KIND)).unwrap().version
            watch = asyncio.create_task(client.changes(INSTANCE_KIND, start_version, 5.0))
            await asyncio.sleep(0.01)
            stored = (await client.put(INSTANCE_KIND, "a", INSTANCE, 0)).unwrap()
            (item,) = (await watch).unwrap().items
            assert (item.name, item.deleted) == ("a", False)
            await client.delete(INSTANCE_KIND, "a", stored.version)
            (removed,) = (await client.changes(INSTANCE_KIND, item.version, 5.0)).unwrap().items
            assert (removed.name, removed.deleted) == ("a", True)
            stand_in.drop_history()
            late = await client.changes(INSTANCE_KIND, start_version, 5.0)
            assert isinstance(late.unwrap_err(), TooOld)

    run(scenario)


def test_each_store_fault_is_unavailable_and_temporary():
    async def scenario():
        async with serve_store() as (stand_in, client):
            for fault in (Fault.BUSY, Fault.RESET, Fault.SILENT):
                stand_in.fault = fault
                answer = await client.list(INSTANCE_KIND)
                assert isinstance(answer.unwrap_err(), Unavailable)
                stand_in.fault = Fault.NONE
                assert isinstance(await client.list(INSTANCE_KIND), Ok)

    run(scenario)


def test_a_write_without_a_response_is_not_a_conflict():
    async def scenario():
        async with serve_store(lose_answers=1) as (stand_in, client):
            answer = await client.put(INSTANCE_KIND, "a", INSTANCE, 0)
            assert isinstance(answer.unwrap_err(), Unavailable)
            assert (INSTANCE_KIND, "a") not in stand_in.objects
            assert len(stand_in.objects) == 1

    run(scenario)


def test_after_a_forgotten_history_the_next_listing_is_whole():
    async def scenario():
        async with serve_store() as (stand_in, client):
            first = (await client.put(INSTANCE_KIND, "a", INSTANCE, 0)).unwrap()
            (await client.put(INSTANCE_KIND, "b", INSTANCE, 0)).unwrap()
            states = follow(client, INSTANCE_KIND, Random(1))
            assert (await anext(states)).whole
            (await client.put(INSTANCE_KIND, "c", INSTANCE, 0)).unwrap()
            changes = await anext(states)
            assert not changes.whole and [item.name for item in changes.items] == ["c"]
            await client.delete(INSTANCE_KIND, "a", first.version)
            stand_in.drop_history()
            relisted = await anext(states)
            assert relisted.whole and [item.name for item in relisted.items] == ["b", "c"]

    run(scenario)


def test_a_watch_that_failed_is_retried_with_a_short_wait():
    async def scenario():
        async with serve_store() as (stand_in, client):
            states = follow(client, INSTANCE_KIND, Random(1), wait=30.0, backoff_last=0.1)
            await anext(states)
            stand_in.fault = Fault.BUSY
            waiting = asyncio.create_task(anext(states))

            async def has_called(count):
                return len(stand_in.calls) >= count

            await eventually(lambda: has_called(2))
            stand_in.fault = Fault.SILENT
            calls_before = len(stand_in.calls)
            await eventually(lambda: has_called(calls_before + 1))
            stand_in.fault = Fault.NONE
            (await client.put(INSTANCE_KIND, "a", INSTANCE, 0)).unwrap()
            async with asyncio.timeout(5.0):
                assert [item.name for item in (await waiting).items] == ["a"]

    run(scenario)
