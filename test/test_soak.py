"""The parts of the soak test: the fault schedule drawn from a seed, and the checker."""

import asyncio

import pytest

from soak.__main__ import make_plans, soak
from soak.history import (
    DrainedZone,
    FrozenServer,
    History,
    NamedLimit,
    Observation,
    PlannedStop,
    TimedRun,
    find_violations,
)
from soak.ranks import Overload
from soak.schedule import (
    FINAL_CALM_SECONDS,
    INITIAL_CALM_SECONDS,
    MAX_UNCONFIRMED_SECONDS,
    ROUTES_FAULTS,
    Fault,
    draw_routes_steps,
    draw_schedule,
    mixed_version_routes_steps,
    mixed_version_schedule,
)
from soak.workspaces import Isolation, Outage, RemovedCredential, WorkspaceLimit
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
    steps = [
        step
        for seed in range(20)
        for step in (
            *draw_schedule(seed, 60.0, INSTANCES, ZONES),
            *draw_routes_steps(seed, 60.0, INSTANCES, "a"),
        )
    ]
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
def test_with_routes_a_limit_is_lowered_and_a_credential_removed_in_time(seed):
    """Later, no window would be left in which the change can be seen to count."""
    steps = draw_routes_steps(seed, 40.0, INSTANCES, "b")
    assert steps == draw_routes_steps(seed, 40.0, INSTANCES, "b")
    (lowered,) = (step for step in steps if step.fault is Fault.LOWER_LIMIT)
    (removed,) = (step for step in steps if step.fault is Fault.REMOVE_CREDENTIAL)
    assert lowered.where == "b" and lowered.end < removed.at < 30.0
    assert all(step.end <= 40.0 - FINAL_CALM_SECONDS for step in steps)


@pytest.mark.parametrize("seconds", [30.0, 40.0, 60.0])
@pytest.mark.parametrize("seed", range(30))
def test_with_routes_each_cut_and_an_overload_come_in_each_soak(seed, seconds):
    """Guards against a soak whose seed leaves one of them out, and against a daemon that is
    connected again before its configuration is too old.
    """
    usual = draw_schedule(seed, seconds, INSTANCES, ZONES)
    steps = draw_routes_steps(seed, seconds, INSTANCES, "b", usual)
    by_fault = {
        fault: [step for step in steps if step.fault is fault] for fault in ROUTES_FAULTS
    }
    for fault in (Fault.ISOLATE, Fault.FREEZE_SERVER):
        assert len({step.where for step in by_fault[fault]}) >= 2
    assert by_fault[Fault.OVERLOAD]
    (removed,) = by_fault[Fault.REMOVE_CREDENTIAL]
    assert removed.where and removed.seconds > MAX_UNCONFIRMED_SECONDS
    assert all(step.end <= seconds - FINAL_CALM_SECONDS + 1e-9 for step in steps)


def test_two_versions_have_a_removal_and_a_lower_limit_while_both_run():
    others, own = ["a", "b"], ["c", "d"]
    steps, _ = mixed_version_schedule(others, own, ZONES)
    routes_steps = mixed_version_routes_steps(others, "c")
    faults = {step.fault for step in routes_steps}
    assert {Fault.LOWER_LIMIT, Fault.REMOVE_CREDENTIAL} <= faults
    # Restarts would end the cut of the daemon, or delay it.
    (cut,) = (step for step in routes_steps if step.fault is Fault.REMOVE_CREDENTIAL)
    same_place = [step for step in steps if step.where == cut.where]
    assert not any(step.at < cut.end and cut.at < step.end for step in same_place)


@pytest.mark.parametrize("seed", range(30))
def test_a_schedule_spares_one_instance_and_ends_without_faults(seed):
    steps = draw_schedule(seed, 40.0, INSTANCES, ZONES)
    for step in steps:
        concurrent = [s for s in steps if s.at <= step.at < s.end]
        # A daemon goes on beside a limit of its server, or a crowd.
        spared = {Fault.LIMITED_SERVER, Fault.RUDE_CLIENTS}
        places = [s.where for s in concurrent if s.where and s.fault not in spared]
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


def routed_request(request_id, sent_at=0.0, credential="beta-secret", **fields):
    request = Request(
        request_id, "beta", "papers", False, Reported.ANSWERED, credential=credential
    )
    request.sent_at, request.entry = sent_at, "a"
    for name, value in fields.items():
        setattr(request, name, value)
    return request


def routed_run(request_id, at=0.1, workspace="beta", credential=""):
    return TimedRun(Run(request_id, "", 0.0, workspace, credential), "one", at)


def routed_history(requests, ran, **fields):
    """A history of the routes interface, with a limit that is lowered between 20 and 22 s."""
    lowered_refusals = [
        routed_request(f"refused-{at}", at, reported=Reported.NOT_RUN, reason="over-limit")
        for at in (1.0, 40.0)
    ]
    return History(
        requests=[*requests, *lowered_refusals],
        ran=list(ran),
        observations=[Observation(21.0, "a", 0, 2), Observation(21.5, "b", 0, 2)],
        credentials={"beta-secret": "beta", "gamma-secret": "gamma", "spare": "beta"},
        workspace_limits=[
            WorkspaceLimit("beta", 2.0, 2.0, 1, 0.0),
            WorkspaceLimit("beta", 0.4, 0.0, 2, 20.0),
        ],
        **fields,
    )


def burst(count, begin, seconds=4.0, arrives_after=0.1):
    """`count` requests of a workspace within a window, and their runs."""
    times = [begin + seconds * n / count for n in range(count)]
    requests = [routed_request(f"{begin}-{n}", at) for n, at in enumerate(times)]
    runs = [
        routed_run(request.request_id, request.sent_at + arrives_after) for request in requests
    ]
    return requests, runs


def overload(urgent, late, count=200, reason="overloaded"):
    """`count` requests of each kind, of which that many were answered, and their runs."""
    requests = []
    for kind, answered in (("urgent", urgent), ("late", late)):
        for number in range(count):
            is_answered = number < answered
            reported = Reported.ANSWERED if is_answered else Reported.NOT_RUN
            request = routed_request(
                f"{kind}-{number}", 6.0, kind=kind, reported=reported, reason=reason
            )
            request.workspace, request.credential = "gamma", "gamma-secret"
            requests.append(request)
    runs = [
        routed_run(request.request_id, 6.1, "gamma")
        for request in requests
        if request.reported is Reported.ANSWERED
    ]
    return requests, runs


def with_frozen_server(sent_at, ran_at):
    """A server that is frozen from 1 to 4 s, whose zone is drained from 2 to 6 s, and that runs
    a request after the freeze; and another one that was held back.
    """
    requests = [routed_request("r", sent_at), routed_request("s", 3.0)]
    runs = [
        TimedRun(Run("r", "", 0.0, "beta"), "one", ran_at, "a"),
        TimedRun(Run("s", "", 0.0, "beta"), "two", 4.2, "a"),
    ]
    return routed_history(
        requests,
        runs,
        drained_zones=[DrainedZone("one", 2.0, 6.0)],
        frozen_servers=[FrozenServer("a", 1.0, 4.0)],
    )


def with_cut(*requests):
    """A daemon without confirmations from 9 to 20 s, while a credential is removed."""
    outage = Outage("a", 9.0, 20.0)
    history = with_removal(8.0, outages=[outage], max_unconfirmed=3.0)
    history.unconfirmed = [outage]
    history.requests += requests
    return history


def with_removal(*sent, outages=(), **fields):
    """Requests that ran with a credential whose removal was acknowledged after 10 s."""
    requests = [routed_request(f"r{at}", at, "spare") for at in sent]
    late = routed_request("unanswered", 60.0, "spare", reported=Reported.NOT_RUN)
    runs = [routed_run(request.request_id, request.sent_at + 0.1) for request in requests]
    removals = [RemovedCredential("spare", 10.0)]
    return routed_history(
        [*requests, late], runs, removals=removals, outages=list(outages), **fields
    )


# The bound of the first limit in 5 s is (2 x 5 + 2) x 1.1 + 20, of the lower one 2 x 1.1 + 20.
ALLOWED, ALLOWED_LOWERED = 33, 22

KEPT_WORKSPACE_PROMISES = {
    "at the bound": routed_history(*burst(ALLOWED, 1.0)),
    "at the lower bound": routed_history(*burst(ALLOWED_LOWERED, 30.0)),
    # All daemons had the lower limit at 22 s, so it counts in windows from 27 s on.
    "a lower limit is not yet enforced": routed_history(*burst(ALLOWED, 26.0, 2.0)),
    "sent before the window": routed_history(*burst(60, 1.0, 4.0, arrives_after=6.0)),
    "an open route": routed_history(
        [routed_request("r", credential="")], [routed_run("r", workspace="")]
    ),
    "within the delay": with_removal(9.0, 12.4),
    "at a daemon that does not reach the store": with_removal(
        9.0, 16.0, outages=[Outage("a", 12.0, 14.0)]
    ),
    "while the store is down": with_removal(9.0, 16.0, outages=[Outage("", 12.0, 14.0)]),
    "unconfirmed for less than the limit": with_removal(
        9.0, 12.9, outages=[Outage("a", 9.0, 30.0)], max_unconfirmed=3.0
    ),
    "isolated from callers and other daemons": routed_history(
        [], [], isolations=[Isolation(n, 3.0, {"entry": 1, "peer": n == "a"}) for n in "ab"]
    ),
    "a frozen server starts what it got before a drain": with_frozen_server(1.5, 4.1),
    "refused while unconfirmed": with_cut(
        routed_request("s", 14.0, "spare", reported=Reported.NOT_RUN, reason="unconfirmed")
    ),
    "the late kind is answered less often": routed_history(
        *overload(urgent=200, late=50), overloads=[Overload(5.0, 8.0)]
    ),
    "within the tolerance of ranks": routed_history(
        *overload(urgent=110, late=120), overloads=[Overload(5.0, 8.0)]
    ),
}


@pytest.mark.parametrize("case", KEPT_WORKSPACE_PROMISES)
def test_a_history_that_keeps_the_workspaces_promises_is_accepted(case):
    """A checker that is stricter than the promise would report failures that are none."""
    assert find_violations(KEPT_WORKSPACE_PROMISES[case]) == []


WORKSPACE_BREACHES = {
    "over its limit, which allows 33.2": routed_history(*burst(ALLOWED + 1, 1.0)),
    "over its limit, which allows 22.2": routed_history(*burst(ALLOWED_LOWERED + 1, 28.0)),
    "its credential is of 'beta'": routed_history(
        [routed_request("r")], [routed_run("r", workspace="gamma")]
    ),
    "ran as workspace 'forged'": routed_history(
        [routed_request("r", credential="")], [routed_run("r", workspace="forged")]
    ),
    "a credential that no configuration held": routed_history(
        [routed_request("r", credential="never-held")], [routed_run("r")]
    ),
    "got the credential of r": routed_history(
        [routed_request("r")], [routed_run("r", credential="beta-secret")]
    ),
    "sent to a 2.60 s after": with_removal(9.0, 12.6),
    "that daemon reached the platform again": with_removal(
        9.0, 16.6, outages=[Outage("a", 12.0, 14.0), Outage("b", 14.0, 18.0)]
    ),
    "although its credential is held": routed_history(
        [routed_request("r", reported=Reported.NOT_RUN, reason="unauthenticated")], []
    ),
    "no request had run with": with_removal(),
    "no request used later": routed_history(
        [routed_request("r", 9.0, "spare")],
        [routed_run("r", 9.1)],
        removals=[RemovedCredential("spare", 10.0)],
    ),
    "silence at 3 s": routed_history([], [], ineffective_faults=["silence at 3 s"]),
    "isolation of a at 3.0 s from callers": routed_history(
        [], [], isolations=[Isolation("a", 3.0, {"entry": 0, "peer": 1})]
    ),
    "frozen servers": routed_history(
        [routed_request("r")],
        [routed_run("r")],
        frozen_servers=[FrozenServer("a", 1.0, 4.0)],
    ),
    "r ran in zone one at 4.10 s": with_frozen_server(2.5, 4.1),
    "r ran in zone one at 4.60 s": with_frozen_server(1.5, 4.6),
    "isolations from other daemons": routed_history(
        [], [], isolations=[Isolation(n, 3.0, {"entry": 1, "peer": 0}) for n in "ab"]
    ),
    "sent to a 4.50 s after": with_removal(
        9.0, 15.0, outages=[Outage("a", 9.0, 30.0)], max_unconfirmed=3.0
    ),
    "unconfirmed configuration of a": with_cut(
        routed_request("s", 14.0, "spare", reported=Reported.NOT_RUN)
    ),
    "removed credential at a, unconfirmed": with_cut(
        routed_request("s", 14.0, reported=Reported.NOT_RUN, reason="unconfirmed")
    ),
    "urgent kind was answered less often (0.50) than the late one (0.75)": routed_history(
        *overload(urgent=100, late=150), overloads=[Overload(5.0, 8.0)]
    ),
    # Failures for other reasons do not show that capacity was short.
    "overload at 4.0 s": routed_history(
        *overload(urgent=100, late=50, reason="could not connect"),
        overloads=[Overload(4.0, 8.0)],
    ),
    "overload at 5.0 s": routed_history(
        *overload(urgent=200, late=190), overloads=[Overload(5.0, 8.0)]
    ),
}


@pytest.mark.parametrize("promise", WORKSPACE_BREACHES)
def test_a_history_that_breaks_a_workspaces_promise_is_detected(promise):
    breaches = find_violations(WORKSPACE_BREACHES[promise])
    assert len(breaches) == 1 and promise in breaches[0]


@pytest.mark.parametrize("refused_at", [1.0, 40.0])
def test_a_limit_that_refused_nothing_was_not_put_to_the_test(refused_at):
    history = routed_history([], [])
    history.requests = [one for one in history.requests if one.sent_at != refused_at]
    (breach,) = find_violations(history)
    assert breach.startswith("fault without effect") and "limit of beta" in breach


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


def test_a_short_soak_with_routes_breaks_no_promise(tmp_path):
    """Real daemons under faults: a workspace above its limit, a credential that is removed."""
    history = asyncio.run(soak(tmp_path, 3, 30.0, by_routes=True))
    assert find_violations(history) == []
    assert history.removals and len(history.workspace_limits) >= 4


@pytest.mark.parametrize("seed", [3, 11])
def test_a_short_soak_breaks_no_promise(seed, tmp_path):
    history = asyncio.run(soak(tmp_path, seed, 20.0))
    assert find_violations(history) == []
    assert history.final_sent and any(
        request.reported is Reported.ANSWERED for request in history.requests
    )
