"""What is held against requests under which servers ended: by any reports, in any order."""

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


def end(number, *fingerprints, since=NOW):
    return ServerEnd(f"end-{number}", since, "papers", fingerprints)


def with_ends(count, fingerprint="f"):
    quarantine = Quarantine()
    for number in range(count):
        quarantine.take(end(number, fingerprint), NOW)
    return quarantine


def test_a_request_is_held_after_three_ends_and_suspect_before():
    standings = [with_ends(count).standing("f", NOW) for count in range(5)]
    suspect = [Standing.SUSPECT] * (HOLD_AFTER_ENDS - 1)
    assert standings == [Standing.FREE, *suspect, Standing.HELD, Standing.HELD]
    quarantine = Quarantine()
    newly_held = [quarantine.take(end(number, "f", "g"), NOW) for number in range(4)]
    assert newly_held == [(), (), ("f", "g"), ()]


def test_an_answer_clears_a_request_and_ends_after_it_count_anew():
    quarantine = with_ends(HOLD_AFTER_ENDS - 1)
    quarantine.answered("f")
    assert quarantine.standing("f", NOW) is Standing.FREE
    quarantine.take(end(9, "f"), NOW)
    assert quarantine.standing("f", NOW) is Standing.SUSPECT


def test_a_hold_ends_by_itself_and_one_more_end_does_not_renew_it():
    quarantine = with_ends(HOLD_AFTER_ENDS)
    assert quarantine.held_for("f", NOW) == REPORT_TTL_SECONDS
    later = NOW + REPORT_TTL_SECONDS
    assert quarantine.held_for("f", later) == 0.0
    assert quarantine.standing("f", later) is Standing.FREE
    assert len(quarantine) == 0
    quarantine.take(end(9, "f", since=later), later)
    assert quarantine.standing("f", later) is Standing.SUSPECT


def test_a_lift_frees_a_request_and_late_reports_of_ends_before_it_do_not_count():
    quarantine = with_ends(HOLD_AFTER_ENDS)
    quarantine.take(Lift("lift", NOW + 1, "f"), NOW + 1)
    assert quarantine.standing("f", NOW + 1) is Standing.FREE
    quarantine.take(end(8, "f"), NOW + 2)
    assert quarantine.standing("f", NOW + 2) is Standing.FREE
    quarantine.take(end(9, "f", since=NOW + 2), NOW + 2)
    assert quarantine.standing("f", NOW + 2) is Standing.SUSPECT


def test_an_end_by_a_clock_that_is_ahead_counts_no_longer_than_others():
    quarantine = Quarantine()
    for number in range(HOLD_AFTER_ENDS):
        quarantine.take(end(number, "f", since=NOW + 3600), NOW)
    assert quarantine.held_for("f", NOW) == REPORT_TTL_SECONDS


def test_reports_that_are_too_old_do_not_count():
    quarantine = Quarantine()
    quarantine.take(end(1, "f", since=NOW - REPORT_TTL_SECONDS), NOW)
    assert len(quarantine) == 0


def test_the_memory_is_bounded_and_held_requests_stay_longest():
    quarantine = with_ends(HOLD_AFTER_ENDS, "held")
    for number in range(3 * MAX_SUSPECTS):
        quarantine.take(end(f"other-{number}", f"f{number}"), NOW)
    assert len(quarantine) == MAX_SUSPECTS
    assert [one.fingerprint for one in quarantine.held(NOW)] == ["held"]
    log = EndLog()
    for number in range(3 * MAX_REPORTS):
        log.add(end(number, "f"), "a", NOW)
    assert len(log.after(0)) == MAX_REPORTS


FINGERPRINTS = st.lists(st.sampled_from("fgh"), min_size=1, unique=True)
ENDS = st.lists(FINGERPRINTS, max_size=8)


@given(ENDS, st.randoms(use_true_random=False))
def test_in_any_order_and_however_often_reports_come_to_the_same(ends, rng):
    reports = [end(number, *names) for number, names in enumerate(ends)]
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


def test_a_log_gives_back_what_came_later_but_not_to_where_it_came_from():
    log = EndLog()
    first, second = end(1, "f"), end(2, "f")
    assert log.add(first, "a", NOW) and log.add(second, "b", NOW)
    assert not log.add(first, "b", NOW)
    assert log.after(0) == (first, second)
    assert log.after(1) == (second,) and log.after(2) == ()
    assert log.after(0, exclude_source="a") == (second,)
    assert not log.add(end(3, "f", since=NOW - REPORT_TTL_SECONDS), "a", NOW)
    log.add(end(4, "f", since=NOW + REPORT_TTL_SECONDS), "a", NOW + REPORT_TTL_SECONDS)
    assert len(log.after(0)) == 1


def call(hold=UNLIMITED):
    return Call("", "papers", RequestKind("view", True), deadline=10.0, hold_until=hold)


class Place:
    """A gate's guard, with what is inside now."""

    def __init__(self, quarantine):
        self.guard = SuspectGuard(quarantine, lambda: 0.0, lambda: NOW)
        self.inside = []
        self.most = 0

    async def pass_through(self, fingerprint, *, max_wait=UNLIMITED, was_suspected=False):
        async with self.guard.reserve(
            call(), fingerprint, max_wait, was_suspected=was_suspected
        ) as refusal:
            if refusal is not None:
                return refusal
            self.inside.append(fingerprint)
            self.most = max(self.most, len(self.inside))
            await asyncio.sleep(0.01)
            self.inside.remove(fingerprint)
            return None


def test_suspects_run_one_at_a_time_and_others_beside_them():
    async def scenario():
        quarantine = Quarantine()
        quarantine.take(end(1, "f", "g"), NOW)
        place = Place(quarantine)
        refusals = await asyncio.gather(
            place.pass_through("f"),
            place.pass_through("g"),
            place.pass_through("h", was_suspected=True),
        )
        assert refusals == [None] * 3 and place.most == 1
        place.most = 0
        await asyncio.gather(*(place.pass_through(name) for name in "fxyz"))
        assert place.most == 4

    run(scenario)


def test_a_suspect_that_may_not_wait_is_refused_as_overloaded():
    async def scenario():
        quarantine = Quarantine()
        quarantine.take(end(1, "f", "g"), NOW)
        place = Place(quarantine)
        first, second = await asyncio.gather(
            place.pass_through("f"), place.pass_through("g", max_wait=0.001)
        )
        assert first is None
        assert isinstance(second, NotRun) and second.reason is Reason.OVERLOADED

    run(scenario)


def test_a_request_that_becomes_held_while_it_waits_does_not_run():
    async def scenario():
        quarantine = Quarantine()
        quarantine.take(end(1, "f", "g"), NOW)
        place = Place(quarantine)
        first = asyncio.create_task(place.pass_through("f"))
        second = asyncio.create_task(place.pass_through("g"))
        await asyncio.sleep(0.002)
        for number in (2, 3):
            quarantine.take(end(number, "g"), NOW)
        assert await first is None
        refusal = await second
        assert refusal.reason is Reason.ENDS_SERVERS
        assert refusal.retry_after == REPORT_TTL_SECONDS
        assert (await place.pass_through("g")).reason is Reason.ENDS_SERVERS

    run(scenario)
