"""The first moments of a daemon: who comes before its first reads are answered waits too."""

import asyncio

from fleet_standins.store import Fault
from test.helper import run
from test.routed_fleet import fleet


def test_who_comes_before_the_first_reads_are_answered_is_served_by_them():
    async def scenario():
        async with fleet("a", "b") as one:
            await one.stop("a")
            gate = asyncio.Event()
            one.store.before_answer = gate.wait
            await one.start("a")
            early = [asyncio.create_task(one.ask("a")) for _ in range(5)]
            await asyncio.sleep(0.05)
            assert not any(task.done() for task in early)
            gate.set()
            assert {(await task)[0] for task in early} == {200}

    run(scenario)


def test_nobody_waits_for_a_store_that_is_away():
    async def scenario():
        async with fleet("a", "b") as one:
            await one.stop("a")
            one.store.fault = Fault.BUSY
            await one.start("a")
            loop = asyncio.get_running_loop()
            began = loop.time()
            assert (await one.ask("a"))[0] == 503
            assert loop.time() - began < 0.5
            await asyncio.sleep(0.3)
            began = loop.time()
            assert (await one.ask("a"))[0] == 503
            assert loop.time() - began < 0.15
            one.store.fault = Fault.NONE

    run(scenario)
