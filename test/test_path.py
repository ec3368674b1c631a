"""The whole path: entry, admission and backend server, with what goes wrong between them."""

import asyncio
import time

import pytest
from wheatslip.config.head import Head
from wheatslip.store.instances import InstanceState
from wheatslipd.controllers.view import Configuration
from wheatslipd.entry.forward import CONNECT_TIMEOUT_SECONDS

from standins.backend import Behaviour
from standins.caller import Reported, make_key
from standins.cluster import HOST, eventually
from standins.platform import Faults
from standins.verdict import judge
from test.helper import BUNDLE, Installation, bundle, run

STALLS = 8  # of the test's own machine, each as long as a connection may take


def two_upstreams(folder, scenario, **behaviour):
    async def main():
        async with Installation(folder) as installation:
            for name in ("papers-1", "papers-2"):
                await installation.add(name, Behaviour(**{"service": 0.001, **behaviour}))
            await installation.release(bundle())
            await installation.ready()
            await scenario(installation)

    run(main)


def runs_of(installation):
    return [r for node in installation.nodes.values() for r in node.backend.runs]


def test_answers_come_from_the_right_request(tmp_path):
    async def scenario(installation):
        caller = installation.caller()
        entries = [node.entry for node in installation.nodes.values()]
        await asyncio.gather(
            *(
                caller.send(entries[i % 2], "papers", "submit", once=True, body=b"a" * i)
                for i in range(60)
            )
        )
        verdict = judge(caller.requests, runs_of(installation))
        assert verdict.answered == 60
        assert not verdict.broken

    two_upstreams(tmp_path, scenario)


@pytest.mark.parametrize(
    ("workspace", "service", "reason"),
    [
        ("nobody", "papers", "unauthenticated"),
        ("beta", "papers", "no-such-service"),
        ("alpha", "absent", "no-such-service"),
    ],
)
def test_strangers_are_refused(tmp_path, workspace, service, reason):
    async def scenario(installation):
        caller = installation.caller(workspace)
        entry = installation.nodes["papers-1"].entry
        sent = await caller.send(entry, service, "submit", once=True)
        assert (sent.reported, sent.reason) == (Reported.NOT_RUN, reason)
        assert not runs_of(installation)

    two_upstreams(tmp_path, scenario)


def test_a_callers_own_hop_headers_count_for_nothing(tmp_path):
    async def scenario(installation):
        entry = installation.nodes["papers-1"].entry
        headers = {
            "authorization": "Bearer alpha-secret",
            "wheatslip-service": "papers",
            "wheatslip-hop": '{"workspace":"beta"}',
            "wheatslip-workspace": "beta",
        }
        async with installation.session.get(
            f"http://{HOST}:{entry}/", headers=headers
        ) as answer:
            text = await answer.text()
        assert answer.headers["wheatslip-outcome"] == "answered"
        assert text.split()[1] == "alpha"

    two_upstreams(tmp_path, scenario)


def test_a_resent_key_gets_the_first_runs_answer(tmp_path):
    async def scenario(installation):
        caller = installation.caller()
        key = make_key(caller.rng, time.time())
        for node in [*installation.nodes.values()] * 2:
            await caller.send(node.entry, "papers", "submit", once=True, key=key, body=b"x")
        assert len(runs_of(installation)) == 1
        assert all(one.reported is Reported.ANSWERED for one in caller.requests)
        # The answer that is given again is the first one's, to the letter.
        first = caller.requests[0].request_id
        assert all(first in one.unexpected_answer for one in caller.requests[1:])

    two_upstreams(tmp_path, scenario)


def test_many_resends_at_once_run_once(tmp_path):
    async def scenario(installation):
        caller = installation.caller()
        key = make_key(caller.rng, time.time())
        entries = [node.entry for node in installation.nodes.values()]
        await asyncio.gather(
            *(
                caller.send(entries[i % 2], "papers", "submit", once=True, key=key)
                for i in range(20)
            )
        )
        assert len(runs_of(installation)) == 1
        assert all(one.reported is not Reported.NOT_RUN for one in caller.requests)

    two_upstreams(tmp_path, scenario, service=0.05)


def test_many_resends_at_once_run_once_though_the_machine_stands_still_at_times(tmp_path):
    """A call bound by its key can go nowhere else, so it waits for a slow connection."""

    async def scenario(installation):
        caller = installation.caller()
        key = make_key(caller.rng, time.time())
        entries = [node.entry for node in installation.nodes.values()]

        async def stand_still():
            for _ in range(STALLS):
                await asyncio.sleep(0.001)
                time.sleep(CONNECT_TIMEOUT_SECONDS)

        await asyncio.gather(
            stand_still(),
            *(
                caller.send(entries[i % 2], "papers", "submit", once=True, key=key)
                for i in range(20)
            ),
        )
        assert [
            (o.reported, o.reason) for o in caller.requests if o.reported is Reported.NOT_RUN
        ] == []
        assert len(runs_of(installation)) == 1

    two_upstreams(tmp_path, scenario, service=0.05)


def test_a_key_from_before_a_restart_is_unknown_and_not_run(tmp_path):
    async def scenario(installation):
        caller = installation.caller()
        key = make_key(caller.rng, time.time() - 500)
        entry = installation.nodes["papers-1"].entry
        sent = await caller.send(entry, "papers", "submit", once=True, key=key)
        assert (sent.reported, sent.reason) == (Reported.UNKNOWN, "key-too-old")
        assert not runs_of(installation)

    two_upstreams(tmp_path, scenario)


def test_an_owner_whose_lease_has_lapsed_runs_nothing(tmp_path):
    async def scenario(installation):
        for node in installation.nodes.values():
            node.daemon.feed.cache_writer.confirm_list = lambda: (
                None
            )  # no news of the list from now on
            node.daemon.feed.cache.checked = time.time() - 60.0
        caller = installation.caller()
        entry = installation.nodes["papers-1"].entry
        key = make_key(caller.rng, time.time())
        sent = await caller.send(entry, "papers", "submit", once=True, key=key)
        assert (sent.reported, sent.reason) == (Reported.NOT_RUN, "lease-lapsed")
        assert not runs_of(installation)

    two_upstreams(tmp_path, scenario)


def test_an_expired_request_is_not_started(tmp_path):
    async def scenario(installation):
        caller = installation.caller()
        entry = installation.nodes["papers-1"].entry
        sent = await caller.send(entry, "papers", "submit", once=True, deadline_ms=0)
        assert (sent.reported, sent.reason) == (Reported.NOT_RUN, "deadline")
        assert not runs_of(installation)

    two_upstreams(tmp_path, scenario)


def test_a_run_that_outlasts_its_deadline_is_unknown(tmp_path):
    async def scenario(installation):
        caller = installation.caller()
        entry = installation.nodes["papers-1"].entry
        sent = await caller.send(entry, "papers", "submit", once=True, deadline_ms=150)
        assert (sent.reported, sent.reason) == (Reported.UNKNOWN, "deadline")
        assert len(runs_of(installation)) == 1

    two_upstreams(tmp_path, scenario, service=2.0, sigma=0.0)


def test_a_dead_upstream_is_left_for_another(tmp_path):
    async def scenario(installation):
        caller = installation.caller()
        await installation.nodes["papers-2"].daemon.peer_server.stop(0.0)
        entry = installation.nodes["papers-1"].entry
        for _ in range(10):
            await caller.send(entry, "papers", "submit", once=True)
        assert all(one.reported is Reported.ANSWERED for one in caller.requests)

    two_upstreams(tmp_path, scenario)


def test_a_drained_upstream_gets_no_new_work_and_cuts_nothing(tmp_path):
    async def scenario(installation):
        caller = installation.caller()
        entry = installation.nodes["papers-1"].entry
        leaving = installation.nodes["papers-2"]
        in_flight = [
            asyncio.create_task(caller.send(entry, "papers", "submit", once=True))
            for _ in range(6)
        ]
        await eventually(lambda: _busy(leaving))
        await installation.list_instance(leaving, InstanceState.LEAVING)
        await eventually(lambda: _draining(leaving))
        started = len(leaving.backend.runs)
        await asyncio.gather(*in_flight)
        # Its own entry still forwards: the callers there have nowhere else to go yet.
        for node in (installation.nodes["papers-1"], leaving):
            await caller.send(node.entry, "papers", "submit", once=True)
        assert all(one.reported is Reported.ANSWERED for one in caller.requests)
        assert len(leaving.backend.runs) == started
        assert not judge(caller.requests, runs_of(installation)).broken

    two_upstreams(tmp_path, scenario, service=0.2, sigma=0.0)


async def _busy(node):
    return node.daemon.status().in_flight > 0


async def _draining(node):
    return node.daemon.status().draining


def test_a_planned_stop_finishes_what_is_in_flight(tmp_path):
    async def scenario(installation):
        caller = installation.caller()
        stopping = installation.nodes["papers-2"]
        sent = [
            asyncio.create_task(caller.send(stopping.entry, "papers", "submit", once=True))
            for _ in range(4)
        ]
        await eventually(lambda: _busy(stopping))
        stopping.daemon.stop()
        assert all(one.reported is Reported.ANSWERED for one in await asyncio.gather(*sent))
        assert await stopping.task == 0

    two_upstreams(tmp_path, scenario, service=0.3, sigma=0.0)


def test_service_goes_on_while_the_platform_is_down(tmp_path):
    async def scenario(installation):
        caller = installation.caller()
        installation.platform.faults = Faults(down=True)
        entry = installation.nodes["papers-1"].entry
        for _ in range(5):
            await caller.send(entry, "papers", "submit", once=True)
        assert all(one.reported is Reported.ANSWERED for one in caller.requests)
        installation.platform.faults = Faults()
        await installation.release(bundle(version=2))
        await installation.ready(version=2)

    two_upstreams(tmp_path, scenario)


def test_a_new_daemon_refuses_until_it_has_a_configuration(tmp_path):
    async def main():
        async with Installation(tmp_path) as installation:
            node = await installation.add("papers-1")
            caller = installation.caller()
            sent = await caller.send(node.entry, "papers", "submit", once=True)
            assert (sent.reported, sent.reason) == (Reported.NOT_RUN, "no-configuration")
            await installation.release(bundle())
            await installation.ready()
            sent = await caller.send(node.entry, "papers", "submit", once=True)
            assert sent.reported is Reported.ANSWERED

    run(main)


def test_a_bundles_bounds_reach_the_backend_server(tmp_path):
    async def scenario(installation):
        text = BUNDLE.replace(
            "slots = 4", "slots = 3\nconnections = 7\nprobes-per-second = 0.5"
        )
        await installation.release(bundle(text, version=2))
        await installation.ready(version=2)
        daemon = installation.nodes["papers-1"].daemon
        assert daemon.server_side.backend.connections == 7
        assert daemon.server_side.gate.admission.limit.value == 3
        assert daemon.server_side.idle_probe.budget.per_second == 0.5

    two_upstreams(tmp_path, scenario)


def test_an_older_side_catches_up_before_it_answers(tmp_path):
    async def scenario(installation):
        newer, older = installation.nodes.values()
        await installation.release(bundle(version=2))
        await installation.ready(version=2)
        # As if the news had not reached one daemon: it holds version 1 again.
        older.daemon.view.configuration = Configuration(bundle())
        older.daemon.feed.cache.head = Head(1, bundle().digest())
        older.daemon.feed.cache.bundle = bundle()
        caller = installation.caller()
        while not older.backend.runs:
            sent = await caller.send(newer.entry, "papers", "submit", once=True)
            assert sent.reported is Reported.ANSWERED
        assert older.daemon.status().version == 2

    two_upstreams(tmp_path, scenario)


def test_a_start_under_the_name_of_one_that_left_is_not_drained_by_the_list_of_before(tmp_path):
    async def main():
        async with Installation(tmp_path) as installation:
            first = await installation.add("papers-1")
            await installation.add("papers-2")
            await installation.release(bundle())
            await installation.ready()
            await installation.list_instance(first, InstanceState.LEAVING)

            async def drained():
                return first.daemon.status().draining

            await eventually(drained)
            first.daemon.stop()
            await first.task
            again = await installation.start_again("papers-1")

            async def ready():
                return again.daemon.status().ready and again.daemon.status().members == 2

            await eventually(ready)

    run(main)
