"""Daemons as processes on loopback that are killed, frozen and stopped under load."""

import asyncio
import os
import re
import signal
import subprocess
import sys
import time
from random import Random

import pytest

from standins.backend import Behaviour
from standins.caller import Caller, Reported, make_key
from standins.cluster import Cluster, Plan, eventually
from standins.operators import Operators, running
from standins.platform import Faults
from standins.verdict import judge
from test.helper import BUNDLE, SEED, run

PLANS = [Plan(f"papers-{number}", "papers", "one", 4, 0.02) for number in (1, 2, 3)]
_TWO_MEMBERS_EVENT = re.compile("event=members instances=2 ")


@pytest.fixture
def cluster(tmp_path):
    """Return a function that runs a scenario with three daemons and a bundle."""

    def run_with(scenario):
        async def main():
            cluster = Cluster(tmp_path)
            async with running(cluster, PLANS, BUNDLE):
                await scenario(cluster)

        run(main, seconds=120.0)

    return run_with


def test_a_start_does_not_read_the_metadata_of_all_distributions(tmp_path):
    (tmp_path / "pkg_resources.py").write_text("raise SystemExit('loaded')")
    environment = os.environ | {"PYTHONPATH": str(tmp_path)}
    command = [sys.executable, "-c", "import wheatslipd.daemon"]
    assert subprocess.run(command, env=environment).returncode == 0


def test_a_start_without_sampling_does_not_load_the_tracing_sdk():
    check = "import sys, wheatslipd.daemon; sys.exit('opentelemetry.sdk' in sys.modules)"
    assert subprocess.run([sys.executable, "-c", check]).returncode == 0


async def send_many(cluster, caller, count, entry="papers-1"):
    port = cluster.members[entry].instance.entry_port
    for _ in range(count):
        await caller.send(port, "papers", "submit", once=True, deadline_ms=3000)


async def all_runs(cluster, names):
    return [r for name in names for r in (await cluster.record(name)).runs]


def make_caller(cluster):
    return Caller(cluster.session, "alpha", "alpha-secret", Random(SEED))


def test_killing_a_daemon_loses_only_requests_in_flight_and_runs_none_twice(cluster):
    async def scenario(cluster):
        caller = make_caller(cluster)
        sending = [asyncio.create_task(send_many(cluster, caller, 25)) for _ in range(4)]
        await eventually(lambda: _has_sent(caller, 20))
        cluster.members["papers-2"].daemon.send(signal.SIGKILL)
        await asyncio.gather(*sending)
        verdict = judge(caller.requests, await all_runs(cluster, cluster.members))
        assert not verdict.broken
        assert verdict.requests == 100
        # Only requests in flight at the killed daemon may be unknown: it has four slots.
        assert verdict.unknown <= 4
        assert verdict.answered >= 96

    cluster(scenario)


async def _has_sent(caller, count):
    return len(caller.requests) >= count


def test_a_frozen_daemon_runs_nothing_with_an_expired_lease_when_it_resumes(cluster):
    async def scenario(cluster):
        caller = make_caller(cluster)
        frozen = cluster.members["papers-2"]
        frozen.daemon.send(signal.SIGSTOP)
        await cluster.unlist(frozen)
        await cluster.members["papers-1"].daemon.wait_for(_TWO_MEMBERS_EVENT)
        await asyncio.gather(*(send_many(cluster, caller, 10) for _ in range(3)))
        frozen.daemon.send(signal.SIGCONT)
        await eventually(lambda: _sees_two_members(cluster, "papers-2"))
        await send_many(cluster, caller, 10)
        verdict = judge(caller.requests, await all_runs(cluster, cluster.members))
        assert not verdict.broken
        assert all(request.reported is Reported.ANSWERED for request in caller.requests[-10:])

    cluster(scenario)


async def _sees_two_members(cluster, name):
    return (await cluster.status(name))["members"] == 2


def test_a_planned_stop_completes_requests_in_flight(cluster):
    async def scenario(cluster):
        caller = make_caller(cluster)
        await cluster.set_behaviour("papers-2", Behaviour(slots=4, service=0.5, sigma=0.0))
        port = cluster.members["papers-2"].instance.entry_port
        sending = [
            asyncio.create_task(caller.send(port, "papers", "submit", once=True))
            for _ in range(9)
        ]
        await eventually(lambda: _has_requests_in_flight(cluster, "papers-2"))
        stopping = cluster.members["papers-2"].daemon
        stopping.send(signal.SIGTERM)
        requests = await asyncio.gather(*sending)
        assert [request.reported for request in requests] == [Reported.ANSWERED] * 9
        assert await stopping.process.wait() == 0
        verdict = judge(caller.requests, await all_runs(cluster, cluster.members))
        assert not verdict.broken

    cluster(scenario)


async def _has_requests_in_flight(cluster, name):
    return (await cluster.status(name))["in_flight"] > 0


def test_a_reload_refuses_invalid_settings_and_applies_valid_ones(cluster):
    async def scenario(cluster):
        daemon = cluster.members["papers-1"].daemon
        path = cluster.folder / "papers-1.ini"
        valid = path.read_text()
        path.write_text(valid + "[log]\nlevel = loud\n")
        daemon.send(signal.SIGHUP)
        line = await daemon.wait_for(re.compile("event=settings-refused.*"))
        assert "[log] level" in line.group()
        path.write_text(valid.replace("zone = one", "zone = two") + "[log]\nlevel = debug\n")
        daemon.send(signal.SIGHUP)
        await daemon.wait_for(re.compile("event=settings-need-restart names=zone"))
        await daemon.wait_for(re.compile("event=settings-reloaded"))
        await send_many(cluster, make_caller(cluster), 1)

    cluster(scenario)


def test_a_daemon_reloaded_with_debug_level_logs_each_attempt_and_run(cluster):
    async def scenario(cluster):
        daemons = [cluster.members[name].daemon for name in cluster.members]
        for name, daemon in zip(cluster.members, daemons, strict=True):
            path = cluster.folder / f"{name}.ini"
            path.write_text(path.read_text() + "[log]\nlevel = debug\n")
            daemon.send(signal.SIGHUP)
            await daemon.wait_for(re.compile("event=settings-reloaded"))
        port = cluster.members["papers-1"].instance.entry_port
        request = await make_caller(cluster).send(port, "papers", "submit", once=True)
        assert request.reported is Reported.ANSWERED
        await daemons[0].wait_for(re.compile("event=try-ended"))
        runs = [
            asyncio.create_task(daemon.wait_for(re.compile("event=run-ended")))
            for daemon in daemons
        ]
        done, pending = await asyncio.wait(runs, return_when=asyncio.FIRST_COMPLETED)
        for run_ended in pending:
            run_ended.cancel()
        assert done

    cluster(scenario)


def test_a_key_is_not_run_again_after_its_owner_was_killed(cluster):
    async def scenario(cluster):
        caller = make_caller(cluster)
        port = cluster.members["papers-1"].instance.entry_port
        # A new owner accepts no key before the lease of the previous one would have expired.
        await eventually(lambda: _all_keys_answered(caller, port, 8))
        keys = [make_key(caller.rng, time.time()) for _ in range(8)]
        warm_up_runs = len(await all_runs(cluster, cluster.members))
        for key in keys:
            await caller.send(port, "papers", "submit", once=True, key=key)
        killed = cluster.members["papers-2"]
        runs_before = await all_runs(cluster, cluster.members)
        assert len(runs_before) == warm_up_runs + len(keys)
        killed.daemon.send(signal.SIGKILL)
        await cluster.unlist(killed)
        await cluster.members["papers-1"].daemon.wait_for(_TWO_MEMBERS_EVENT)
        for key in keys:
            await caller.send(port, "papers", "submit", once=True, key=key)
        runs = await all_runs(cluster, cluster.members)
        run_counts = [sum(run.key == key for run in runs) for key in keys]
        assert max(run_counts) <= 1
        assert len(runs) == len(runs_before)

    cluster(scenario)


async def _all_keys_answered(caller, port, count):
    requests = [
        await caller.send(
            port, "papers", "submit", once=True, key=make_key(caller.rng, time.time())
        )
        for _ in range(count)
    ]
    return all(request.reported is Reported.ANSWERED for request in requests)


def test_a_slow_platform_that_loses_responses_loses_no_request(cluster):
    async def scenario(cluster):
        caller = make_caller(cluster)
        faults = Faults(delay=0.2, lose_write_answers=3)
        await cluster.set_faults(faults)
        desk = Operators(cluster.folder)
        await asyncio.gather(
            desk.release(2, BUNDLE.replace("version = 1", "version = 2")),
            send_many(cluster, caller, 20),
        )
        await cluster.wait_for_version(2)
        verdict = judge(caller.requests, await all_runs(cluster, cluster.members))
        assert verdict.answered == 20
        assert not verdict.broken

    cluster(scenario)
