"""The daemon's own list entry is written once per change and kept up to date."""

import asyncio
import json
from contextlib import asynccontextmanager
from random import Random

import msgspec
from result import Err
from wheatslip.store.instances import INSTANCE_KIND, Instance, InstanceState
from wheatslip.store.objects import Unavailable
from wheatslipd.registration.publisher import Publisher

from fleet_adapter.store import FleetStore
from fleet_adapter.wire import KINDS
from fleet_standins.store import Fault, StoreStandIn
from standins.cluster import HOST, eventually
from test.helper import run

INSTANCE = Instance("a", "papers", "one", "10.0.0.1", 1, 2, 3)
LEAVING = msgspec.structs.replace(INSTANCE, state=InstanceState.LEAVING)
KEY = (KINDS[INSTANCE_KIND], "a")


@asynccontextmanager
async def running_publisher(store):
    client = FleetStore(f"{HOST}:{store.server.port}")
    publisher = Publisher(client, Random(1))
    task = asyncio.create_task(publisher.run())
    try:
        yield publisher
    finally:
        task.cancel()
        await client.close()


@asynccontextmanager
async def serve_store(**options):
    store = StoreStandIn(**options)
    await store.server.listen(HOST, 0)
    try:
        yield store
    finally:
        await store.server.stop(0.0)


def stored_entry(store):
    stored = store.objects.get(KEY)
    return json.loads(bytes(stored.spec)) if stored else None


async def wait_until_settled(publisher):
    await publisher.wait_settled(5.0)


def test_an_unchanged_entry_is_written_once():
    async def scenario():
        async with serve_store() as store, running_publisher(store) as publisher:
            publisher.publish(INSTANCE)
            await wait_until_settled(publisher)
            assert stored_entry(store)["incarnation"] == 1
            publisher.publish(INSTANCE)
            await wait_until_settled(publisher)
            assert store.rev == 1 and len(store.calls) == 1

    run(scenario)


def test_each_start_is_a_new_incarnation():
    async def scenario():
        async with serve_store() as store:
            for incarnation in (1, 2, 3):
                async with running_publisher(store) as publisher:
                    publisher.publish(INSTANCE)
                    await wait_until_settled(publisher)
                    assert stored_entry(store)["incarnation"] == incarnation

    run(scenario)


def test_an_instance_that_is_live_again_after_leaving_is_a_new_incarnation():
    async def scenario():
        async with serve_store() as store, running_publisher(store) as publisher:
            for instance, incarnation in ((INSTANCE, 1), (LEAVING, 1), (INSTANCE, 2)):
                publisher.publish(instance)
                await wait_until_settled(publisher)
                assert stored_entry(store)["incarnation"] == incarnation
                assert stored_entry(store)["state"] == instance.state.value

    run(scenario)


def test_a_write_without_a_response_is_read_back_instead_of_repeated():
    async def scenario():
        async with serve_store(lose_answers=1) as store, running_publisher(store) as publisher:
            publisher.on_listed(None)  # the list shows no entry of a previous start
            publisher.publish(INSTANCE)
            await wait_until_settled(publisher)
            assert store.rev == 1 and stored_entry(store)["incarnation"] == 1

    run(scenario)


def test_a_lost_first_write_is_not_taken_for_an_equal_entry_of_the_previous_start():
    async def scenario():
        async with serve_store() as store:
            async with running_publisher(store) as publisher:
                publisher.publish(INSTANCE)
                await wait_until_settled(publisher)
            async with running_publisher(store) as publisher:
                put = publisher._store.put
                failures = [Err(Unavailable("away"))]

                async def put_after_a_failure(*args):
                    return failures.pop() if failures else await put(*args)

                publisher._store.put = put_after_a_failure
                publisher.publish(INSTANCE)
                await wait_until_settled(publisher)
                assert stored_entry(store)["incarnation"] == 2

    run(scenario)


async def publish_once(store):
    """Leave the entry that the publisher of a previous start has written."""
    async with running_publisher(store) as publisher:
        publisher.publish(INSTANCE)
        await wait_until_settled(publisher)


def test_a_restarted_daemon_replaces_its_listed_entry_with_one_write():
    async def scenario():
        async with serve_store() as store:
            await publish_once(store)
            store.calls.clear()
            async with running_publisher(store) as publisher:
                publisher.on_listed(INSTANCE, store.rev)
                publisher.publish(INSTANCE)
                await wait_until_settled(publisher)
            assert len(store.calls) == 1
            assert stored_entry(store)["incarnation"] == 2

    run(scenario)


def test_a_daemon_that_publishes_before_it_has_the_list_writes_once():
    async def scenario():
        async with serve_store() as store:
            await publish_once(store)
            store.calls.clear()
            async with running_publisher(store) as publisher:
                publisher.publish(INSTANCE)
                await asyncio.sleep(0.05)
                publisher.on_listed(INSTANCE, store.rev, store.rev)
                await wait_until_settled(publisher)
            assert len(store.calls) == 1
            assert stored_entry(store)["incarnation"] == 2

    run(scenario)


def test_a_list_older_than_the_last_write_is_ignored():
    async def scenario():
        async with serve_store() as store, running_publisher(store) as publisher:
            publisher.publish(INSTANCE)
            await wait_until_settled(publisher)
            calls = len(store.calls)
            publisher.on_listed(None, list_version=store.rev - 1)
            await wait_until_settled(publisher)
            assert len(store.calls) == calls

    run(scenario)


def test_a_watch_that_precedes_the_response_to_a_write_causes_no_call():
    async def scenario():
        async with serve_store() as store, running_publisher(store) as publisher:
            put = publisher._store.put

            async def put_and_list(*args):
                answer = await put(*args)
                publisher.on_listed(args[2], store.rev, store.rev)
                return answer

            publisher._store.put = put_and_list
            publisher.publish(INSTANCE)
            await wait_until_settled(publisher)
            assert len(store.calls) == 1

    run(scenario)


def test_a_listed_entry_with_a_wrong_version_is_read_before_the_write():
    async def scenario():
        async with serve_store() as store:
            await publish_once(store)
            async with running_publisher(store) as publisher:
                publisher.on_listed(INSTANCE, store.rev + 1)
                publisher.publish(INSTANCE)
                await wait_until_settled(publisher)
            assert stored_entry(store)["incarnation"] == 2

    run(scenario)


def test_a_removed_entry_is_written_again():
    async def scenario():
        async with serve_store() as store, running_publisher(store) as publisher:
            publisher.publish(INSTANCE)
            await wait_until_settled(publisher)
            del store.objects[KEY]
            publisher.on_listed(None)
            await wait_until_settled(publisher)
            assert stored_entry(store) is not None

    run(scenario)


def test_an_entry_is_written_after_an_outage():
    async def scenario():
        async with (
            serve_store(fault=Fault.BUSY) as store,
            running_publisher(store) as publisher,
        ):
            publisher.publish(INSTANCE)

            async def has_retried():
                return len(store.calls) >= 2

            await eventually(has_retried)
            store.fault = Fault.NONE
            await wait_until_settled(publisher)
            assert stored_entry(store)["state"] == "live"

    run(scenario)


def test_withdrawing_an_entry_twice_removes_it_once():
    async def scenario():
        async with serve_store() as store, running_publisher(store) as publisher:
            publisher.publish(INSTANCE)
            await wait_until_settled(publisher)
            publisher.withdraw()
            await wait_until_settled(publisher)
            assert stored_entry(store) is None
            publisher.withdraw()
            await wait_until_settled(publisher)
            assert stored_entry(store) is None

    run(scenario)
