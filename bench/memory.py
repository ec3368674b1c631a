"""Measures the memory of a daemon by the number of instances that the platform lists.

A daemon on loopback reads lists of different lengths, up to the 22,000 instances of the target
in docs/CAPACITY.md.
"""

import argparse
import asyncio
import sys
import tempfile
from pathlib import Path
from random import Random
from statistics import median

from wheatslip.store.instances import INSTANCE_KIND, Instance
from wheatslip.store.objectclient import ObjectClient

from bench.figures import Bound, Figure, add_record_option, report
from standins.cluster import Cluster, Plan
from standins.platform import Faults

LIST_SIZES = (500, 2000, 8000, 22000)
DAEMONS = 2
POOLS = 660  # in the target of docs/CAPACITY.md
MEMORY_BOUND = Bound(maximum=256.0)  # MB per daemon, from the same target
MAX_CONCURRENT_WRITES = 100
WRITES_PER_SECOND = 1e6  # effectively unlimited, so that the list is written quickly


async def measure_resident_megabytes(listed: int) -> float:
    """Median over the daemons while the platform lists `listed` more instances."""
    with tempfile.TemporaryDirectory() as folder:
        cluster = Cluster(Path(folder))
        await cluster.open()
        client = ObjectClient(cluster.platform_address, Random(1))
        try:
            await cluster.set_faults(Faults(writes_per_second=WRITES_PER_SECOND))
            plans = [Plan(f"member-{number}", "pool", "one") for number in range(DAEMONS)]
            await cluster.add(plans)
            await _list_instances(client, listed)
            await cluster.wait_for_members(listed + DAEMONS)
            pids = [member.daemon.process.pid for member in cluster.members.values()]
            return median(_resident_kilobytes(pid) for pid in pids) / 1024
        finally:
            await client.close()
            await cluster.close()


async def _list_instances(client: ObjectClient, count: int) -> None:
    for start in range(0, count, MAX_CONCURRENT_WRITES):
        numbers = range(start, min(count, start + MAX_CONCURRENT_WRITES))
        await asyncio.gather(*(_list_instance(client, number) for number in numbers))


async def _list_instance(client: ObjectClient, number: int) -> None:
    name = f"far-{number:05d}"
    port = 1024 + number
    instance = Instance(name, f"pool-{number % POOLS}", "far", "127.0.0.1", port, port, port)
    (await client.put(INSTANCE_KIND, name, instance, expected=0)).unwrap()


def _resident_kilobytes(pid: int) -> int:
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS"):
            return int(line.split()[1])
    raise ValueError(f"/proc/{pid}/status has no VmRSS line")


def main() -> int:
    """Run the benchmark and return the exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    add_record_option(parser)
    options = parser.parse_args()
    figures = [
        Figure(
            f"resident at {listed} instances",
            "MB",
            [asyncio.run(measure_resident_megabytes(listed))],
            MEMORY_BOUND,
        )
        for listed in LIST_SIZES
    ]
    return report("memory", figures, record=options.record)


if __name__ == "__main__":
    sys.exit(main())
