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
from soak.installation import SERVICE, SLOTS, Installation
from standins.caller import Caller, Told
from standins.cluster import Cluster, Plan
from standins.operators import Desk

WORKSPACE = "alpha"
SECRET = "alpha-secret"
ZONES = ("one", "two")
INSTANCES = 6
CALLS_PER_SECOND = 40.0
LOOK_SECONDS = 0.2  # between two looks at the daemons
LAST_CALLS = 50  # when all faults are over; all of them must be answered
SECONDS_A_MINUTE = 60.0
MORE_SETTINGS = "[control]\nwatch = 1s\nlist-watch = 1s\n[entry]\nwarm-up = 0s\n"


async def soak(
    folder: Path, seed: int, seconds: float, other_version: Path | None = None
) -> History:
    """Run the course of a seed, and return what was seen. With another version's checkout it
    is the course for two versions side by side, which takes as long as it does.
    """
    plans = make_plans(other_version)
    steps, updates = _course(plans, seed, seconds)
    cluster = Cluster(folder, MORE_SETTINGS)
    history = History()
    await cluster.open()
    try:
        digest = credential_digest(SECRET)
        one = Installation(cluster, Desk(folder), history, digest)
        await one.prepare(plans)
        caller = Caller(cluster.session, WORKSPACE, SECRET, Random(f"calls {seed}"))
        looking = asyncio.create_task(_look(one))
        over = asyncio.Event()
        asking = asyncio.create_task(_ask(caller, cluster, seconds, over))
        await asyncio.gather(*(_carry_out(one, step) for step in steps))
        if updates:
            await one.calm()
            await _ask_in_calm(caller, cluster, history)
            one.use_own_code()
            await asyncio.gather(*(_carry_out(one, step) for step in updates))
        over.set()
        await asking
        await one.calm()
        looking.cancel()
        await _ask_in_calm(caller, cluster, history)
        await _collect(one, caller, history)
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
        plans.append(
            Plan(f"papers-{number + 1}", "papers", ZONES[zone], SLOTS, SERVICE, checkout)
        )
    return plans


def _course(plans: list[Plan], seed: int, seconds: float) -> tuple[list[Step], list[Step]]:
    """The steps, and those that update the other version's daemons, if there are any."""
    others = [plan.name for plan in plans if plan.checkout is not None]
    own = [plan.name for plan in plans if plan.checkout is None]
    if others:
        return beside_other_version(others, own, ZONES)
    return draw(seed, seconds, own, ZONES), []


async def _carry_out(one: Installation, step: Step) -> None:
    await asyncio.sleep(step.at)
    # A daemon that was started again may take longer than the course thought.
    async with one.places[step.where or step.fault]:
        await one.begin(step)
        await asyncio.sleep(step.seconds)
        await one.end(step)


async def _look(one: Installation) -> None:
    while True:
        await one.look()
        await asyncio.sleep(LOOK_SECONDS)


async def _ask(caller: Caller, cluster: Cluster, seconds: float, over: asyncio.Event) -> None:
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
                caller.ask(port, "papers", kind, once=once, deadline_ms=2000, body=b"a" * once)
            )
        )
    await asyncio.gather(*tasks)


async def _ask_in_calm(caller: Caller, cluster: Cluster, history: History) -> None:
    for _ in range(LAST_CALLS):
        member = caller.rng.choice(list(cluster.members.values()))
        port = member.instance.entry_port
        one = await caller.ask(port, "papers", "view", once=False)
        history.last_asked += 1
        history.last_answered += one.told is Told.ANSWERED


async def _collect(one: Installation, caller: Caller, history: History) -> None:
    history.asked = caller.asked
    for name, member in one.cluster.members.items():
        record = await one.cluster.record(name)
        zone = member.plan.zone
        history.ran += [Ran(run, zone, run.at - one.began) for run in record.runs]


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
    told = [one.told for one in history.asked]
    counts = ", ".join(f"{told.count(word)} {word.value}" for word in Told)
    print(
        f"seed {options.seed}: {len(told)} requests ({counts}), {len(history.seen)} looks, "
        f"{len(history.emptied)} zones emptied, {len(history.stopped)} planned stops"
    )
    broken = broken_promises(history)
    for sentence in broken:
        print(f"BROKEN: {sentence}")
        for one in history.asked:
            if one.request_id in sentence:
                print(f"  {one}")
    if not broken:
        print("all promises held")
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
