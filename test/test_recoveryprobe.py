"""The questions to a backend server whose answers don't tell how fast it is."""

import asyncio
from contextlib import suppress

from wheatslip.admission import Admission, AdmissionSettings
from wheatslip.backendload import BackendLoad
from wheatslip.call import UNLIMITED, Call, RequestKind
from wheatslip.outcome import NotRun, Reason
from wheatslip.slidinglimit import SlidingLimit
from wheatslipd.controllers.view import View
from wheatslipd.gate.backend import BackendAnswer
from wheatslipd.gate.gate import Gate, SpeedProbing
from wheatslipd.gate.recoveryprobe import RecoveryProbe
from wheatslipd.gate.speedcheck import SpeedCheck
from wheatslipd.http.body import Body
from wheatslipd.http.client import Response
from wheatslipd.http.messages import ResponseHead
from wheatslipd.settings import HeaderNames
from wheatslipd.telemetry.metrics import Metrics

from test.helper import run

NAMES = HeaderNames(load=b"load-report")
TURNS = 50  # of the event loop; a task that has something to do does it in fewer


class AskedBackend:
    """A backend server that keeps the heads it is sent, and never answers."""

    def __init__(self):
        self.heads = []
        self.asked = asyncio.Event()
        self.given_up = False

    async def send(self, head, body, echo=None):
        self.heads.append(head)
        self.asked.set()
        try:
            await asyncio.Event().wait()
        finally:
            self.given_up = True


def speed_check(backend, per_second=60.0):
    clock = asyncio.get_running_loop().time
    metrics = Metrics("a", "one")
    return SpeedCheck(backend, NAMES, metrics, clock, SlidingLimit(per_second))


async def doubted(path):
    """A running probe of a server in doubt: its question, its server and its task."""
    clock = asyncio.get_running_loop().time
    gate = Gate(Admission(AdmissionSettings()), View(), clock)
    backend = AskedBackend()
    asking = speed_check(backend)
    asking.use_path(path)
    gate.needs_probe.set()
    task = asyncio.create_task(RecoveryProbe(gate, asking, clock, 0.05).run())
    for _ in range(TURNS):
        await asyncio.sleep(0)
    return asking, backend, task


async def stop(task):
    task.cancel()
    with suppress(asyncio.CancelledError):
        await task


def test_nothing_is_asked_before_the_path_of_the_health_endpoint_is_known():
    async def scenario():
        asking, backend, task = await doubted("")
        assert not backend.heads
        asking.use_path("/health")
        await asyncio.wait_for(backend.asked.wait(), 5.0)
        assert backend.heads[0].target == b"/health"
        await stop(task)

    run(scenario)


def test_a_server_in_doubt_is_asked_how_fast_it_is():
    async def scenario():
        _, backend, task = await doubted("/health")
        await asyncio.wait_for(backend.asked.wait(), 5.0)
        await stop(task)

    run(scenario)


class TellingBackend:
    """A backend server whose health endpoint tells its load, as slow as `slowness` percent."""

    def __init__(self, slowness):
        self.slowness = slowness
        self.asked = 0

    async def send(self, head, body, echo=None):
        self.asked += 1
        await asyncio.sleep(0)
        answer = Body(lambda: None, lambda: None)
        answer.finish()
        load = (b"load-report", b"1,0,4,%d" % self.slowness)
        return BackendAnswer(Response(ResponseHead(200, [load]), answer), None)

    def release(self, answer):
        pass


def checked_gate(backend, price=0.02, per_second=60.0):
    """A gate that asks its server before a start, taught that a call takes 0.2 s."""
    clock = asyncio.get_running_loop().time
    check = speed_check(backend, per_second)
    check.use_path("/health")
    admission = Admission(AdmissionSettings(slots=4))
    gate = Gate(admission, View(), clock, probing=SpeedProbing(check.probe_for_request, price))
    now = clock()
    ticket = gate.admission.arrive(one_call(now), now)
    gate.admission.finish(ticket, now + 0.2, worked=True)
    gate.admission.timing.learn_speed(1.0, now - 10.0)
    return gate, clock


def one_call(now):
    kind = RequestKind("view", repeatable=True)
    return Call("w", "s", kind, now + 2.0, target=now + 0.6, hold_until=now + 0.15)


def test_work_does_not_start_on_a_server_that_has_turned_slow_unseen():
    async def scenario():
        backend = TellingBackend(500)
        gate, clock = checked_gate(backend)
        refusal = await gate.start_call(one_call(clock()), 0.06)
        assert isinstance(refusal, NotRun) and refusal.reason is Reason.OVERLOADED
        assert backend.asked == 1
        assert gate.load_report().slowness == 5.0  # the refusal carries the fresh word

    run(scenario)


def test_work_starts_at_once_on_a_server_that_is_still_fast():
    async def scenario():
        backend = TellingBackend(100)
        gate, clock = checked_gate(backend)
        ticket = await gate.start_call(one_call(clock()), 0.06)
        assert ticket.started is not None
        assert backend.asked == 1
        assert (await gate.start_call(one_call(clock()), 0.06)).started is not None
        assert backend.asked == 1  # the word is fresh

    run(scenario)


def test_calls_that_come_together_share_one_question():
    async def scenario():
        backend = TellingBackend(100)
        gate, clock = checked_gate(backend)
        entering = [gate.start_call(one_call(clock()), 0.06) for _ in range(4)]
        tickets = await asyncio.gather(*entering)
        assert all(ticket.started is not None for ticket in tickets)
        assert backend.asked == 1

    run(scenario)


def test_no_question_is_asked_that_costs_more_than_it_saves():
    async def scenario():
        backend = TellingBackend(500)
        gate, clock = checked_gate(backend, price=0.9)
        assert (await gate.start_call(one_call(clock()), 0.06)).started is not None
        assert backend.asked == 0

    run(scenario)


def test_a_health_endpoint_that_hangs_does_not_hold_a_request():
    async def scenario():
        backend = AskedBackend()
        gate, clock = checked_gate(backend)
        ticket = await gate.start_call(one_call(clock()), 0.06)
        assert ticket.started is not None
        assert len(backend.heads) == 1 and not backend.given_up  # the question goes on
        gate.admission.timing.learn_speed(1.0, clock() - 10.0)
        await gate.start_call(one_call(clock()), 0.06)
        assert len(backend.heads) == 1  # it is left alone for a while

    run(scenario)


def test_questions_stay_within_their_bound():
    async def scenario():
        backend = TellingBackend(100)
        gate, clock = checked_gate(backend, per_second=3.0)
        for _ in range(4):
            gate.admission.timing.learn_speed(1.0, clock() - 10.0)
            ticket = await gate.start_call(one_call(clock()), 0.06)
            gate.finish_call(ticket, worked=False)
        assert backend.asked == 3

    run(scenario)


def test_a_slow_server_that_no_one_waits_for_is_left_alone_for_a_slow_stretch():
    async def scenario():
        gate, clock = checked_gate(TellingBackend(100))
        gate.update_load(BackendLoad(1, 0, 4, slowness=5.0))
        assert not gate.should_probe()
        waiting = asyncio.create_task(gate.start_call(one_call(clock()), UNLIMITED))
        for _ in range(TURNS):
            await asyncio.sleep(0)
        assert gate.admission.queued == 1 and gate.should_probe()
        await stop(waiting)
        gate.load_reported_at -= 10.0
        assert gate.should_probe()

    run(scenario)
