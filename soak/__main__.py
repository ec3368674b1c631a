"""Runs one soak: `python -m soak --seed 7 --minutes 1`; exit code 0 if all guarantees held.

With `--other-version PATH`, half of the daemons run the code of another checkout. With
`--routes`, the daemons have the routes interface, and workspaces have credentials and limits.
"""

import argparse
import asyncio
import sys
import tempfile
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from random import Random

from wheatslip.owners import owner

from soak.configuration import (
    FATAL_KIND,
    HOT,
    MODERATE,
    OPEN_KIND,
    PRIORITIES,
    RANKED,
    RANKED_SECRET,
    SECRET,
    SPARE_SECRET,
    WORKSPACE,
    RoutedConfiguration,
    WorkspaceConfiguration,
)
from soak.history import History, TimedRun, find_violations
from soak.injector import SERVICE_TIME_SECONDS, SLOTS, FaultInjector
from soak.schedule import (
    MAX_UNCONFIRMED_SECONDS,
    Fault,
    Step,
    draw_routes_steps,
    draw_schedule,
    mixed_version_routes_steps,
    mixed_version_schedule,
)
from standins.caller import Caller, Reported
from standins.cluster import Cluster, Plan
from standins.operators import Operators

ZONES = ("one", "two")
INSTANCES = 6
CALLS_PER_SECOND = 40.0
STATUS_INTERVAL_SECONDS = 0.2  # between two readings of all status pages
FATAL_INTERVAL_SECONDS = 0.5  # between two fatal requests
ONCE_KIND = "submit"  # of requests that must not be repeated
FINAL_REQUESTS = 50  # sent after all faults; all of them must be answered
PRINTED_VIOLATIONS = 20  # more of the same cause would hide the other lines
SECONDS_PER_MINUTE = 60.0
EXTRA_SETTINGS = (
    "[control]\nwatch = 1s\nwatch-check = 1s\nlist-watch = 1s\n[entry]\nwarm-up = 0s\n"
)
OWN_SETTINGS = "[headers]\nlimit = server-limit\n"  # that another version may not know
ROUTES_SETTINGS = (
    f"interface = routes\nmax-unconfirmed = {MAX_UNCONFIRMED_SECONDS:g}s\n"
    "[headers]\nlimit = server-limit\nrequest-id = x-request-id\ncredential = key\n"
    "workspace = tenant\n"
)
# Requests per second of each workspace, credential and kind beside the usual traffic, with the
# routes interface: a workspace below its limit, one far above it, calls without a credential
# on an open route, and a credential that no configuration holds.
ROUTED_TRAFFIC = (
    (MODERATE, "beta-secret", "view", 1.5),
    (MODERATE, SPARE_SECRET, "view", 1.5),
    (HOT, "gamma-secret", "view", 40.0),
    ("", "", OPEN_KIND, 2.0),
    ("", "never-held", "view", 1.0),
)
# Further requests per second with the credential that is removed, at the daemon that gets no
# confirmation meanwhile: at random entries too few would come there.
SPARE_AT_UNCONFIRMED_PER_SECOND = 2.0
OVERLOAD_PER_SECOND = 60.0  # of each kind


async def soak(
    folder: Path,
    seed: int,
    seconds: float,
    other_version: Path | None = None,
    *,
    by_routes: bool = False,
) -> History:
    """Run the schedule of a seed and return what was observed.

    With the checkout of another version, run the fixed schedule for two versions; its length
    does not depend on `seconds`.
    """
    configuration = RoutedConfiguration() if by_routes else WorkspaceConfiguration()
    plans = make_plans(other_version, configuration.fatal_target)
    cluster = Cluster(
        folder,
        EXTRA_SETTINGS + (ROUTES_SETTINGS if by_routes else ""),
        "" if by_routes else OWN_SETTINGS,
        has_request_links=by_routes,
    )
    history = History()
    if isinstance(configuration, RoutedConfiguration):
        history.credentials = configuration.holders
        history.max_unconfirmed = MAX_UNCONFIRMED_SECONDS
    injector = FaultInjector(cluster, Operators(folder), history, configuration)
    await cluster.open()
    try:
        await injector.prepare(plans)
        caller = Caller(
            cluster.session, WORKSPACE, SECRET, Random(f"calls {seed}"), by_routes=by_routes
        )
        version_recorder = asyncio.create_task(_record_versions(injector))
        schedule_done = asyncio.Event()
        steps, updates = _make_schedule(plans, seed, seconds, by_routes=by_routes)
        traffic = [_Traffic(caller, CALLS_PER_SECOND, _draw_usual_kind)]
        if by_routes:
            traffic += _routed_traffic(cluster, seed, steps)
            traffic += _overload_traffic(injector, seed)
        senders = [
            asyncio.create_task(_send_traffic(one, cluster, seconds, schedule_done))
            for one in traffic
        ]
        fatal_sender = asyncio.create_task(
            _send_fatal_requests(cluster, seed, plans, by_routes=by_routes)
        )
        await _run_steps(injector, steps)
        if updates:
            await injector.wait_until_recovered()
            await _send_final_requests(caller, cluster, history)
            injector.use_this_checkout()
            await _run_steps(injector, updates)
        schedule_done.set()
        await asyncio.gather(*senders)
        await injector.wait_until_recovered()
        version_recorder.cancel()
        fatal_sender.cancel()
        await _send_final_requests(caller, cluster, history)
        await _collect_records(injector, [one.caller for one in traffic], history)
    finally:
        codes = await cluster.close()
    if any(codes):
        raise SystemExit(f"exit codes of the daemons: {codes}")
    return history


def make_plans(
    other_version: Path | None = None, fatal_target: str = f"/papers/{FATAL_KIND}"
) -> list[Plan]:
    """The instances. With another version's checkout, half of the daemons of each zone run its
    code.
    """
    plans = []
    for number in range(INSTANCES):
        zone = number % len(ZONES)
        is_other = (number // len(ZONES) + zone) % 2 == 0
        checkout = other_version if is_other else None
        # The other version may not support the detection of fatal requests.
        fatal = fatal_target if other_version is None else ""
        name = f"papers-{number + 1}"
        plans.append(
            Plan(name, "papers", ZONES[zone], SLOTS, SERVICE_TIME_SECONDS, checkout, fatal)
        )
    return plans


def _make_schedule(
    plans: list[Plan], seed: int, seconds: float, *, by_routes: bool
) -> tuple[list[Step], list[Step]]:
    """The steps, and the steps that update the daemons of the other version, if any."""
    names = [plan.name for plan in plans]
    others = [plan.name for plan in plans if plan.checkout is not None]
    own = [plan.name for plan in plans if plan.checkout is None]
    hot_owner = owner(HOT, names)
    assert hot_owner is not None
    if others:
        steps, updates = mixed_version_schedule(others, own, ZONES)
        if by_routes:
            steps += mixed_version_routes_steps(others, hot_owner)
        return steps, updates
    steps = draw_schedule(seed, seconds, own, ZONES)
    if by_routes:
        steps += draw_routes_steps(seed, seconds, names, hot_owner, steps)
    return steps, []


async def _run_steps(injector: FaultInjector, steps: list[Step]) -> None:
    await asyncio.gather(*(_run_step(injector, step) for step in steps))


async def _run_step(injector: FaultInjector, step: Step) -> None:
    await asyncio.sleep(step.at)
    # The restart that ends an earlier step on this target may take longer than scheduled.
    async with injector.locks[_lock_name(step)]:
        await injector.begin(step)
        await asyncio.sleep(step.seconds)
        await injector.end(step)


def _lock_name(step: Step) -> str:
    """Faults with the same name follow each other."""
    if step.fault in (Fault.LIMITED_SERVER, Fault.RUDE_CLIENTS):
        return f"{step.fault} {step.where}"
    return step.where or step.fault


async def _record_versions(injector: FaultInjector) -> None:
    while True:
        await injector.record_versions()
        await asyncio.sleep(STATUS_INTERVAL_SECONDS)


def _always(kind: str) -> Callable[[Random], str]:
    return lambda rng: kind


@dataclass(frozen=True, slots=True)
class _Traffic:
    """Poisson traffic of one caller with `rate` requests per second.

    `draw_kind` returns the kind of the next request, by the caller's random numbers. All are
    sent to `entry`, or each to a random one if it is empty, while `is_sent` returns true (None:
    always).
    """

    caller: Caller
    rate: float
    draw_kind: Callable[[Random], str]
    entry: str = ""
    is_sent: Callable[[], bool] | None = None


def _draw_usual_kind(rng: Random) -> str:
    return ONCE_KIND if rng.random() < 0.5 else "view"


def _routed_traffic(cluster: Cluster, seed: int, steps: list[Step]) -> list[_Traffic]:
    traffic = []
    for workspace, credential, kind, rate in ROUTED_TRAFFIC:
        rng = Random(f"calls {credential} {seed}")
        caller = Caller(cluster.session, workspace, credential, rng, by_routes=True)
        traffic.append(_Traffic(caller, rate, _always(kind)))
    for step in steps:
        if step.fault is Fault.REMOVE_CREDENTIAL:
            rng = Random(f"calls unconfirmed {seed}")
            caller = Caller(cluster.session, MODERATE, SPARE_SECRET, rng, by_routes=True)
            rate = SPARE_AT_UNCONFIRMED_PER_SECOND
            traffic.append(_Traffic(caller, rate, _always("view"), step.where))
    return traffic


def _overload_traffic(injector: FaultInjector, seed: int) -> list[_Traffic]:
    traffic = []
    for kind in PRIORITIES:
        rng = Random(f"calls {kind} {seed}")
        session = injector.cluster.session
        caller = Caller(session, RANKED, RANKED_SECRET, rng, by_routes=True)
        traffic.append(
            _Traffic(
                caller,
                OVERLOAD_PER_SECOND,
                _always(kind),
                is_sent=lambda: injector.is_overloaded,
            )
        )
    return traffic


async def _send_traffic(
    traffic: _Traffic, cluster: Cluster, seconds: float, schedule_done: asyncio.Event
) -> None:
    """Send Poisson traffic over persistent connections to all entries, including those of
    stopped daemons, for at least `seconds` and until the schedule is done.
    """
    caller = traffic.caller
    loop = asyncio.get_running_loop()
    end = loop.time() + seconds
    tasks = set()
    while loop.time() < end or not schedule_done.is_set():
        await asyncio.sleep(caller.rng.expovariate(traffic.rate))
        if traffic.is_sent is not None and not traffic.is_sent():
            continue
        name = traffic.entry or caller.rng.choice(list(cluster.members))
        member = cluster.members[name]
        kind = traffic.draw_kind(caller.rng)
        once = kind == ONCE_KIND
        send = caller.send(
            member.instance.entry_port,
            "papers",
            kind,
            once=once,
            deadline_ms=2000,
            body=b"a" * once,
            entry=member.plan.name,
        )
        tasks.add(asyncio.create_task(send))
    await asyncio.gather(*tasks)


async def _send_fatal_requests(
    cluster: Cluster, seed: int, plans: list[Plan], *, by_routes: bool
) -> None:
    """Send the fatal request to random entries until cancelled. It uses its own caller, whose
    requests are not checked, because no answer to this request is guaranteed.
    """
    rng = Random(f"fatal {seed}")
    caller = Caller(cluster.session, WORKSPACE, SECRET, rng, by_routes=by_routes)
    while any(plan.fatal for plan in plans):
        await asyncio.sleep(FATAL_INTERVAL_SECONDS)
        member = caller.rng.choice(list(cluster.members.values()))
        port = member.instance.entry_port
        await caller.send(port, "papers", FATAL_KIND, once=False, deadline_ms=2000)


async def _send_final_requests(caller: Caller, cluster: Cluster, history: History) -> None:
    for _ in range(FINAL_REQUESTS):
        member = caller.rng.choice(list(cluster.members.values()))
        port = member.instance.entry_port
        request = await caller.send(port, "papers", "view", once=False)
        history.final_sent += 1
        history.final_answered += request.reported is Reported.ANSWERED
        if request.reported is not Reported.ANSWERED:
            print(f"not answered in the calm end, by {member.plan.name}: {request}", flush=True)


async def _collect_records(
    injector: FaultInjector, callers: list[Caller], history: History
) -> None:
    for request in (request for caller in callers for request in caller.requests):
        request.sent_at -= injector.started_at
        history.requests.append(request)
    for name, member in injector.cluster.members.items():
        record = await injector.cluster.record(name)
        zone = member.plan.zone
        history.ran += [
            TimedRun(run, zone, run.at - injector.started_at, name) for run in record.runs
        ]
        history.fatal_runs += [at - injector.started_at for at in record.fatal_runs]
        history.ends += [at - injector.started_at for at in record.ends]


def _print_workspaces(history: History) -> None:
    """Print what became of the requests of each workspace."""
    for workspace in (WORKSPACE, MODERATE, HOT, RANKED, ""):
        own = [request for request in history.requests if request.workspace == workspace]
        reasons = Counter(request.reason or request.reported.value for request in own)
        counts = ", ".join(f"{count} {reason}" for reason, count in reasons.most_common())
        print(f"{workspace or 'no workspace'}: {len(own)} requests ({counts})")


def main() -> int:
    """Run the soak that the command line asks for. Returns the exit code."""
    parser = argparse.ArgumentParser(prog="soak", description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--minutes", type=float, default=1.0)
    parser.add_argument(
        "--other-version",
        type=Path,
        metavar="PATH",
        help="root of another checkout; half of the daemons run its code",
    )
    parser.add_argument(
        "--routes",
        action="store_true",
        help="the routes interface, with credentials and limits of workspaces",
    )
    options = parser.parse_args()
    if options.other_version and not (options.other_version / "packages/wheatslipd").is_dir():
        parser.error(f"{options.other_version} is not the root of a checkout")
    with tempfile.TemporaryDirectory() as folder:
        seconds = options.minutes * SECONDS_PER_MINUTE
        history = asyncio.run(
            soak(
                Path(folder),
                options.seed,
                seconds,
                options.other_version,
                by_routes=options.routes,
            )
        )
    outcomes = [request.reported for request in history.requests]
    counts = ", ".join(f"{outcomes.count(kind)} {kind.value}" for kind in Reported)
    print(
        f"seed {options.seed}: {len(outcomes)} requests ({counts}), "
        f"{len(history.observations)} observations, {len(history.drained_zones)} zone drains, "
        f"{len(history.planned_stops)} planned stops, {len(history.ends)} ends of servers"
    )
    if options.routes:
        _print_workspaces(history)
    violations = find_violations(history)
    for violation in violations[:PRINTED_VIOLATIONS]:
        print(f"VIOLATED: {violation}")
        for request in history.requests:
            if request.request_id in violation:
                print(f"  {request}")
    if len(violations) > PRINTED_VIOLATIONS:
        print(f"and {len(violations) - PRINTED_VIOLATIONS} more violations")
    if not violations:
        print("all guarantees held")
    return 1 if violations else 0


if __name__ == "__main__":
    sys.exit(main())
