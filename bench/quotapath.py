"""Measures what a limit costs a request: added time, processor time and bytes of one ask.

Two daemons run as processes; callers send to the one that is not the owner. There are as many
workspaces with a limit as without, each with so few requests that each request of the first
needs an ask of its own. The bytes are those of asks through a link that counts both
directions; TCP and IP headers are added for each piece and its acknowledgement.
"""

import argparse
import asyncio
import os
import sys
import tempfile
from math import inf
from pathlib import Path
from random import Random

from hdrh.histogram import HdrHistogram
from wheatslip.config.bundle import credential_digest
from wheatslip.distribution.feedcache import FeedCache
from wheatslip.quota.candidates import Candidates
from wheatslip.quota.granter import Granter
from wheatslip.quota.messages import TokenRequest
from wheatslip.quota.settings import QuotaSettings
from wheatslip.store.instances import Instance
from wheatslipd.feed.relay import RelayServer
from wheatslipd.quota.channels import OwnerChannels
from wheatslipd.quota.service import QuotaService
from wheatslipd.tls import PeerTls

from bench.figures import Bound, Figure, add_record_option, report
from bench.streams import HEADER_BYTES_PER_PIECE
from standins.caller import Caller, Reported
from standins.cluster import HOST, Cluster, Plan
from standins.link import ThrottledLink
from standins.operators import running

REPETITIONS = 5
DAEMONS = ("papers-1", "papers-2")
WORKSPACES = 40  # of each kind, in turns
REQUESTS = 800  # of each kind in a repetition
REQUESTS_PER_SECOND = 100.0
ASKS = 500  # for the bytes
SEED = 1
MICROSECONDS_PER_SECOND = 1e6
MAX_LATENCY_MICROSECONDS = 60_000_000
# From the target in docs/CAPACITY.md.
LIMITED_REQUESTS_PER_SECOND = 8.6  # of a daemon as an entry; as an owner it gets as many
CORE_BOUND = Bound(maximum=0.023)
# Against growth; docs/CAPACITY.md compares the bytes with the target, which they exceed.
ASK_BYTES_BOUND = Bound(maximum=350.0)


def bundle_text() -> tuple[str, list[str], list[str]]:
    """A bundle, and the names of its workspaces with a limit whose owner is the second daemon,
    and of those without one.
    """
    candidates = Candidates(1)
    candidates.set_members(DAEMONS)
    names = (f"limited-{number}" for number in range(100 * WORKSPACES))
    owned = (name for name in names if candidates.of(name) == (DAEMONS[1],))
    limited = [next(owned) for _ in range(WORKSPACES)]
    free = [f"free-{number}" for number in range(WORKSPACES)]
    lines = ["[bundle]", "version = 1"]
    for name in limited + free:
        lines += [f"[workspace {name}]", f"credential-sha256 = {credential_digest(name)}"]
        if name in limited:
            lines += ["rate = 1000", "burst = 1000"]
    lines += ["[pool papers]", "slots = 12", "[service papers]", f"workspace = {free[0]}"]
    lines += ["pool = papers", f"callers = {', '.join(limited + free)}"]
    lines += ["[kind papers/read]", "repeatable = yes", ""]
    return "\n".join(lines), limited, free


def processor_seconds(pid: int) -> float:
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


class PathBench:
    """Two daemons under load, and the figures of each repetition by kind of workspace."""

    def __init__(self, cluster: Cluster, limited: list[str], free: list[str]):
        self._cluster = cluster
        self._names = {"limited": limited, "free": free}
        self.percentiles: dict[tuple[str, float], list[float]] = {}
        self.processor: dict[tuple[str, str], list[float]] = {}  # seconds a request, by daemon
        self.failed = 0

    async def measure(self, seed: int) -> None:
        """Send the requests of both kinds, one kind after the other."""
        for kind, names in self._names.items():
            before = self._processor()
            latencies = await self._send(names, seed)
            for daemon, seconds in self._processor().items():
                used = (seconds - before[daemon]) / REQUESTS
                self.processor.setdefault((kind, daemon), []).append(used)
            for percentile in (50.0, 99.0):
                value = latencies.get_value_at_percentile(percentile) / 1000.0
                self.percentiles.setdefault((kind, percentile), []).append(value)

    async def _send(self, names: list[str], seed: int) -> HdrHistogram:
        latencies = HdrHistogram(1, MAX_LATENCY_MICROSECONDS, 3)
        callers = [Caller(self._cluster.session, name, name, Random(seed)) for name in names]
        port = self._cluster.members[DAEMONS[0]].instance.entry_port
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        sends = []
        for number in range(REQUESTS):
            due_at = started_at + number / REQUESTS_PER_SECOND
            await asyncio.sleep(max(0.0, due_at - loop.time()))
            caller = callers[number % len(callers)]
            sends.append(loop.create_task(caller.send(port, "papers", "read", once=False)))
        for request in await asyncio.gather(*sends):
            self.failed += request.reported is not Reported.ANSWERED
            latencies.record_value(int(request.elapsed_seconds * MICROSECONDS_PER_SECOND))
        return latencies

    def _processor(self) -> dict[str, float]:
        return {
            name: processor_seconds(self._cluster.members[name].daemon.process.pid)
            for name in DAEMONS
        }


async def measure_path() -> PathBench:
    text, limited, free = bundle_text()
    with tempfile.TemporaryDirectory() as folder:
        cluster = Cluster(Path(folder), loop="uvloop", has_links=False)
        plans = [Plan(name, "papers", "one") for name in DAEMONS]
        async with running(cluster, plans, text):
            bench = PathBench(cluster, limited, free)
            await bench.measure(SEED)  # warms up; not counted
            bench.percentiles.clear()
            bench.processor.clear()
            for seed in range(REPETITIONS):
                await bench.measure(SEED + seed)
            status = await cluster.status(DAEMONS[1])
            granted = sum(quota["granted"] for quota in status["quotas"])
            assert granted >= REPETITIONS * REQUESTS, "the owner was not asked"
            return bench


async def measure_bytes() -> float:
    """Bytes of an ask and its answer on an open connection, with headers."""
    loop = asyncio.get_running_loop()
    granter = Granter("owner", QuotaSettings())
    granter.set_members(["owner"], loop.time())
    service = QuotaService("owner", granter, loop.time)
    server = RelayServer(FeedCache(), PeerTls(), services=[service])
    await server.listen(HOST, 0)
    link = ThrottledLink(HOST, server.port, inf)
    await link.open()
    channels = OwnerChannels(PeerTls())
    channels.set_instances({"owner": Instance("owner", "papers", "one", HOST, 1, 2, link.port)})
    request = TokenRequest("papers-00001", "workspace-01", 2, 1000, 170.0, 51.0)
    (await channels.ask("owner", request)).unwrap()
    before = total_bytes(link)
    for _ in range(ASKS):
        (await channels.ask("owner", request)).unwrap()
    per_ask = (total_bytes(link) - before) / ASKS
    channels.close()
    await link.close()
    await server.stop()
    return per_ask


def total_bytes(link: ThrottledLink) -> int:
    """Bytes of both directions, with the headers of TCP and IP."""
    payload = link.bytes_from_target + link.bytes_to_target
    return payload + HEADER_BYTES_PER_PIECE * link.chunk_count


def main() -> int:
    """Run the benchmark and return the exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    add_record_option(parser)
    options = parser.parse_args()
    ask_bytes = asyncio.run(measure_bytes())
    bench = asyncio.run(measure_path())
    figures = []
    for percentile in (50.0, 99.0):
        limited, free = (bench.percentiles[(kind, percentile)] for kind in ("limited", "free"))
        added = [
            with_limit - without for with_limit, without in zip(limited, free, strict=True)
        ]
        figures += [
            Figure(f"p{percentile:g} without a limit", "ms", free),
            Figure(f"p{percentile:g} with a limit", "ms", limited),
            Figure(f"added p{percentile:g}", "ms", added),
        ]
    added_seconds = [
        [
            with_limit - without
            for with_limit, without in zip(
                bench.processor[("limited", daemon)],
                bench.processor[("free", daemon)],
                strict=True,
            )
        ]
        for daemon in DAEMONS
    ]
    for role, seconds in zip(("entry", "owner"), added_seconds, strict=True):
        micros = [each * MICROSECONDS_PER_SECOND for each in seconds]
        figures.append(Figure(f"processor time of an ask, {role}", "µs", micros))
    core = [
        LIMITED_REQUESTS_PER_SECOND * (entry + owner)
        for entry, owner in zip(*added_seconds, strict=True)
    ]
    figures += [
        Figure("processor of a daemon at the target", "cores", core, CORE_BOUND),
        Figure("bytes of an ask", "B", [ask_bytes], ASK_BYTES_BOUND),
        Figure(
            "bytes of a daemon at the target",
            "B/s",
            [2 * LIMITED_REQUESTS_PER_SECOND * ask_bytes],
        ),
        Figure("failed calls", "", [bench.failed], Bound(maximum=0.0)),
    ]
    return report("quotapath", figures, record=options.record)


if __name__ == "__main__":
    sys.exit(main())
