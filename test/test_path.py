"""Requests through entry, admission and backend server, with failures between them."""

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

STALL_COUNT = 8  # blocks of the event loop, each as long as the connect timeout


def run_with_two_upstreams(folder, scenario, **behaviour):
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

    run_with_two_upstreams(tmp_path, scenario)


@pytest.mark.parametrize(
    ("workspace", "service", "reason"),
    [
        ("nobody", "papers", "unauthenticated"),
        ("beta", "papers", "no-such-service"),
        ("alpha", "absent", "no-such-service"),
    ],
)
def test_callers_without_access_to_the_service_are_refused(
    tmp_path, workspace, service, reason
):
    async def scenario(installation):
        caller = installation.caller(workspace)
        entry = installation.nodes["papers-1"].entry
        request = await caller.send(entry, service, "submit", once=True)
        assert (request.reported, request.reason) == (Reported.NOT_RUN, reason)
        assert not runs_of(installation)

    run_with_two_upstreams(tmp_path, scenario)


def test_hop_headers_of_a_caller_are_ignored(tmp_path):
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

    run_with_two_upstreams(tmp_path, scenario)


def test_a_resent_key_gets_the_first_runs_answer(tmp_path):
    async def scenario(installation):
        caller = installation.caller()
        key = make_key(caller.rng, time.time())
        for node in [*installation.nodes.values()] * 2:
            await caller.send(node.entry, "papers", "submit", once=True, key=key, body=b"x")
        assert len(runs_of(installation)) == 1
        assert all(request.reported is Reported.ANSWERED for request in caller.requests)
        # The repeated response is that of the first request, so the caller reads its id.
        first_id = caller.requests[0].request_id
        assert all(first_id in request.unexpected_answer for request in caller.requests[1:])

    run_with_two_upstreams(tmp_path, scenario)


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
        assert all(request.reported is not Reported.NOT_RUN for request in caller.requests)

    run_with_two_upstreams(tmp_path, scenario, service=0.05)


def test_many_resends_at_once_run_once_although_the_event_loop_blocks_at_times(tmp_path):
    """A request with a key may only go to the owner of the key, so it waits for a connection
    that is slow to open.
    """

    async def scenario(installation):
        caller = installation.caller()
        key = make_key(caller.rng, time.time())
        entries = [node.entry for node in installation.nodes.values()]

        async def block_event_loop():
            for _ in range(STALL_COUNT):
                await asyncio.sleep(0.001)
                time.sleep(CONNECT_TIMEOUT_SECONDS)

        await asyncio.gather(
            block_event_loop(),
            *(
                caller.send(entries[i % 2], "papers", "submit", once=True, key=key)
                for i in range(20)
            ),
        )
        assert [
            (r.reported, r.reason) for r in caller.requests if r.reported is Reported.NOT_RUN
        ] == []
        assert len(runs_of(installation)) == 1

    run_with_two_upstreams(tmp_path, scenario, service=0.05)


def test_a_key_from_before_a_restart_is_unknown_and_not_run(tmp_path):
    async def scenario(installation):
        caller = installation.caller()
        key = make_key(caller.rng, time.time() - 500)
        entry = installation.nodes["papers-1"].entry
        request = await caller.send(entry, "papers", "submit", once=True, key=key)
        assert (request.reported, request.reason) == (Reported.UNKNOWN, "key-too-old")
        assert not runs_of(installation)

    run_with_two_upstreams(tmp_path, scenario)


def test_an_owner_whose_lease_has_lapsed_runs_nothing(tmp_path):
    async def scenario(installation):
        for node in installation.nodes.values():
            # The list is not confirmed from now on.
            node.daemon.feed.cache_writer.confirm_list = lambda: None
            node.daemon.feed.cache.checked = time.time() - 60.0
        caller = installation.caller()
        entry = installation.nodes["papers-1"].entry
        key = make_key(caller.rng, time.time())
        request = await caller.send(entry, "papers", "submit", once=True, key=key)
        assert (request.reported, request.reason) == (Reported.NOT_RUN, "lease-lapsed")
        assert not runs_of(installation)

    run_with_two_upstreams(tmp_path, scenario)


def test_an_expired_request_is_not_started(tmp_path):
    async def scenario(installation):
        caller = installation.caller()
        entry = installation.nodes["papers-1"].entry
        request = await caller.send(entry, "papers", "submit", once=True, deadline_ms=0)
        assert (request.reported, request.reason) == (Reported.NOT_RUN, "deadline")
        assert not runs_of(installation)

    run_with_two_upstreams(tmp_path, scenario)


def test_a_run_that_outlasts_its_deadline_is_unknown(tmp_path):
    async def scenario(installation):
        caller = installation.caller()
        entry = installation.nodes["papers-1"].entry
        request = await caller.send(entry, "papers", "submit", once=True, deadline_ms=150)
        assert (request.reported, request.reason) == (Reported.UNKNOWN, "deadline")
        assert len(runs_of(installation)) == 1

    run_with_two_upstreams(tmp_path, scenario, service=2.0, sigma=0.0)


def test_requests_to_a_dead_upstream_are_sent_to_another(tmp_path):
    async def scenario(installation):
        caller = installation.caller()
        await installation.nodes["papers-2"].daemon.peer_server.stop(0.0)
        entry = installation.nodes["papers-1"].entry
        for _ in range(10):
            await caller.send(entry, "papers", "submit", once=True)
        assert all(request.reported is Reported.ANSWERED for request in caller.requests)

    run_with_two_upstreams(tmp_path, scenario)


def test_a_drained_upstream_gets_no_new_requests_and_finishes_those_in_flight(tmp_path):
    async def scenario(installation):
        caller = installation.caller()
        entry = installation.nodes["papers-1"].entry
        leaving = installation.nodes["papers-2"]
        in_flight = [
            asyncio.create_task(caller.send(entry, "papers", "submit", once=True))
            for _ in range(6)
        ]
        await eventually(lambda: is_busy(leaving))
        await installation.list_instance(leaving, InstanceState.LEAVING)
        await eventually(lambda: is_draining(leaving))
        run_count = len(leaving.backend.runs)
        await asyncio.gather(*in_flight)
        # Its own entry still forwards requests: callers may not have another entry yet.
        for node in (installation.nodes["papers-1"], leaving):
            await caller.send(node.entry, "papers", "submit", once=True)
        assert all(request.reported is Reported.ANSWERED for request in caller.requests)
        assert len(leaving.backend.runs) == run_count
        assert not judge(caller.requests, runs_of(installation)).broken

    run_with_two_upstreams(tmp_path, scenario, service=0.2, sigma=0.0)


async def is_busy(node):
    return node.daemon.status().in_flight > 0


async def is_draining(node):
    return node.daemon.status().draining


def test_a_planned_stop_finishes_requests_in_flight(tmp_path):
    async def scenario(installation):
        caller = installation.caller()
        stopping = installation.nodes["papers-2"]
        in_flight = [
            asyncio.create_task(caller.send(stopping.entry, "papers", "submit", once=True))
            for _ in range(4)
        ]
        await eventually(lambda: is_busy(stopping))
        stopping.daemon.stop()
        assert all(
            request.reported is Reported.ANSWERED
            for request in await asyncio.gather(*in_flight)
        )
        assert await stopping.task == 0

    run_with_two_upstreams(tmp_path, scenario, service=0.3, sigma=0.0)


def test_requests_are_served_while_the_platform_is_down(tmp_path):
    async def scenario(installation):
        caller = installation.caller()
        installation.platform.faults = Faults(down=True)
        entry = installation.nodes["papers-1"].entry
        for _ in range(5):
            await caller.send(entry, "papers", "submit", once=True)
        assert all(request.reported is Reported.ANSWERED for request in caller.requests)
        installation.platform.faults = Faults()
        await installation.release(bundle(version=2))
        await installation.ready(version=2)

    run_with_two_upstreams(tmp_path, scenario)


def test_a_new_daemon_refuses_requests_until_it_has_a_configuration(tmp_path):
    async def main():
        async with Installation(tmp_path) as installation:
            node = await installation.add("papers-1")
            caller = installation.caller()
            request = await caller.send(node.entry, "papers", "submit", once=True)
            assert (request.reported, request.reason) == (Reported.NOT_RUN, "no-configuration")
            await installation.release(bundle())
            await installation.ready()
            request = await caller.send(node.entry, "papers", "submit", once=True)
            assert request.reported is Reported.ANSWERED

    run(main)


def test_limits_of_a_bundle_are_applied_at_the_backend_server(tmp_path):
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

    run_with_two_upstreams(tmp_path, scenario)


def test_an_older_side_reads_the_newer_bundle_before_it_answers(tmp_path):
    async def scenario(installation):
        newer, older = installation.nodes.values()
        await installation.release(bundle(version=2))
        await installation.ready(version=2)
        # One daemon gets version 1 back, as if version 2 had not reached it.
        older.daemon.view.configuration = Configuration(bundle())
        older.daemon.feed.cache.head = Head(1, bundle().digest())
        older.daemon.feed.cache.bundle = bundle()
        caller = installation.caller()
        while not older.backend.runs:
            request = await caller.send(newer.entry, "papers", "submit", once=True)
            assert request.reported is Reported.ANSWERED
        assert older.daemon.status().version == 2

    run_with_two_upstreams(tmp_path, scenario)


def test_a_new_start_is_not_drained_by_the_leaving_entry_of_its_previous_run(tmp_path):
    async def main():
        async with Installation(tmp_path) as installation:
            first = await installation.add("papers-1")
            await installation.add("papers-2")
            await installation.release(bundle())
            await installation.ready()
            await installation.list_instance(first, InstanceState.LEAVING)

            async def is_first_draining():
                return first.daemon.status().draining

            await eventually(is_first_draining)
            first.daemon.stop()
            await first.task
            restarted = await installation.start_again("papers-1")

            async def is_ready():
                return (
                    restarted.daemon.status().ready and restarted.daemon.status().members == 2
                )

            await eventually(is_ready)

    run(main)
