"""Limits of workspaces over several entries, inside one process."""

import asyncio
import time

import msgspec
import pytest
from wheatslip.quota.parts import SECOND_SHARE, THIRD_SHARE
from wheatslipd.quota import channels

from standins.caller import Reported
from standins.cluster import HOST
from test.helper import run
from test.quota_fleet import (
    NAMES,
    PART_SECONDS,
    WINDOW_SECONDS,
    allowed,
    answered,
    limited_bundle,
    link_before,
    margin,
    most_in_window,
    quota_fleet,
    record_asks,
    refused,
    until,
)


def test_the_limit_holds_over_three_entries(tmp_path):
    """Guards against a limit that each entry counts for itself, and against one that refuses
    much of what the workspace may send.
    """
    rate, burst, factor = 30.0, 10.0, 5.0

    async def scenario():
        async with quota_fleet(tmp_path, rate, burst) as fleet:
            fleet.settle()
            count = int(factor * rate * 1.2 * WINDOW_SECONDS)
            started_at = time.monotonic()
            requests = await fleet.send_paced(NAMES, factor * rate, count)
            seconds = time.monotonic() - started_at
            assert seconds >= PART_SECONDS
            times = fleet.run_times()
            assert len(answered(requests)) + len(refused(requests)) == count
            assert len(times) == len(answered(requests))
            assert most_in_window(times) <= allowed(rate, burst)
            assert most_in_window(times) >= 0.9 * rate * WINDOW_SECONDS
            assert sum(fleet.use(name).used for name in NAMES) == len(times)
            assert sum(fleet.use(name).refused for name in NAMES) == len(refused(requests))
            assert fleet.logged("quota-exceeded", workspace="alpha")
            # All tokens that were used have been granted, by daemons that may grant them.
            primary, *others = fleet.candidates()
            granted = {name: fleet.granted(name) for name in NAMES}
            assert sum(granted.values()) >= len(times)
            assert granted[primary] <= rate * seconds + burst
            for name, share in zip(others, (SECOND_SHARE, THIRD_SHARE), strict=True):
                assert granted[name] <= share * margin(rate, burst) * seconds / PART_SECONDS
            owners = {fleet.quota_status(name).owner for name in NAMES}
            # The others grant only to entries that had no answer from the primary in 100 ms.
            if not fleet.logged("quota-owner-unreachable", owner=primary):
                assert granted[primary] >= len(times) and owners == {primary}
            assert owners <= {*NAMES}

    run(scenario)


def test_a_refusal_is_429_with_the_time_of_the_next_token(tmp_path):
    """Guards against a Retry-After that is as short as the entry's pause between asks."""

    async def scenario():
        # Without slack a bucket holds one token if there is no burst.
        async with quota_fleet(tmp_path, 0.25, 0.0, settings="[quota]\nslack = 0\n") as fleet:
            fleet.settle()
            url = f"http://{HOST}:{fleet.node('a').entry}/"
            headers = {"authorization": "Bearer alpha-secret", "wheatslip-service": "papers"}
            statuses = []
            for _ in range(2):
                async with fleet.installation.session.get(url, headers=headers) as response:
                    statuses.append(response.status)
                    retry_after_ms = response.headers.get("wheatslip-retry-after-ms")
            assert statuses == [200, 429]
            assert 2000 < int(retry_after_ms) <= 4000

    run(scenario)


def test_below_the_limit_nothing_is_refused_wherever_it_enters(tmp_path):
    """Guards against a limit that is divided between entries: all requests enter at one of
    them, then at another one.
    """
    rate, count = 50.0, 80

    async def scenario():
        async with quota_fleet(tmp_path, rate, 10.0) as fleet:
            fleet.settle()
            for name in NAMES:
                requests = await fleet.send_paced((name,), 0.8 * rate, count, catches_up=False)
                assert len(answered(requests)) == count, fleet.describe_refused(requests)

    run(scenario)


def test_a_workspace_without_a_limit_asks_nobody(tmp_path):
    async def scenario():
        async with quota_fleet(tmp_path, 5.0, 5.0) as fleet:
            caller = fleet.installation.caller("beta")
            # Beta may not call papers, so a bundle that lets it is put in force.
            proposal = limited_bundle(5.0, 5.0, version=2)
            services = (msgspec.structs.replace(proposal.services[0], callers=("beta",)),)
            await fleet.installation.release(
                msgspec.structs.replace(proposal, services=services)
            )
            await fleet.installation.ready(version=2)
            request = await caller.send(fleet.node("a").entry, "papers", "read", once=False)
            assert request.reported is Reported.ANSWERED
            quota = fleet.node("a").daemon.quota
            assert not quota.channels.open_channels
            assert quota.client.use_of("beta").used == 0

    run(scenario)


def test_requests_that_arrive_together_share_one_ask(tmp_path):
    """Guards against one ask for each request of a burst."""

    async def scenario():
        async with quota_fleet(tmp_path, 100.0, 100.0) as fleet:
            fleet.settle()
            primary = fleet.candidates()[0]
            entry = fleet.entry_beside(primary)
            asked = record_asks(fleet.node(primary).daemon)
            requests = await asyncio.gather(*(fleet.send(entry) for _ in range(20)))
            assert len(answered(requests)) == 20
            assert 1 <= len(asked) < 10
            assert {ask.sender for ask in asked} == {entry}

    run(scenario)


def test_a_lowered_limit_takes_effect_with_the_next_ask(tmp_path):
    """Guards against a bucket that keeps the tokens, or the rate, of the higher limit."""
    rate, lower = 100.0, 4.0
    count = 400

    async def scenario():
        async with quota_fleet(tmp_path, rate, 50.0) as fleet:
            fleet.settle()
            requests = await fleet.send_paced(NAMES, 50.0, 50)
            assert len(answered(requests)) == 50
            await fleet.installation.release(limited_bundle(lower, 1.0, version=2))
            await fleet.installation.ready(version=2)
            served_before = len(fleet.run_times())
            await fleet.send_paced(NAMES, 100.0, count)
            # Tokens of the higher limit may be used for a token's lifetime, 0.25 s.
            served = len(fleet.run_times()) - served_before
            assert served <= allowed(lower, 1.0, count / 100.0) + 0.25 * 50.0
            status = fleet.quota_status("a")
            assert (status.rate, status.burst) == (lower, 1.0)

    run(scenario)


@pytest.mark.parametrize("leaves", ["before-the-answer", "with-the-answer"])
def test_a_caller_that_leaves_while_waiting_leaks_no_token(tmp_path, leaves):
    """Guards against a request that runs, or a token that is lost, once its caller has left."""

    async def scenario():
        async with quota_fleet(tmp_path, 10.0, 10.0) as fleet:
            fleet.settle()
            _, _, entry = fleet.candidates()
            asked = asyncio.Event()
            go_on = asyncio.Event()
            entry_quota = fleet.node(entry).daemon.quota
            ask = entry_quota.channels.ask

            async def ask_later(owner, request):
                asked.set()
                await go_on.wait()
                return await ask(owner, request)

            entry_quota.channels.ask = ask_later
            port = fleet.node(entry).entry
            _, writer = await asyncio.open_connection(HOST, port)
            writer.write(
                b"GET / HTTP/1.1\r\nhost: x\r\nauthorization: Bearer alpha-secret\r\n"
                b"wheatslip-service: papers\r\n\r\n"
            )
            await asked.wait()
            use = fleet.use(entry)
            assert len(use.waiting) == 1
            if leaves == "before-the-answer":
                writer.transport.abort()
                await until(lambda: not use.waiting)
                go_on.set()
            else:
                go_on.set()
                writer.transport.abort()
            await until(lambda: not use.is_asking)
            server = fleet.node(entry).daemon.entry_server
            await until(lambda: not server.open_connections)
            assert not use.waiting
            if leaves == "before-the-answer":
                assert use.used == 0
                assert not fleet.run_times()
            before = use.used
            assert (await fleet.send(entry)).reported is Reported.ANSWERED
            assert use.used == before + 1

    run(scenario)


def test_a_request_does_not_wait_for_an_owner_beyond_its_deadline(tmp_path, monkeypatch):
    """Guards against a caller that waits for silent owners longer than it allowed."""
    monkeypatch.setattr(channels, "ASK_TIMEOUT_SECONDS", 10.0)

    async def scenario():
        async with quota_fleet(tmp_path, 10.0, 10.0) as fleet:
            primary, _, entry = fleet.candidates()
            async with link_before(fleet, primary) as link:
                link.bytes_per_second = 0.001
                request = await fleet.send(entry, deadline_ms=30)
                assert request.reported is Reported.NOT_RUN
                assert request.reason == "deadline"
                assert request.elapsed_seconds < channels.ASK_TIMEOUT_SECONDS
                use = fleet.use(entry)
                assert not use.waiting
                assert use.used == 0
                assert link.bytes_to_target  # the ask was under way

    run(scenario)


def test_a_request_that_was_not_run_returns_its_token(tmp_path):
    """Guards against refusals elsewhere in the system that use up a workspace's limit."""

    async def scenario():
        async with quota_fleet(tmp_path, 1.0, 1.0) as fleet:
            fleet.settle()
            for node in fleet.installation.nodes.values():
                await node.backend.server.stop(0.0)
            request = await fleet.send("a")
            assert request.reported is Reported.NOT_RUN, request
            assert not refused([request])
            assert fleet.use("a").used == 0

    run(scenario)


def test_an_idle_connection_to_an_owner_is_closed(tmp_path, monkeypatch):
    """Guards against connections that grow with the number of owners ever asked."""
    monkeypatch.setattr(channels, "IDLE_CLOSE_SECONDS", 0.05)

    async def scenario():
        async with quota_fleet(tmp_path, 10.0, 10.0) as fleet:
            fleet.settle()
            primary, _, entry = fleet.candidates()
            opened = fleet.node(entry).daemon.quota.channels
            await fleet.send(entry)
            assert fleet.use(entry).owner == primary
            await until(lambda: not opened.open_channels)
            fleet.monotonic.offset_seconds += 0.5  # the tokens expire
            await fleet.send(entry)
            assert fleet.use(entry).owner == primary

    run(scenario)
