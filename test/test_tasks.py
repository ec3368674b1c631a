"""Coroutines that run concurrently until the first of them completes."""

import asyncio

import pytest
from wheatslipd.feed.tasks import run_until_first_completes

from test.helper import run


async def wait_forever(ended_tasks):
    try:
        await asyncio.Event().wait()
    finally:
        await asyncio.sleep(0)  # the cancellation takes one more turn of the event loop
        ended_tasks.append("waiting")


async def return_value(value):
    return value


def test_the_first_completion_cancels_the_others_and_waits_for_their_ends():
    async def scenario():
        ended_tasks = []
        assert await run_until_first_completes(wait_forever(ended_tasks), return_value(5)) == [
            None,
            5,
        ]
        assert ended_tasks == ["waiting"]

    run(scenario)


def test_an_exception_of_the_first_is_raised_after_the_others_have_ended():
    async def fail():
        raise ValueError("no")

    async def scenario():
        ended_tasks = []
        with pytest.raises(ValueError, match="no"):
            await run_until_first_completes(wait_forever(ended_tasks), fail())
        assert ended_tasks == ["waiting"]

    run(scenario)


def test_a_cancelled_caller_leaves_no_task_running():
    async def scenario():
        ended_tasks = []
        caller = asyncio.create_task(run_until_first_completes(wait_forever(ended_tasks)))
        await asyncio.sleep(0.01)
        caller.cancel()
        with pytest.raises(asyncio.CancelledError):
            await caller
        assert ended_tasks == ["waiting"]

    run(scenario)
