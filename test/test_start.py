"""Requests that arrive at a daemon before its first reads from the store are answered."""

import asyncio
import time

from wheatslipd.daemon import EXPECTED_START_SECONDS
from wheatslipd.telemetry.pages import PageServer

from fleet_standins.store import Fault
from test.helper import describe_lag, measured_lag, run
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


def test_requests_wait_for_the_first_reads_although_the_pages_start_slowly(monkeypatch):
    """Guards against a time for the first reads that the start of the pages uses up."""
    start_pages = PageServer.start

    async def start_slowly(pages):
        time.sleep(1.5 * EXPECTED_START_SECONDS)  # as an import does: nothing else runs
        return await start_pages(pages)

    async def scenario():
        async with fleet("a", "b") as installation:
            await installation.stop("a")
            may_answer = asyncio.Event()
            installation.store.before_answer = may_answer.wait
            monkeypatch.setattr(PageServer, "start", start_slowly)
            await installation.start("a")
            request = asyncio.create_task(installation.send_request("a"))
            await asyncio.sleep(0.02)
            assert not request.done()
            may_answer.set()
            assert (await request)[0] == 200

    run(scenario)


def test_requests_do_not_wait_for_a_store_that_is_unavailable():
    async def scenario():
        async with fleet("a", "b") as installation:
            await installation.stop("a")
            installation.store.fault = Fault.BUSY
            await installation.start("a")
            await assert_refused_within(installation, 0.5)
            await asyncio.sleep(0.3)
            await assert_refused_within(installation, 0.15)
            installation.store.fault = Fault.NONE

    run(scenario)


async def assert_refused_within(installation, seconds):
    """A failure says for how long the event loop was held up."""
    loop = asyncio.get_running_loop()
    with measured_lag() as lags:
        sent_at = loop.time()
        assert (await installation.send_request("a"))[0] == 503
        took = loop.time() - sent_at
    assert took < seconds, f"refused after {took:.2f} s; {describe_lag(lags)}"
