"""Runs two deployments on loopback with traffic and faults, and prints a summary.

The exit code is 0 only if all guarantees to callers held.
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
    make_plans,
)
from standins.backend import Record, Run
from standins.caller import Caller, Request, make_key
from standins.cluster import Cluster
from standins.operators import Operators
from standins.verdict import DRAIN_SECONDS, Verdict, judge

TRAFFIC_SECONDS = 25.0
CALLS_PER_SECOND = 20.0  # of each calling workspace
SEED = 20261202
KILLED_INSTANCE = "papers-2"
DRAINED_INSTANCE = "tarifs-1"
DRAINED_ZONE = "linz-c"
SECOND_BUNDLE_SECTIONS = "\n[kind papers/preview]\nrepeatable = yes\n"
MICROSECONDS_PER_SECOND = 1e6
MAX_LATENCY_MICROSECONDS = 60_000_000


@dataclass(slots=True)
class Observations:
    """What was observed during the run, other than the outcomes of requests."""

    rollout_seconds: list[float]
    records: dict[str, Record]
    missing_records: list[str]
    exit_codes: list[int]
    zone_drain: tuple[float, float] = (0.0, 0.0)  # start and end, in unix seconds
    uptime_seconds: float = 0.0  # from the start of the daemons until the records were read


async def send_traffic(
    caller: Caller,
    services: list[str],
    cluster: Cluster,
    end: float,
    faults_done: asyncio.Event,
) -> None:
    """Send Poisson traffic of one workspace to the services and entries of its deployment,
    until `end` (in monotonic seconds) and until all faults are over.
    """
    tasks: set[asyncio.Task[Request]] = set()
    while time.monotonic() < end or not faults_done.is_set():
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


async def inject_faults(
    cluster: Cluster,
    operators: Operators,
    observations: Observations,
    faults_done: asyncio.Event,
) -> None:
    """Kill a backend server with its daemon, drain an instance, roll out a bundle, then drain
    and restore a zone.
    """
    interval = TRAFFIC_SECONDS / 6
    await asyncio.sleep(interval)
    print(f"killing {KILLED_INSTANCE} and its daemon", flush=True)
    killed_member = cluster.members[KILLED_INSTANCE]
    observations.records[KILLED_INSTANCE] = await cluster.record(KILLED_INSTANCE)
    killed_member.backend.send(signal.SIGKILL)
    killed_member.daemon.send(signal.SIGKILL)
    await asyncio.sleep(interval)
    await cluster.unlist(killed_member)
    print(f"draining {DRAINED_INSTANCE}", flush=True)
    await cluster.list_instance(cluster.members[DRAINED_INSTANCE], InstanceState.LEAVING)
    await asyncio.sleep(interval)
    print("rolling out the second bundle", flush=True)
    await roll_out(cluster, operators, 2, observations)
    await asyncio.sleep(interval / 2)
    await drain_zone(cluster, operators, interval, observations)
    faults_done.set()


async def drain_zone(
    cluster: Cluster, operators: Operators, seconds: float, observations: Observations
) -> None:
    """Drain a zone for `seconds` under load, then restore it."""
    print(f"draining zone {DRAINED_ZONE}", flush=True)
    await operators.drain_zone(DRAINED_ZONE)
    await cluster.wait_for_drained_zones(DRAINED_ZONE)
    start = time.time() + DRAIN_SECONDS
    await asyncio.sleep(seconds)
    observations.zone_drain = (start, time.time())
    await operators.restore_zone(DRAINED_ZONE)
    await cluster.wait_for_drained_zones()
    print(f"zone {DRAINED_ZONE} is restored", flush=True)


def count_runs_in_drained_zone(observations: Observations) -> int:
    start, end = observations.zone_drain
    servers = [plan.name for plan in make_plans() if plan.zone == DRAINED_ZONE]
    runs = [run for name in servers for run in observations.records[name].runs]
    return sum(start < run.at < end for run in runs)


async def roll_out(
    cluster: Cluster, operators: Operators, version: int, observations: Observations
) -> None:
    """Release a bundle, and measure the time until all daemons report it in force."""
    text = bundle_text(version, SECOND_BUNDLE_SECTIONS if version > 1 else "")
    await operators.release(version, text)
    released_at = time.monotonic()
    await cluster.wait_for_version(version)
    observations.rollout_seconds.append(time.monotonic() - released_at)


async def run_demo(folder: Path) -> tuple[list[Request], Observations]:
    """Start all processes, send traffic while faults are injected, and stop all processes."""
    cluster = Cluster(folder)
    observations = Observations([], {}, [], [])
    await cluster.open()
    try:
        operators = Operators(folder)
        await operators.prepare(cluster.platform_address)
        started_at = time.monotonic()
        await cluster.add(make_plans())
        print(f"{len(cluster.members)} backend servers with their daemons are up", flush=True)
        await roll_out(cluster, operators, 1, observations)
        await cluster.wait_for_members(len(cluster.members))
        print(f"ready after {time.monotonic() - started_at:.1f} s", flush=True)
        # New owners of keys take over only after the leases of former owners have expired.
        await asyncio.sleep(
            OWNER_LEASE_SECONDS + DAEMON_CLOCK_SKEW_SECONDS + CALLER_CLOCK_SKEW_SECONDS
        )
        print("traffic starts", flush=True)
        callers = make_callers(cluster)
        end = time.monotonic() + TRAFFIC_SECONDS
        faults_done = asyncio.Event()
        await asyncio.gather(
            *(
                send_traffic(caller, services, cluster, end, faults_done)
                for caller, services in callers
            ),
            inject_faults(cluster, operators, observations, faults_done),
        )
        await collect_records(cluster, observations)
        observations.uptime_seconds = time.monotonic() - started_at
        requests = [request for caller, _ in callers for request in caller.requests]
    finally:
        observations.exit_codes = await cluster.close()
    return requests, observations


def make_callers(cluster: Cluster) -> list[tuple[Caller, list[str]]]:
    """A caller for each calling workspace, with the services that it calls."""
    at_east = [(name, list(AT_EAST)) for name in AT_EAST_CALLERS]
    dss = [(name, list(DSS)) for name in DSS_CALLERS]
    return [
        (Caller(cluster.session, name, credential(name), Random(f"{SEED}-{name}")), services)
        for name, services in at_east + dss
    ]


async def collect_records(cluster: Cluster, observations: Observations) -> None:
    """Read the records of the backend servers. The killed server keeps its earlier record."""
    for name in cluster.members:
        try:
            observations.records[name] = await cluster.record(name)
        except aiohttp.ClientError:
            observations.missing_records.append(name)


def report(requests: list[Request], observations: Observations) -> Verdict:
    """Print the summary and return the verdict."""
    runs: list[Run] = [run for record in observations.records.values() for run in record.runs]
    missing = set(observations.missing_records)
    verdict = judge(requests, runs)
    if missing:
        # Runs of the killed server after its record was read are unknown.
        verdict.not_run_though_answered.clear()
    table = Table(title="wheatslip demonstration")
    table.add_column("measure")
    table.add_column("value", justify="right")
    for measure, value in summary_rows(requests, observations, verdict):
        table.add_row(measure, value)
    Console(width=100).print(table)
    for violation in verdict.broken:
        print(f"VIOLATED: {violation}")
    return verdict


def summary_rows(
    requests: list[Request], observations: Observations, verdict: Verdict
) -> list[tuple[str, str]]:
    histogram = HdrHistogram(1, MAX_LATENCY_MICROSECONDS, 3)
    for request in requests:
        histogram.record_value(max(1, int(request.elapsed_seconds * MICROSECONDS_PER_SECOND)))
    probe_rates = [
        record.probes / observations.uptime_seconds for record in observations.records.values()
    ]
    reasons = sorted({request.reason for request in requests if request.reason})
    return [
        ("requests", str(verdict.requests)),
        ("answered", str(verdict.answered)),
        ("refused, not run", str(verdict.not_run)),
        ("outcome unknown", str(verdict.unknown)),
        ("reasons", ", ".join(reasons) or "-"),
        ("run twice (must be 0)", str(len(verdict.ran_twice))),
        (
            "run though reported as not run (must be 0)",
            str(len(verdict.ran_though_reported_not_run)),
        ),
        ("wrong answers (must be 0)", str(len(verdict.wrong_answers))),
        (
            f"run in drained zone {DRAINED_ZONE} (must be 0)",
            str(count_runs_in_drained_zone(observations)),
        ),
        ("p50 / p99 latency at the caller, ms", _format_percentiles(histogram)),
        (
            "rollout until in force at all daemons, s",
            _format_seconds(observations.rollout_seconds),
        ),
        ("maximum probes per second at a backend server", f"{max(probe_rates):.2f}"),
        ("daemons that stopped with exit code 0", str(observations.exit_codes.count(0))),
    ]


def _format_percentiles(histogram: HdrHistogram) -> str:
    p50 = histogram.get_value_at_percentile(50) / 1000
    p99 = histogram.get_value_at_percentile(99) / 1000
    return f"{p50:.1f} / {p99:.1f}"


def _format_seconds(values: list[float]) -> str:
    return ", ".join(f"{value:.2f}" for value in values)


def main() -> int:
    """Run the demonstration and return the exit code."""
    with tempfile.TemporaryDirectory() as folder:
        requests, observations = asyncio.run(run_demo(Path(folder)))
    verdict = report(requests, observations)
    # The killed daemon is the only one that does not exit with 0.
    stopped_cleanly = observations.exit_codes.count(0) == len(observations.exit_codes) - 1
    if not stopped_cleanly:
        print(f"VIOLATED: exit codes of the daemons: {observations.exit_codes}")
    runs_in_drained = count_runs_in_drained_zone(observations)
    if runs_in_drained or not any(observations.zone_drain):
        print(f"VIOLATED: {runs_in_drained} requests ran in the drained zone")
        return 1
    if verdict.broken or not stopped_cleanly or not verdict.answered:
        return 1
    print("all guarantees held")
    return 0


if __name__ == "__main__":
    sys.exit(main())
