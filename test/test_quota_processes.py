"""The limit of a workspace while the process of its first owner is killed or frozen.

The daemons run as processes that reach each other directly, since a link would accept the
connections to a process that has ended.
"""

import asyncio
import re
import signal
from random import Random

import pytest
from wheatslip.quota.candidates import Candidates

from standins.caller import Caller, Reported
from standins.cluster import Cluster, Plan, eventually
from standins.operators import running
from test.helper import BUNDLE, SEED, run
from test.quota_fleet import allowed, answered, most_in_window, refused

NAMES = tuple(f"papers-{number}" for number in (1, 2, 3, 4))
RATE, BURST = 20.0, 5.0
LOAD = 4 * RATE  # requests a second
# The usual bundle with a limit of the workspace alpha, and a kind that may be repeated.
LIMITED = (
    BUNDLE.replace("[workspace beta]", f"rate = {RATE}\nburst = {BURST}\n[workspace beta]")
    + "[kind papers/read]\nrepeatable = yes\n"
)
OWNERS = Candidates(len(NAMES))
OWNERS.set_members(NAMES)
PRIMARY, SECOND, *ENTRIES = OWNERS.of("alpha")
UNREACHABLE = "event=quota-owner-unreachable owner=%s why=%s"


async def all_run_times(cluster):
    records = [await cluster.record(name) for name in NAMES]
    return sorted(run.at for record in records for run in record.runs)


async def send_until(cluster, caller, is_done):
    """Send requests at `LOAD` to the entries in turns, until an event is set."""
    loop = asyncio.get_running_loop()
    started_at = loop.time()
    sends = []
    while not is_done.is_set():
        await asyncio.sleep(max(0.0, started_at + len(sends) / LOAD - loop.time()))
        port = cluster.members[ENTRIES[len(sends) % len(ENTRIES)]].instance.entry_port
        send = caller.send(port, "papers", "read", once=False, deadline_ms=2000)
        sends.append(loop.create_task(send))
    return await asyncio.gather(*sends)


def lines_of(cluster, name, pattern):
    return [line for line in cluster.members[name].daemon.lines if re.search(pattern, line)]


async def until_logged(cluster, name, pattern):
    async def is_logged():
        return bool(lines_of(cluster, name, pattern))

    await eventually(is_logged)


async def until_answered(caller, count):
    """Wait until `count` more requests of the caller have been answered."""
    before = len(answered(caller.requests))

    async def is_reached():
        return len(answered(caller.requests)) >= before + count

    await eventually(is_reached)


async def owner_of(cluster, entry):
    quotas = (await cluster.status(entry))["quotas"]
    return next(quota["owner"] for quota in quotas if quota["workspace"] == "alpha")


async def until_owner(cluster, name):
    async def is_owner():
        return all([await owner_of(cluster, entry) == name for entry in ENTRIES])

    await eventually(is_owner)


@pytest.fixture
def limited_cluster(tmp_path):
    """Return a function that runs a scenario with four daemons and a limit of alpha."""

    def run_with(scenario):
        async def main():
            cluster = Cluster(tmp_path, has_links=False)
            plans = [Plan(name, "papers", "one") for name in NAMES]
            async with running(cluster, plans, LIMITED):
                caller = Caller(cluster.session, "alpha", "alpha-secret", Random(SEED))
                try:
                    await scenario(cluster, caller)
                finally:
                    for member in cluster.members.values():
                        member.daemon.send(signal.SIGCONT)

        run(main, seconds=120.0)

    return run_with


def test_the_limit_holds_when_its_primary_is_killed(limited_cluster):
    """Guards against a limit that ends with the process that grants it, against one that is
    granted twice, and against a wait of all requests for a process that has ended.
    """

    async def scenario(cluster, caller):
        is_done = asyncio.Event()
        load = asyncio.create_task(send_until(cluster, caller, is_done))
        await until_owner(cluster, PRIMARY)
        await until_answered(caller, int(RATE))
        cluster.members[PRIMARY].daemon.send(signal.SIGKILL)
        for entry in ENTRIES:
            await until_logged(cluster, entry, UNREACHABLE % (PRIMARY, "refused"))
        await until_owner(cluster, SECOND)
        await until_answered(caller, int(2 * RATE))  # more than the margin has in a window
        is_done.set()
        requests = await load
        assert refused(requests)
        assert most_in_window(await all_run_times(cluster)) <= allowed(RATE, BURST)
        for entry in ENTRIES:
            assert not lines_of(cluster, entry, UNREACHABLE % (SECOND, "silent"))

    limited_cluster(scenario)


def test_the_limit_holds_when_its_primary_is_frozen(limited_cluster):
    """Guards against a limit that is granted twice by a process that continues, and against
    requests that all wait for one that does not answer.
    """

    async def scenario(cluster, caller):
        is_done = asyncio.Event()
        load = asyncio.create_task(send_until(cluster, caller, is_done))
        await until_owner(cluster, PRIMARY)
        await until_answered(caller, int(RATE))
        cluster.members[PRIMARY].daemon.send(signal.SIGSTOP)
        for entry in ENTRIES:
            await until_logged(cluster, entry, UNREACHABLE % (PRIMARY, "silent"))
        await until_answered(caller, 5)
        assert all([await owner_of(cluster, entry) != PRIMARY for entry in ENTRIES])
        cluster.members[PRIMARY].daemon.send(signal.SIGCONT)
        await until_owner(cluster, PRIMARY)
        await until_answered(caller, int(3 * RATE))
        is_done.set()
        requests = await load
        assert refused(requests)
        assert most_in_window(await all_run_times(cluster)) <= allowed(RATE, BURST)
        not_served = [
            r for r in requests if r.reported is Reported.NOT_RUN and r not in refused(requests)
        ]
        assert len(not_served) <= 0.05 * len(requests), not_served[:3]

    limited_cluster(scenario)
