"""Requests that arrive at a daemon before its first reads from the store are answered."""

import asyncio

from fleet_standins.store import Fault
from test.helper import run
from test.routed_fleet import fleet


def test_requests_before_the_first_reads_are_answered_wait_for_them_and_are_served():
    async def scenario():
        async with fleet("a", "b") as installation:
            await installation.stop("a")
            may_answer = asyncio.Event()
            installation.store.before_answer = may_answer.wait
            await installation.start("a")
            early_requests = [
                asyncio.create_task(installation.send_request("a")) for _ in range(5)
            ]
            await asyncio.sleep(0.05)
            assert not any(task.done() for task in early_requests)
            may_answer.set()
            assert {(await task)[0] for task in early_requests} == {200}

    run(scenario)


def test_requests_do_not_wait_for_a_store_that_is_unavailable():
    async def scenario():
        async with fleet("a", "b") as installation:
            await installation.stop("a")
            installation.store.fault = Fault.BUSY
            await installation.start("a")
            loop = asyncio.get_running_loop()
            sent_at = loop.time()
            assert (await installation.send_request("a"))[0] == 503
            assert loop.time() - sent_at < 0.5
            await asyncio.sleep(0.3)
            sent_at = loop.time()
            assert (await installation.send_request("a"))[0] == 503
            assert loop.time() - sent_at < 0.15
            installation.store.fault = Fault.NONE

    run(scenario)
