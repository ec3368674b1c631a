"""Quarantine of requests that ran on servers that ended, with reports in any order."""

import asyncio

from hypothesis import given
from hypothesis import strategies as st
from wheatslip.call import UNLIMITED, Call, RequestKind
from wheatslip.distribution.endlog import MAX_REPORTS, EndLog
from wheatslip.outcome import NotRun, Reason
from wheatslip.quarantine import (
    HOLD_AFTER_ENDS,
    MAX_SUSPECTS,
    REPORT_TTL_SECONDS,
    Lift,
    Quarantine,
    ServerEnd,
    Standing,
)
from wheatslipd.gate.suspects import SuspectGuard

from test.helper import run

NOW = 1000.0


def make_end(number, *fingerprints, since=NOW):
    return ServerEnd(f"end-{number}", since, "papers", fingerprints)


def make_quarantine(count, fingerprint="f"):
    quarantine = Quarantine()
    for number in range(count):
        quarantine.take(make_end(number, fingerprint), NOW)
    return quarantine


def test_a_request_is_held_after_three_ends_and_suspect_before():
    standings = [make_quarantine(count).standing("f", NOW) for count in range(5)]
    suspect = [Standing.SUSPECT] * (HOLD_AFTER_ENDS - 1)
    assert standings == [Standing.FREE, *suspect, Standing.HELD, Standing.HELD]
    quarantine = Quarantine()
    newly_held = [quarantine.take(make_end(number, "f", "g"), NOW) for number in range(4)]
    assert newly_held == [(), (), ("f", "g"), ()]


def test_answer_clears_a_request_and_resets_its_count_of_ends():
    quarantine = make_quarantine(HOLD_AFTER_ENDS - 1)
    quarantine.answered("f")
    assert quarantine.standing("f", NOW) is Standing.FREE
    quarantine.take(make_end(9, "f"), NOW)
    assert quarantine.standing("f", NOW) is Standing.SUSPECT


def test_hold_expires_and_one_more_end_does_not_renew_it():
    quarantine = make_quarantine(HOLD_AFTER_ENDS)
    assert quarantine.held_for("f", NOW) == REPORT_TTL_SECONDS
    later = NOW + REPORT_TTL_SECONDS
    assert quarantine.held_for("f", later) == 0.0
    assert quarantine.standing("f", later) is Standing.FREE
    assert len(quarantine) == 0
    quarantine.take(make_end(9, "f", since=later), later)
    assert quarantine.standing("f", later) is Standing.SUSPECT


def test_lift_frees_a_request_and_late_reports_of_earlier_ends_are_ignored():
    quarantine = make_quarantine(HOLD_AFTER_ENDS)
    quarantine.take(Lift("lift", NOW + 1, "f"), NOW + 1)
    assert quarantine.standing("f", NOW + 1) is Standing.FREE
    quarantine.take(make_end(8, "f"), NOW + 2)
    assert quarantine.standing("f", NOW + 2) is Standing.FREE
    quarantine.take(make_end(9, "f", since=NOW + 2), NOW + 2)
    assert quarantine.standing("f", NOW + 2) is Standing.SUSPECT


def test_reports_from_a_clock_that_is_ahead_expire_like_others():
    quarantine = Quarantine()
    for number in range(HOLD_AFTER_ENDS):
        quarantine.take(make_end(number, "f", since=NOW + 3600), NOW)
    assert quarantine.held_for("f", NOW) == REPORT_TTL_SECONDS


def test_reports_that_are_too_old_do_not_count():
    quarantine = Quarantine()
    quarantine.take(make_end(1, "f", since=NOW - REPORT_TTL_SECONDS), NOW)
    assert len(quarantine) == 0


def test_records_are_bounded_and_held_requests_are_evicted_last():
    quarantine = make_quarantine(HOLD_AFTER_ENDS, "held")
    for number in range(3 * MAX_SUSPECTS):
        quarantine.take(make_end(f"other-{number}", f"f{number}"), NOW)
    assert len(quarantine) == MAX_SUSPECTS
    assert [record.fingerprint for record in quarantine.held(NOW)] == ["held"]
    log = EndLog()
    for number in range(3 * MAX_REPORTS):
        log.add(make_end(number, "f"), "a", NOW)
    assert len(log.after(0)) == MAX_REPORTS


FINGERPRINTS = st.lists(st.sampled_from("fgh"), min_size=1, unique=True)
ENDS = st.lists(FINGERPRINTS, max_size=8)


@given(ENDS, st.randoms(use_true_random=False))
def test_order_and_repetition_of_reports_do_not_change_the_standings(ends, rng):
    reports = [make_end(number, *names) for number, names in enumerate(ends)]
    shuffled = reports + rng.choices(reports, k=5) if reports else []
    rng.shuffle(shuffled)
    standings = []
    for order in (reports, shuffled):
        log, quarantine = EndLog(), Quarantine()
        for report in order:
            if log.add(report, rng.choice("ab"), NOW):
                quarantine.take(report, NOW)
        standings.append([quarantine.standing(name, NOW) for name in "fgh"])
    assert standings[0] == standings[1]


def test_log_returns_later_reports_but_not_to_their_source():
    log = EndLog()
    first, second = make_end(1, "f"), make_end(2, "f")
    assert log.add(first, "a", NOW) and log.add(second, "b", NOW)
    assert not log.add(first, "b", NOW)
    assert log.after(0) == (first, second)
    assert log.after(1) == (second,) and log.after(2) == ()
    assert log.after(0, exclude_source="a") == (second,)
    assert not log.add(make_end(3, "f", since=NOW - REPORT_TTL_SECONDS), "a", NOW)
    log.add(make_end(4, "f", since=NOW + REPORT_TTL_SECONDS), "a", NOW + REPORT_TTL_SECONDS)
    assert len(log.after(0)) == 1


def make_call(hold_until=UNLIMITED):
    return Call("", "papers", RequestKind("view", True), deadline=10.0, hold_until=hold_until)


class GuardedGate:
    """A gate's guard, and the requests that run behind it."""

    def __init__(self, quarantine):
        self.guard = SuspectGuard(quarantine, lambda: 0.0, lambda: NOW)
        self.running = []
        self.max_running = 0

    async def run_request(self, fingerprint, *, max_wait=UNLIMITED, was_suspected=False):
        async with self.guard.reserve(
            make_call(), fingerprint, max_wait, was_suspected=was_suspected
        ) as refusal:
            if refusal is not None:
                return refusal
            self.running.append(fingerprint)
            self.max_running = max(self.max_running, len(self.running))
            await asyncio.sleep(0.01)
            self.running.remove(fingerprint)
            return None


def test_suspects_run_one_at_a_time_and_others_concurrently():
    async def scenario():
        quarantine = Quarantine()
        quarantine.take(make_end(1, "f", "g"), NOW)
        gate = GuardedGate(quarantine)
        refusals = await asyncio.gather(
            gate.run_request("f"),
            gate.run_request("g"),
            gate.run_request("h", was_suspected=True),
        )
        assert refusals == [None] * 3 and gate.max_running == 1
        gate.max_running = 0
        await asyncio.gather(*(gate.run_request(name) for name in "fxyz"))
        assert gate.max_running == 4

    run(scenario)


def test_a_suspect_that_may_not_wait_is_refused_as_overloaded():
    async def scenario():
        quarantine = Quarantine()
        quarantine.take(make_end(1, "f", "g"), NOW)
        gate = GuardedGate(quarantine)
        first, second = await asyncio.gather(
            gate.run_request("f"), gate.run_request("g", max_wait=0.001)
        )
        assert first is None
        assert isinstance(second, NotRun) and second.reason is Reason.OVERLOADED

    run(scenario)


def test_a_request_that_becomes_held_while_it_waits_does_not_run():
    async def scenario():
        quarantine = Quarantine()
        quarantine.take(make_end(1, "f", "g"), NOW)
        gate = GuardedGate(quarantine)
        first = asyncio.create_task(gate.run_request("f"))
        second = asyncio.create_task(gate.run_request("g"))
        await asyncio.sleep(0.002)
        for number in (2, 3):
            quarantine.take(make_end(number, "g"), NOW)
        assert await first is None
        refusal = await second
        assert refusal.reason is Reason.ENDS_SERVERS
        assert refusal.retry_after == REPORT_TTL_SECONDS
        assert (await gate.run_request("g")).reason is Reason.ENDS_SERVERS

    run(scenario)
