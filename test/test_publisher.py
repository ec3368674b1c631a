"""The daemon's own list entry: written once, kept right, and never another's."""

import asyncio
import json
from contextlib import asynccontextmanager
from random import Random

import msgspec
from wheatslip.store.instances import INSTANCE_KIND, Instance, InstanceState
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
async def publisher(store):
    client = FleetStore(f"{HOST}:{store.server.port}")
    one = Publisher(client, Random(1))
    task = asyncio.create_task(one.run())
    try:
        yield one
    finally:
        task.cancel()
        await client.close()


@asynccontextmanager
async def standing_store(**options):
    store = StoreStandIn(**options)
    await store.server.listen(HOST, 0)
    try:
        yield store
    finally:
        await store.server.stop(0.0)


def entry(store):
    found = store.objects.get(KEY)
    return json.loads(bytes(found.spec)) if found else None


async def settled(one):
    await one.wait_settled(5.0)


def test_an_entry_is_written_once_and_not_again_without_a_change():
    async def scenario():
        async with standing_store() as store, publisher(store) as one:
            one.publish(INSTANCE)
            await settled(one)
            assert entry(store)["incarnation"] == 1
            one.publish(INSTANCE)
            await settled(one)
            assert store.rev == 1 and len(store.calls) == 1

    run(scenario)


def test_each_start_is_a_new_incarnation():
    async def scenario():
        async with standing_store() as store:
            for incarnation in (1, 2, 3):
                async with publisher(store) as one:
                    one.publish(INSTANCE)
                    await settled(one)
                    assert entry(store)["incarnation"] == incarnation

    run(scenario)


def test_a_return_after_leaving_is_a_new_incarnation_too():
    async def scenario():
        async with standing_store() as store, publisher(store) as one:
            for instance, incarnation in ((INSTANCE, 1), (LEAVING, 1), (INSTANCE, 2)):
                one.publish(instance)
                await settled(one)
                assert entry(store)["incarnation"] == incarnation
                assert entry(store)["state"] == instance.state.value

    run(scenario)


def test_a_lost_answer_is_read_back_rather_than_written_again():
    async def scenario():
        async with standing_store(lose_answers=1) as store, publisher(store) as one:
            one.publish(INSTANCE)
            await settled(one)
            assert store.rev == 1 and entry(store)["incarnation"] == 1

    run(scenario)


async def leave_entry(store):
    """What a publisher of a life before leaves behind."""
    async with publisher(store) as one:
        one.publish(INSTANCE)
        await settled(one)


def test_a_new_start_goes_on_from_the_listed_entry_with_one_write():
    async def scenario():
        async with standing_store() as store:
            await leave_entry(store)
            store.calls.clear()
            async with publisher(store) as one:
                one.on_listed(INSTANCE, store.rev)
                one.publish(INSTANCE)
                await settled(one)
            assert len(store.calls) == 1
            assert entry(store)["incarnation"] == 2

    run(scenario)


def test_a_new_start_that_registers_before_its_list_comes_writes_once_too():
    async def scenario():
        async with standing_store() as store:
            await leave_entry(store)
            store.calls.clear()
            async with publisher(store) as one:
                one.publish(INSTANCE)
                await asyncio.sleep(0.05)
                one.on_listed(INSTANCE, store.rev, store.rev)
                await settled(one)
            assert len(store.calls) == 1
            assert entry(store)["incarnation"] == 2

    run(scenario)


def test_a_list_from_before_the_last_write_tells_nothing():
    async def scenario():
        async with standing_store() as store, publisher(store) as one:
            one.publish(INSTANCE)
            await settled(one)
            calls = len(store.calls)
            one.on_listed(None, list_version=store.rev - 1)
            await settled(one)
            assert len(store.calls) == calls

    run(scenario)


def test_a_watch_that_is_ahead_of_the_answer_to_a_write_asks_for_nothing():
    async def scenario():
        async with standing_store() as store, publisher(store) as one:
            put = one._store.put

            async def put_while_the_watch_tells(*args):
                answer = await put(*args)
                one.on_listed(args[2], store.rev, store.rev)
                return answer

            one._store.put = put_while_the_watch_tells
            one.publish(INSTANCE)
            await settled(one)
            assert len(store.calls) == 1

    run(scenario)


def test_a_listed_entry_of_another_version_is_read_before_the_write():
    async def scenario():
        async with standing_store() as store:
            await leave_entry(store)
            async with publisher(store) as one:
                one.on_listed(INSTANCE, store.rev + 1)
                one.publish(INSTANCE)
                await settled(one)
            assert entry(store)["incarnation"] == 2

    run(scenario)


def test_an_entry_that_someone_removed_is_written_again():
    async def scenario():
        async with standing_store() as store, publisher(store) as one:
            one.publish(INSTANCE)
            await settled(one)
            del store.objects[KEY]
            one.on_listed(None)
            await settled(one)
            assert entry(store) is not None

    run(scenario)


def test_an_outage_only_delays_the_entry():
    async def scenario():
        async with standing_store(fault=Fault.BUSY) as store, publisher(store) as one:
            one.publish(INSTANCE)

            async def tried():
                return len(store.calls) >= 2

            await eventually(tried)
            store.fault = Fault.NONE
            await settled(one)
            assert entry(store)["state"] == "live"

    run(scenario)


def test_a_withdrawn_entry_goes_and_a_second_word_finds_nothing():
    async def scenario():
        async with standing_store() as store, publisher(store) as one:
            one.publish(INSTANCE)
            await settled(one)
            one.withdraw()
            await settled(one)
            assert entry(store) is None
            one.withdraw()
            await settled(one)
            assert entry(store) is None

    run(scenario)
