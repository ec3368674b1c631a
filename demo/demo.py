"""The demonstration: two deployments on loopback, traffic, failures, and a summary.

Exit code 0 only if the promises to callers held.
"""

import asyncio
import signal
import sys
import tempfile
import time
from dataclasses import dataclass
from pathlib import Path
from random import Random

import aiohttp
from hdrh.histogram import HdrHistogram
from rich.console import Console
from rich.table import Table
from wheatslip.ledger import CALLER_CLOCK_SKEW_SECONDS
from wheatslip.owners import DAEMON_CLOCK_SKEW_SECONDS, OWNER_LEASE_SECONDS
from wheatslip.store.instances import InstanceState

from demo.deployments import (
    AT_EAST,
    AT_EAST_CALLERS,
    DSS,
    DSS_CALLERS,
    ONCE_KINDS,
    bundle_text,
    credential,
    plans,
)
from standins.backend import Record, Run
from standins.caller import Caller, Request, make_key
from standins.cluster import Cluster
from standins.operators import Operators
from standins.verdict import DRAIN_SECONDS, Verdict, judge

TRAFFIC_SECONDS = 25.0
CALLS_PER_SECOND = 20.0  # of each of the six calling workspaces
SEED = 20261202
KILLED = "papers-2"
DRAINED = "tarifs-1"
DRAINED_ZONE = "linz-c"  # an availability zone
SECOND_BUNDLE = "\n[kind papers/preview]\nrepeatable = yes\n"
MICROSECONDS = 1e6
LONGEST_MICROSECONDS = 60_000_000


@dataclass(slots=True)
class Observed:
    """What the run showed besides requests."""

    rollout_seconds: list[float]
    records: dict[str, Record]
    lost_records: list[str]
    exit_codes: list[int]
    zone_drained: tuple[float, float] = (0.0, 0.0)  # from when to when, in unix seconds
    lifetime: float = 0.0  # seconds from the daemons' start to the reading of the records


async def traffic(
    caller: Caller, services: list[str], cluster: Cluster, end: float, over: asyncio.Event
) -> None:
    """Poisson traffic of one workspace over its deployment's services and all entries, until
    `end` and until the troubles are over.
    """
    tasks: set[asyncio.Task[Request]] = set()
    while time.monotonic() < end or not over.is_set():
        await asyncio.sleep(caller.rng.expovariate(CALLS_PER_SECOND))
        service = caller.rng.choice(services)
        entries = [m for m in cluster.members.values() if m.plan.pool in services]
        entry = caller.rng.choice(entries).instance.entry_port
        once = service in ONCE_KINDS and caller.rng.random() < 0.5
        kind = ONCE_KINDS[service] if once else "look-up"
        key = make_key(caller.rng, time.time()) if once else ""
        body = b"a" * caller.rng.randrange(200) if once else b""
        task = asyncio.create_task(
            caller.send(entry, service, kind, once=once, key=key, body=body)
        )
        tasks.add(task)
        task.add_done_callback(tasks.discard)
    await asyncio.gather(*tasks)


async def trouble(
    cluster: Cluster, desk: Operators, observed: Observed, over: asyncio.Event
) -> None:
    """A backend server with its daemon is killed, another drains, a bundle is rolled out, and a
    zone is drained and restored.
    """
    part = TRAFFIC_SECONDS / 6
    await asyncio.sleep(part)
    print(f"killing {KILLED} and its daemon", flush=True)
    killed = cluster.members[KILLED]
    observed.records[KILLED] = await cluster.record(KILLED)
    killed.backend.send(signal.SIGKILL)
    killed.daemon.send(signal.SIGKILL)
    await asyncio.sleep(part)
    await cluster.unlist(killed)
    print(f"draining {DRAINED}", flush=True)
    await cluster.list_instance(cluster.members[DRAINED], InstanceState.LEAVING)
    await asyncio.sleep(part)
    print("rolling out the second bundle", flush=True)
    await roll_out(cluster, desk, 2, observed)
    await asyncio.sleep(part / 2)
    await drain_zone(cluster, desk, part, observed)
    over.set()


async def drain_zone(
    cluster: Cluster, desk: Operators, seconds: float, observed: Observed
) -> None:
    """An operator drains a zone for a while, under load."""
    print(f"draining zone {DRAINED_ZONE}", flush=True)
    await desk.drain_zone(DRAINED_ZONE)
    await cluster.wait_for_drained_zones(DRAINED_ZONE)
    began = time.time() + DRAIN_SECONDS
    await asyncio.sleep(seconds)
    observed.zone_drained = (began, time.time())
    await desk.restore_zone(DRAINED_ZONE)
    await cluster.wait_for_drained_zones()
    print(f"zone {DRAINED_ZONE} is restored", flush=True)


def runs_in_drained_zone(observed: Observed) -> int:
    """Count the requests that ran in the zone while it was drained."""
    began, ended = observed.zone_drained
    servers = [plan.name for plan in plans() if plan.zone == DRAINED_ZONE]
    runs = [run for name in servers for run in observed.records[name].runs]
    return sum(began < run.at < ended for run in runs)


async def roll_out(cluster: Cluster, desk: Operators, version: int, observed: Observed) -> None:
    """Release a bundle, and time from its release until it is in force everywhere."""
    text = bundle_text(version, SECOND_BUNDLE if version > 1 else "")
    await desk.release(version, text)
    released = time.monotonic()
    await cluster.wait_for_version(version)
    observed.rollout_seconds.append(time.monotonic() - released)


async def run(folder: Path) -> tuple[list[Request], Observed]:
    """Start everything, run the traffic and the troubles, stop everything."""
    cluster = Cluster(folder)
    observed = Observed([], {}, [], [])
    await cluster.open()
    try:
        desk = Operators(folder)
        await desk.prepare(cluster.platform_address)
        started = time.monotonic()
        await cluster.add(plans())
        print(f"{len(cluster.members)} backend servers with their daemons are up", flush=True)
        await roll_out(cluster, desk, 1, observed)
        await cluster.wait_for_members(len(cluster.members))
        print(f"ready after {time.monotonic() - started:.1f} s", flush=True)
        # Owners of keys take over only when the leases of former owners have run out.
        await asyncio.sleep(
            OWNER_LEASE_SECONDS + DAEMON_CLOCK_SKEW_SECONDS + CALLER_CLOCK_SKEW_SECONDS
        )
        print("traffic starts", flush=True)
        callers = make_callers(cluster)
        end = time.monotonic() + TRAFFIC_SECONDS
        over = asyncio.Event()
        await asyncio.gather(
            *(traffic(caller, services, cluster, end, over) for caller, services in callers),
            trouble(cluster, desk, observed, over),
        )
        await collect(cluster, observed)
        observed.lifetime = time.monotonic() - started
        requests = [one for caller, _ in callers for one in caller.requests]
    finally:
        observed.exit_codes = await cluster.close()
    return requests, observed


def make_callers(cluster: Cluster) -> list[tuple[Caller, list[str]]]:
    """The six calling workspaces with the services that they call."""
    at_east = [(name, list(AT_EAST)) for name in AT_EAST_CALLERS]
    dss = [(name, list(DSS)) for name in DSS_CALLERS]
    return [
        (Caller(cluster.session, name, credential(name), Random(f"{SEED}-{name}")), services)
        for name, services in at_east + dss
    ]


async def collect(cluster: Cluster, observed: Observed) -> None:
    """Read what each backend server ran; a killed one's record is from before its end."""
    for name in cluster.members:
        try:
            observed.records[name] = await cluster.record(name)
        except aiohttp.ClientError:
            observed.lost_records.append(name)


def report(requests: list[Request], observed: Observed) -> Verdict:
    """Print the summary; returns the verdict."""
    runs: list[Run] = [run for record in observed.records.values() for run in record.runs]
    lost = set(observed.lost_records)
    verdict = judge(requests, runs)
    if lost:
        # What a killed server ran after its record was read can't be known.
        verdict.not_run_though_answered.clear()
    table = Table(title="wheatslip demonstration")
    table.add_column("what")
    table.add_column("figure", justify="right")
    for what, figure in summary(requests, observed, verdict):
        table.add_row(what, figure)
    Console(width=100).print(table)
    for sentence in verdict.broken:
        print(f"BROKEN: {sentence}")
    return verdict


def summary(
    requests: list[Request], observed: Observed, verdict: Verdict
) -> list[tuple[str, str]]:
    """The rows of the summary."""
    histogram = HdrHistogram(1, LONGEST_MICROSECONDS, 3)
    for one in requests:
        histogram.record_value(max(1, int(one.elapsed_seconds * MICROSECONDS)))
    probes = [record.probes / observed.lifetime for record in observed.records.values()]
    reasons = sorted({one.reason for one in requests if one.reason})
    return [
        ("requests", str(verdict.requests)),
        ("answered", str(verdict.answered)),
        ("refused, not run", str(verdict.not_run)),
        ("outcome unknown", str(verdict.unknown)),
        ("reasons", ", ".join(reasons) or "-"),
        ("run twice (must be 0)", str(len(verdict.ran_twice))),
        (
            "run though told not (must be 0)",
            str(len(verdict.ran_though_reported_not_run)),
        ),
        ("wrong answers (must be 0)", str(len(verdict.wrong_answers))),
        (f"run in drained {DRAINED_ZONE} (must be 0)", str(runs_in_drained_zone(observed))),
        ("p50 / p99 at the caller, ms", _percentiles(histogram)),
        ("rollout to in force everywhere, s", _seconds(observed.rollout_seconds)),
        ("probes a second at a backend server, most", f"{max(probes):.2f}"),
        ("daemons that stopped cleanly", str(observed.exit_codes.count(0))),
    ]


def _percentiles(histogram: HdrHistogram) -> str:
    median = histogram.get_value_at_percentile(50) / 1000
    high = histogram.get_value_at_percentile(99) / 1000
    return f"{median:.1f} / {high:.1f}"


def _seconds(values: list[float]) -> str:
    return ", ".join(f"{value:.2f}" for value in values)


def main() -> int:
    """Run the demonstration; returns the exit code."""
    with tempfile.TemporaryDirectory() as folder:
        requests, observed = asyncio.run(run(Path(folder)))
    verdict = report(requests, observed)
    stopped_well = observed.exit_codes.count(0) == len(observed.exit_codes) - 1
    if not stopped_well:
        print(f"BROKEN: exit codes of the daemons: {observed.exit_codes}")
    in_drained = runs_in_drained_zone(observed)
    if in_drained or not any(observed.zone_drained):
        print(f"BROKEN: {in_drained} requests ran in the drained zone")
        return 1
    if verdict.broken or not stopped_well or not verdict.answered:
        return 1
    print("all promises held")
    return 0


if __name__ == "__main__":
    sys.exit(main())
