"""Runs one soak: `python -m soak --seed 7 --minutes 1`; exit code 0 if all promises held.

With `--other-version PATH` half of the daemons run the code of another checkout.
"""

import argparse
import asyncio
import sys
import tempfile
from pathlib import Path
from random import Random

from wheatslip.config.bundle import credential_digest

from soak.course import Step, beside_other_version, draw
from soak.history import History, Ran, broken_promises
from soak.injector import SERVICE, SLOTS, FaultInjector
from standins.caller import Caller, Reported
from standins.cluster import Cluster, Plan
from standins.operators import Operators

WORKSPACE = "alpha"
SECRET = "alpha-secret"
ZONES = ("one", "two")
INSTANCES = 6
CALLS_PER_SECOND = 40.0
OBSERVE_SECONDS = 0.2  # between two readings of all status pages
FATAL_SECONDS = 0.5  # between two of the requests that end each server that runs them
FATAL = "fatal"  # their kind
LAST_CALLS = 50  # when all faults are over; all of them must be answered
SECONDS_A_MINUTE = 60.0
MORE_SETTINGS = (
    "[control]\nwatch = 1s\nwatch-check = 1s\nlist-watch = 1s\n[entry]\nwarm-up = 0s\n"
)


async def soak(
    folder: Path, seed: int, seconds: float, other_version: Path | None = None
) -> History:
    """Run the course of a seed and return what was observed.

    With the checkout of another version, the course is the one for two versions side by side;
    its length does not depend on `seconds`.
    """
    plans = make_plans(other_version)
    cluster = Cluster(folder, MORE_SETTINGS)
    history = History()
    injector = FaultInjector(cluster, Operators(folder), history, credential_digest(SECRET))
    await cluster.open()
    try:
        await injector.prepare(plans)
        caller = Caller(cluster.session, WORKSPACE, SECRET, Random(f"calls {seed}"))
        observing = asyncio.create_task(_observe(injector))
        over = asyncio.Event()
        sending = asyncio.create_task(_send(caller, cluster, seconds, over))
        sending_fatal = asyncio.create_task(_send_fatal(cluster, seed, plans))
        steps, updates = _course(plans, seed, seconds)
        await _play(injector, steps)
        if updates:
            await injector.wait_until_calm()
            await _send_in_calm(caller, cluster, history)
            injector.use_own_code()
            await _play(injector, updates)
        over.set()
        await sending
        await injector.wait_until_calm()
        observing.cancel()
        sending_fatal.cancel()
        await _send_in_calm(caller, cluster, history)
        await _collect(injector, caller, history)
    finally:
        codes = await cluster.close()
    if any(codes):
        raise SystemExit(f"exit codes of the daemons: {codes}")
    return history


def make_plans(other_version: Path | None = None) -> list[Plan]:
    """The instances; with another version's checkout, half of the daemons run its code."""
    plans = []
    for number in range(INSTANCES):
        zone = number % len(ZONES)
        is_other = (number // len(ZONES) + zone) % 2 == 0
        checkout = other_version if is_other else None
        # The version before does not know of such requests.
        fatal = f"/papers/{FATAL}" if other_version is None else ""
        name = f"papers-{number + 1}"
        plans.append(Plan(name, "papers", ZONES[zone], SLOTS, SERVICE, checkout, fatal))
    return plans


def _course(plans: list[Plan], seed: int, seconds: float) -> tuple[list[Step], list[Step]]:
    """The steps, and those that update the other version's daemons, if there are any."""
    others = [plan.name for plan in plans if plan.checkout is not None]
    own = [plan.name for plan in plans if plan.checkout is None]
    if others:
        return beside_other_version(others, own, ZONES)
    return draw(seed, seconds, own, ZONES), []


async def _play(injector: FaultInjector, steps: list[Step]) -> None:
    await asyncio.gather(*(_play_step(injector, step) for step in steps))


async def _play_step(injector: FaultInjector, step: Step) -> None:
    await asyncio.sleep(step.at)
    # The restart that ends an earlier step at this place may take longer than planned.
    async with injector.places[step.where or step.fault]:
        await injector.begin(step)
        await asyncio.sleep(step.seconds)
        await injector.end(step)


async def _observe(injector: FaultInjector) -> None:
    while True:
        await injector.observe()
        await asyncio.sleep(OBSERVE_SECONDS)


async def _send(caller: Caller, cluster: Cluster, seconds: float, over: asyncio.Event) -> None:
    """Traffic at all entries, whether their daemons run or not, on connections kept open, for
    so many seconds and until the course is over.
    """
    loop = asyncio.get_running_loop()
    end = loop.time() + seconds
    tasks = set()
    while loop.time() < end or not over.is_set():
        await asyncio.sleep(caller.rng.expovariate(CALLS_PER_SECOND))
        member = caller.rng.choice(list(cluster.members.values()))
        once = caller.rng.random() < 0.5
        kind = "submit" if once else "view"
        port = member.instance.entry_port
        tasks.add(
            asyncio.create_task(
                caller.send(port, "papers", kind, once=once, deadline_ms=2000, body=b"a" * once)
            )
        )
    await asyncio.gather(*tasks)


async def _send_fatal(cluster: Cluster, seed: int, plans: list[Plan]) -> None:
    """The same request over and over, at any entry. Runs until cancelled; it has a caller of
    its own, as nobody is owed an answer to it.
    """
    caller = Caller(cluster.session, WORKSPACE, SECRET, Random(f"fatal {seed}"))
    while any(plan.fatal for plan in plans):
        await asyncio.sleep(FATAL_SECONDS)
        member = caller.rng.choice(list(cluster.members.values()))
        port = member.instance.entry_port
        await caller.send(port, "papers", FATAL, once=False, deadline_ms=2000)


async def _send_in_calm(caller: Caller, cluster: Cluster, history: History) -> None:
    for _ in range(LAST_CALLS):
        member = caller.rng.choice(list(cluster.members.values()))
        port = member.instance.entry_port
        one = await caller.send(port, "papers", "view", once=False)
        history.last_sent += 1
        history.last_answered += one.reported is Reported.ANSWERED


async def _collect(injector: FaultInjector, caller: Caller, history: History) -> None:
    history.requests = caller.requests
    for name, member in injector.cluster.members.items():
        record = await injector.cluster.record(name)
        zone = member.plan.zone
        history.ran += [Ran(run, zone, run.at - injector.began) for run in record.runs]
        history.fatal_runs += [at - injector.began for at in record.fatal_runs]
        history.ends += [at - injector.began for at in record.ends]


def main() -> int:
    """Run the soak that the command line asks for; returns the exit code."""
    parser = argparse.ArgumentParser(prog="soak", description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--minutes", type=float, default=1.0)
    parser.add_argument(
        "--other-version",
        type=Path,
        metavar="PATH",
        help="root of another checkout: half of the daemons run its code",
    )
    options = parser.parse_args()
    if options.other_version and not (options.other_version / "packages/wheatslipd").is_dir():
        parser.error(f"{options.other_version} is not the root of a checkout")
    with tempfile.TemporaryDirectory() as folder:
        seconds = options.minutes * SECONDS_A_MINUTE
        history = asyncio.run(soak(Path(folder), options.seed, seconds, options.other_version))
    reported = [one.reported for one in history.requests]
    counts = ", ".join(f"{reported.count(kind)} {kind.value}" for kind in Reported)
    print(
        f"seed {options.seed}: {len(reported)} requests ({counts}), "
        f"{len(history.observations)} observations, {len(history.drained_zones)} zone drains, "
        f"{len(history.stopped)} planned stops, {len(history.ends)} ends of servers"
    )
    broken = broken_promises(history)
    for sentence in broken:
        print(f"BROKEN: {sentence}")
        for one in history.requests:
            if one.request_id in sentence:
                print(f"  {one}")
    if not broken:
        print("all promises held")
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
