"""Probes of the health endpoint of a backend server whose speed is unknown or outdated."""

import asyncio
from contextlib import suppress

from wheatslip.admission import Admission, AdmissionSettings
from wheatslip.admission.coldstart import ColdRate
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
LOOP_TURNS = 50  # turns of the event loop in which a task that can proceed does so


class SilentBackend:
    """A backend server that records the request heads it receives, and never answers."""

    def __init__(self):
        self.heads = []
        self.was_probed = asyncio.Event()
        self.is_cancelled = False

    async def send(self, head, body, echo=None):
        self.heads.append(head)
        self.was_probed.set()
        try:
            await asyncio.Event().wait()
        finally:
            self.is_cancelled = True


def make_speed_check(backend, per_second=60.0):
    clock = asyncio.get_running_loop().time
    metrics = Metrics("a", "one")
    return SpeedCheck(backend, NAMES, metrics, clock, SlidingLimit(per_second))


async def start_recovery_probe(path):
    """Probe a silent server; returns the speed check, the server and the task of the probe."""
    clock = asyncio.get_running_loop().time
    gate = Gate(Admission(AdmissionSettings()), View(), clock)
    backend = SilentBackend()
    check = make_speed_check(backend)
    check.use_path(path)
    gate.needs_probe.set()
    task = asyncio.create_task(RecoveryProbe(gate, check, clock, 0.05).run())
    for _ in range(LOOP_TURNS):
        await asyncio.sleep(0)
    return check, backend, task


async def cancel_task(task):
    task.cancel()
    with suppress(asyncio.CancelledError):
        await task


def test_no_probe_is_sent_before_the_path_of_the_health_endpoint_is_known():
    async def scenario():
        check, backend, task = await start_recovery_probe("")
        assert not backend.heads
        check.use_path("/health")
        await asyncio.wait_for(backend.was_probed.wait(), 5.0)
        assert backend.heads[0].target == b"/health"
        await cancel_task(task)

    run(scenario)


def test_a_server_of_unknown_speed_is_probed():
    async def scenario():
        _, backend, task = await start_recovery_probe("/health")
        await asyncio.wait_for(backend.was_probed.wait(), 5.0)
        await cancel_task(task)

    run(scenario)


class ReportingBackend:
    """A backend server whose health endpoint reports its load and slowness, in percent."""

    def __init__(self, slowness):
        self.slowness = slowness
        self.probe_count = 0

    async def send(self, head, body, echo=None):
        self.probe_count += 1
        await asyncio.sleep(0)
        response_body = Body(lambda: None, lambda: None)
        response_body.finish()
        load = (b"load-report", b"1,0,4,%d" % self.slowness)
        return BackendAnswer(Response(ResponseHead(200, [load]), response_body), None)

    def release(self, answer):
        pass


def make_probing_gate(backend, price=0.02, per_second=60.0):
    """A gate that probes its server before a start, and has observed a call of 0.2 s."""
    clock = asyncio.get_running_loop().time
    check = make_speed_check(backend, per_second)
    check.use_path("/health")
    admission = Admission(AdmissionSettings(slots=4))
    gate = Gate(admission, View(), clock, probing=SpeedProbing(check.probe_for_request, price))
    now = clock()
    ticket = gate.admission.arrive(make_call(now), now)
    gate.admission.finish(ticket, now + 0.2, worked=True)
    gate.admission.timing.learn_speed(1.0, now - 10.0)
    return gate, clock


def make_call(now):
    kind = RequestKind("view", repeatable=True)
    return Call("w", "s", kind, now + 2.0, target=now + 0.6, hold_until=now + 0.15)


def test_a_request_does_not_start_on_a_server_that_has_turned_slow_since_its_last_report():
    async def scenario():
        backend = ReportingBackend(500)
        gate, clock = make_probing_gate(backend)
        refusal = await gate.start_call(make_call(clock()), 0.06)
        assert isinstance(refusal, NotRun) and refusal.reason is Reason.OVERLOADED
        assert backend.probe_count == 1
        assert gate.load_report().slowness == 5.0  # the refusal reports the new slowness

    run(scenario)


def test_a_request_starts_after_a_probe_of_a_server_that_is_still_fast():
    async def scenario():
        backend = ReportingBackend(100)
        gate, clock = make_probing_gate(backend)
        ticket = await gate.start_call(make_call(clock()), 0.06)
        assert ticket.started is not None
        assert backend.probe_count == 1
        assert (await gate.start_call(make_call(clock()), 0.06)).started is not None
        assert backend.probe_count == 1  # no second probe, since the report is recent

    run(scenario)


def test_concurrent_calls_share_one_probe():
    async def scenario():
        backend = ReportingBackend(100)
        gate, clock = make_probing_gate(backend)
        starts = [gate.start_call(make_call(clock()), 0.06) for _ in range(4)]
        tickets = await asyncio.gather(*starts)
        assert all(ticket.started is not None for ticket in tickets)
        assert backend.probe_count == 1

    run(scenario)


def test_no_probe_is_sent_that_costs_more_than_its_expected_gain():
    async def scenario():
        backend = ReportingBackend(500)
        gate, clock = make_probing_gate(backend, price=0.9)
        assert (await gate.start_call(make_call(clock()), 0.06)).started is not None
        assert backend.probe_count == 0

    run(scenario)


def test_a_health_endpoint_that_hangs_does_not_delay_requests():
    async def scenario():
        backend = SilentBackend()
        gate, clock = make_probing_gate(backend)
        ticket = await gate.start_call(make_call(clock()), 0.06)
        assert ticket.started is not None
        assert len(backend.heads) == 1 and not backend.is_cancelled  # the probe continues
        gate.admission.timing.learn_speed(1.0, clock() - 10.0)
        await gate.start_call(make_call(clock()), 0.06)
        assert len(backend.heads) == 1  # probing is paused after an unanswered probe

    run(scenario)


def test_questions_stay_within_their_bound():
    async def scenario():
        backend = ReportingBackend(100)
        gate, clock = make_probing_gate(backend, per_second=3.0)
        for _ in range(4):
            gate.admission.timing.learn_speed(1.0, clock() - 10.0)
            ticket = await gate.start_call(make_call(clock()), 0.06)
            gate.finish_call(ticket, worked=False)
        assert backend.probe_count == 3

    run(scenario)


def test_a_slow_server_without_queued_requests_is_not_probed_for_a_slow_period():
    async def scenario():
        gate, clock = make_probing_gate(ReportingBackend(100))
        gate.update_load(BackendLoad(1, 0, 4, slowness=5.0))
        assert not gate.should_probe()
        waiting = asyncio.create_task(gate.start_call(make_call(clock()), UNLIMITED))
        for _ in range(LOOP_TURNS):
            await asyncio.sleep(0)
        assert gate.admission.queued == 1 and gate.should_probe()
        await cancel_task(waiting)
        gate.load_reported_at -= 10.0
        assert gate.should_probe()

    run(scenario)


def test_a_server_that_is_assumed_cold_is_probed_also_if_responses_report_its_load():
    """Guards against a restored zone that gets the load of a cold one for its whole time."""

    async def scenario():
        clock = asyncio.get_running_loop().time
        gate = Gate(Admission(AdmissionSettings()), View(), clock)
        gate.admission.cold.set_rate(ColdRate(5.0, 8.0))
        backend = SilentBackend()
        check = make_speed_check(backend)
        check.use_path("/health")
        task = asyncio.create_task(RecoveryProbe(gate, check, clock, 0.2).run())
        gate.on_zone_restored()
        for _ in range(20):
            gate.update_load(BackendLoad(1, 0, 4))
            await asyncio.sleep(0.02)
        assert backend.heads
        gate.update_cold_state(0.0)
        gate.update_load(BackendLoad(1, 0, 4))
        assert not gate.needs_probe.is_set()
        await cancel_task(task)

    run(scenario)
