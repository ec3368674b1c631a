"""The memory for answers at an entry, and which caller makes room for others."""

import asyncio
from contextlib import asynccontextmanager

from wheatslipd.entry.answermemory import AnswerMemory
from wheatslipd.http.body import Body
from wheatslipd.http.bounds import ANSWER_PATIENCE_SECONDS, Closing
from wheatslipd.http.client import Response
from wheatslipd.http.memory import MemoryBudget
from wheatslipd.http.messages import ResponseHead

from standins.cluster import eventually
from test.helper import run

ANSWER_BYTES = 200_000
HOLD_BYTES = 256 * 1024


class Caller:
    """A connection that has not read for some seconds."""

    def __init__(self, blocked_seconds=0.0):
        self._blocked_seconds = blocked_seconds
        self.is_cut_off = False

    def blocked_seconds(self, now):
        return self._blocked_seconds

    def count(self, closing):
        assert closing is Closing.SLOW_READER

    def close_late(self):
        self.is_cut_off = True


def answer(length=ANSWER_BYTES):
    headers = [] if length is None else [(b"content-length", b"%d" % length)]
    return Response(ResponseHead(200, headers), Body(lambda: None, lambda: None))


@asynccontextmanager
async def held(memory, *callers):
    """Hold an answer for each caller until the end of the block."""
    done = asyncio.Event()
    holds = []

    async def hold(caller):
        async with memory.hold(answer(), caller) as size:
            holds.append(size)
            await done.wait()

    tasks = [asyncio.create_task(hold(caller)) for caller in callers]

    async def have_begun():
        return len(holds) == len(callers)

    await eventually(have_begun)
    try:
        yield done
    finally:
        done.set()
        await asyncio.gather(*tasks)


def room_for(count):
    """A memory for so many answers."""
    budget = MemoryBudget(count * 340_000)
    return AnswerMemory(HOLD_BYTES, budget), budget


def test_the_caller_that_has_not_read_for_the_longest_time_makes_room():
    """Guards against a daemon that holds an answer for each caller that does not read."""

    async def scenario():
        memory, budget = room_for(3)
        slower, slow, reading = Caller(0.5), Caller(0.2), Caller(0.0)
        async with (
            held(memory, slow, slower, reading),
            memory.hold(answer(), Caller()) as size,
        ):
            assert size == ANSWER_BYTES
            assert slower.is_cut_off and not slow.is_cut_off and not reading.is_cut_off
        assert budget.reserved == 0

    run(scenario)


def test_callers_that_read_are_not_cut_off_and_the_answer_waits_for_them():
    async def scenario():
        memory, budget = room_for(1)
        reading = Caller(ANSWER_PATIENCE_SECONDS / 2)
        async with held(memory, reading) as done:
            asyncio.get_running_loop().call_later(0.1, done.set)
            async with memory.hold(answer(), Caller()) as size:
                assert done.is_set() and size == ANSWER_BYTES
        assert not reading.is_cut_off
        assert budget.reserved == 0

    run(scenario)


def test_without_memory_an_answer_is_given_up_after_its_wait():
    async def scenario():
        memory, budget = room_for(1)
        async with held(memory, Caller()), memory.hold(answer(), Caller()) as size:
            assert size is None
        assert budget.reserved == 0

    run(scenario)


def test_short_answers_need_no_memory_and_those_without_length_all_that_is_held():
    async def scenario():
        memory, budget = room_for(2)
        async with memory.hold(answer(2000), Caller()) as size:
            assert size == 2000 and budget.reserved == 0
        async with memory.hold(answer(None), Caller()) as size:
            assert size == HOLD_BYTES and budget.reserved > HOLD_BYTES

    run(scenario)
