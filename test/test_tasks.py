"""Jobs that run side by side until the first of them ends."""

import asyncio

import pytest
from wheatslipd.feed.tasks import run_until_first_completes

from test.helper import run


async def wait_for_ever(ended):
    try:
        await asyncio.Event().wait()
    finally:
        await asyncio.sleep(0)  # an end that takes a turn of the loop
        ended.append("waiting")


async def answer(value):
    return value


def test_the_first_end_cancels_the_others_and_waits_for_their_ends():
    async def scenario():
        ended = []
        assert await run_until_first_completes(wait_for_ever(ended), answer(5)) == [None, 5]
        assert ended == ["waiting"]

    run(scenario)


def test_what_the_first_raises_comes_out_after_the_others_have_ended():
    async def fail():
        raise ValueError("no")

    async def scenario():
        ended = []
        with pytest.raises(ValueError, match="no"):
            await run_until_first_completes(wait_for_ever(ended), fail())
        assert ended == ["waiting"]

    run(scenario)


def test_a_cancelled_caller_leaves_no_job_behind():
    async def scenario():
        ended = []
        caller = asyncio.create_task(run_until_first_completes(wait_for_ever(ended)))
        await asyncio.sleep(0.01)
        caller.cancel()
        with pytest.raises(asyncio.CancelledError):
            await caller
        assert ended == ["waiting"]

    run(scenario)
