"""The soak's own parts: a course that its seed decides, a checker that finds each breach."""

import asyncio

import pytest

from soak.__main__ import make_plans, soak
from soak.course import FIRST, LAST, Fault, beside_other_version, draw
from soak.history import DrainedZone, History, Observation, Ran, Stopped, broken_promises
from standins.backend import Run
from standins.caller import Reported, Request
from standins.cluster import python_path

INSTANCES = ("a", "b", "c", "d")
ZONES = ("one", "two")


def request(request_id="r", reported=Reported.ANSWERED, once=True, unexpected_answer=""):
    return Request(
        request_id, "alpha", "papers", once, reported, unexpected_answer=unexpected_answer
    )


def ran(request_id="r", zone="one", at=1.0):
    return Ran(Run(request_id, ""), zone, at)


def test_a_seed_decides_the_course():
    assert draw(7, 60.0, INSTANCES, ZONES) == draw(7, 60.0, INSTANCES, ZONES)
    assert draw(7, 60.0, INSTANCES, ZONES) != draw(8, 60.0, INSTANCES, ZONES)


def test_every_fault_comes_and_faults_overlap():
    steps = [step for seed in range(20) for step in draw(seed, 60.0, INSTANCES, ZONES)]
    assert {step.fault for step in steps} == set(Fault)
    course = draw(1, 60.0, INSTANCES, ZONES)
    overlaps = sum(
        one.at < other.at < one.end for one in course for other in course if other is not one
    )
    assert overlaps >= len(course) / 3


@pytest.mark.parametrize("seed", range(30))
def test_a_course_leaves_an_instance_alone_and_a_calm_end(seed):
    steps = draw(seed, 40.0, INSTANCES, ZONES)
    for step in steps:
        at_once = [s for s in steps if s.at <= step.at < s.end]
        places = [s.where for s in at_once if s.where]
        assert len(places) == len(set(places))
        assert len([place for place in places if place in INSTANCES]) < len(INSTANCES)
        assert step.at >= FIRST and step.end <= 40.0 - LAST + 1e-9


def test_half_of_the_daemons_run_the_other_version_until_they_are_updated(tmp_path):
    assert all(plan.checkout is None for plan in make_plans())
    plans = make_plans(tmp_path)
    others = [plan.name for plan in plans if plan.checkout == tmp_path]
    own = [plan.name for plan in plans if plan.checkout is None]
    assert len(others) == len(own)
    for zone in ZONES:
        assert len({plan.checkout for plan in plans if plan.zone == zone}) == 2
    steps, updates = beside_other_version(others, own, ZONES)
    where = {fault: {step.where for step in steps if step.fault is fault} for fault in Fault}
    assert where[Fault.STOP] == {*others, *own} and where[Fault.ZONE_DRAIN] == set(ZONES)
    assert where[Fault.DRAIN] & set(others) and where[Fault.DRAIN] & set(own)
    assert where[Fault.ROLLOUT]
    assert [step.where for step in updates if step.fault is Fault.STOP] == others


def test_the_other_version_is_found_before_this_one(tmp_path):
    (tmp_path / "packages" / "wheatslipd").mkdir(parents=True)
    assert python_path(tmp_path).startswith(f"{tmp_path.resolve()}/packages/wheatslipd")


def test_a_good_history_breaks_nothing():
    history = History(
        requests=[request("r"), request("s", Reported.NOT_RUN)],
        ran=[ran("r")],
        observations=[
            Observation(1.0, "a", 0, 1),
            Observation(2.0, "a", 0, 2),
            Observation(3.0, "a", 1, 1),
        ],
        drained_zones=[DrainedZone("one", 2.0, 3.0)],
        stopped=[Stopped("a", 0)],
        last_answered=3,
        last_sent=3,
    )
    assert broken_promises(history) == []


FORGED = {
    "ran twice": History(requests=[request()], ran=[ran(), ran()]),
    "ran though told not": History(requests=[request(reported=Reported.NOT_RUN)], ran=[ran()]),
    "answered but never run": History(requests=[request()]),
    "wrong answer": History(requests=[request(unexpected_answer="another's")], ran=[ran()]),
    "went back from version": History(
        observations=[Observation(1.0, "a", 0, 2), Observation(2.0, "a", 0, 1)]
    ),
    "emptied since": History(
        requests=[request()], ran=[ran(at=2.5)], drained_zones=[DrainedZone("one", 2.0, 3.0)]
    ),
    "after a planned stop": History(stopped=[Stopped("a", 1)]),
    "servers had ended": History(ends=[1.0, 2.0, 3.0], fatal_runs=[1.0, 6.1, 6.2, 6.3, 6.4]),
    "in the calm end": History(last_answered=2, last_sent=3),
}


@pytest.mark.parametrize("promise", FORGED)
def test_a_forged_history_is_found_out(promise):
    found = broken_promises(FORGED[promise])
    assert len(found) == 1 and promise in found[0]


@pytest.mark.parametrize("seed", [3, 11])
def test_a_short_soak_breaks_no_promise(seed, tmp_path):
    history = asyncio.run(soak(tmp_path, seed, 20.0))
    assert broken_promises(history) == []
    assert history.last_sent and any(
        one.reported is Reported.ANSWERED for one in history.requests
    )
