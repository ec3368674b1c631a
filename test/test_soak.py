"""The parts of the soak test: the fault schedule drawn from a seed, and the checker."""

import asyncio

import pytest

from soak.__main__ import make_plans, soak
from soak.history import (
    DrainedZone,
    History,
    NamedLimit,
    Observation,
    PlannedStop,
    TimedRun,
    find_violations,
)
from soak.schedule import (
    FINAL_CALM_SECONDS,
    INITIAL_CALM_SECONDS,
    Fault,
    draw_schedule,
    mixed_version_schedule,
)
from standins.backend import Run
from standins.caller import Reported, Request
from standins.cluster import python_path

INSTANCES = ("a", "b", "c", "d")
ZONES = ("one", "two")


def make_request(request_id="r", reported=Reported.ANSWERED, once=True, unexpected_answer=""):
    return Request(
        request_id, "alpha", "papers", once, reported, unexpected_answer=unexpected_answer
    )


def make_run(request_id="r", zone="one", at=1.0, instance=""):
    return TimedRun(Run(request_id, ""), zone, at, instance)


def test_a_seed_determines_the_schedule():
    assert draw_schedule(7, 60.0, INSTANCES, ZONES) == draw_schedule(7, 60.0, INSTANCES, ZONES)
    assert draw_schedule(7, 60.0, INSTANCES, ZONES) != draw_schedule(8, 60.0, INSTANCES, ZONES)


def test_every_fault_occurs_and_faults_overlap():
    steps = [step for seed in range(20) for step in draw_schedule(seed, 60.0, INSTANCES, ZONES)]
    assert {step.fault for step in steps} == set(Fault)
    schedule = draw_schedule(1, 60.0, INSTANCES, ZONES)
    overlaps = sum(
        step.at < other.at < step.end
        for step in schedule
        for other in schedule
        if other is not step
    )
    assert overlaps >= len(schedule) / 3


@pytest.mark.parametrize("seed", range(30))
def test_a_schedule_spares_one_instance_and_ends_without_faults(seed):
    steps = draw_schedule(seed, 40.0, INSTANCES, ZONES)
    for step in steps:
        concurrent = [s for s in steps if s.at <= step.at < s.end]
        places = [
            s.where for s in concurrent if s.where and s.fault is not Fault.LIMITED_SERVER
        ]
        assert len(places) == len(set(places))
        assert len([place for place in places if place in INSTANCES]) < len(INSTANCES)
        assert step.at >= INITIAL_CALM_SECONDS and step.end <= 40.0 - FINAL_CALM_SECONDS + 1e-9


def test_half_of_the_daemons_run_the_other_version_until_they_are_updated(tmp_path):
    assert all(plan.checkout is None for plan in make_plans())
    plans = make_plans(tmp_path)
    others = [plan.name for plan in plans if plan.checkout == tmp_path]
    own = [plan.name for plan in plans if plan.checkout is None]
    assert len(others) == len(own)
    for zone in ZONES:
        assert len({plan.checkout for plan in plans if plan.zone == zone}) == 2
    steps, updates = mixed_version_schedule(others, own, ZONES)
    where = {fault: {step.where for step in steps if step.fault is fault} for fault in Fault}
    assert where[Fault.STOP] == {*others, *own} and where[Fault.ZONE_DRAIN] == set(ZONES)
    assert where[Fault.DRAIN] & set(others) and where[Fault.DRAIN] & set(own)
    assert where[Fault.ROLLOUT]
    assert [step.where for step in updates if step.fault is Fault.STOP] == others


def test_the_other_version_precedes_this_one_on_the_python_path(tmp_path):
    (tmp_path / "packages" / "wheatslipd").mkdir(parents=True)
    assert python_path(tmp_path).startswith(f"{tmp_path.resolve()}/packages/wheatslipd")


def test_a_valid_history_breaks_no_promise():
    history = History(
        requests=[make_request("r"), make_request("s", Reported.NOT_RUN)],
        ran=[make_run("r")],
        observations=[
            Observation(1.0, "a", 0, 1),
            Observation(2.0, "a", 0, 2),
            Observation(3.0, "a", 1, 1),
        ],
        drained_zones=[DrainedZone("one", 2.0, 3.0)],
        planned_stops=[PlannedStop("a", 0)],
        limits=[NamedLimit("a", 1.0, 0.0, 20.0)],
        final_answered=3,
        final_sent=3,
    )
    assert find_violations(history) == []


BREACHES = {
    "ran twice": History(requests=[make_request()], ran=[make_run(), make_run()]),
    "ran though told not": History(
        requests=[make_request(reported=Reported.NOT_RUN)], ran=[make_run()]
    ),
    "answered but never run": History(requests=[make_request()]),
    "wrong answer": History(
        requests=[make_request(unexpected_answer="another's")], ran=[make_run()]
    ),
    "went back from version": History(
        observations=[Observation(1.0, "a", 0, 2), Observation(2.0, "a", 0, 1)]
    ),
    "emptied since": History(
        requests=[make_request()],
        ran=[make_run(at=2.5)],
        drained_zones=[DrainedZone("one", 2.0, 3.0)],
    ),
    "after a planned stop": History(planned_stops=[PlannedStop("a", 1)]),
    "servers had ended": History(ends=[1.0, 2.0, 3.0], fatal_runs=[1.0, 6.1, 6.2, 6.3, 6.4]),
    "over the limit": History(
        requests=[make_request(str(n)) for n in range(12)],
        ran=[make_run(str(n), at=3.1 + n / 4, instance="a") for n in range(12)],
        limits=[NamedLimit("a", 1.0, 0.0, 20.0)],
    ),
    "in the calm end": History(final_answered=2, final_sent=3),
}


@pytest.mark.parametrize("promise", BREACHES)
def test_a_history_that_breaks_a_promise_is_detected(promise):
    breaches = find_violations(BREACHES[promise])
    assert len(breaches) == 1 and promise in breaches[0]


@pytest.mark.parametrize("seed", [3, 11])
def test_a_short_soak_breaks_no_promise(seed, tmp_path):
    history = asyncio.run(soak(tmp_path, seed, 20.0))
    assert find_violations(history) == []
    assert history.final_sent and any(
        request.reported is Reported.ANSWERED for request in history.requests
    )
