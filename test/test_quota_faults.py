"""Limits of workspaces while their owners fail, inside one process."""

import asyncio

from wheatslip.distribution.feedcache import FeedCache
from wheatslip.store.instances import InstanceState
from wheatslipd.feed.relay import RelayServer
from wheatslipd.quota import asker, channels
from wheatslipd.tls import PeerTls

from standins.caller import Reported
from standins.cluster import HOST
from test.helper import run
from test.quota_fleet import (
    NAMES,
    allowed,
    answered,
    link_before,
    most_in_window,
    quota_fleet,
    record_asks,
    refused,
    until,
)


def test_an_ended_primary_is_replaced_at_once_and_asked_again(tmp_path):
    """Guards against a wait for a process that has ended, and against a second candidate that
    takes it for a frozen one, which may still grant.
    """

    async def scenario():
        async with quota_fleet(tmp_path, 50.0, 10.0) as fleet:
            fleet.settle()
            primary, second, entry = fleet.candidates()
            control_port = fleet.node(primary).instance.control_port
            asked = record_asks(fleet.node(second).daemon)
            async with link_before(fleet, primary):
                await fleet.send(entry)
                assert fleet.use(entry).owner == primary
            # The closed link breaks the open connection and refuses new ones.
            fleet.monotonic.offset_seconds += 1.0  # tokens of the first answer expire
            requests = await fleet.send_paced((entry,), 10.0, 10)
            assert fleet.logged("quota-owner-unreachable", owner=primary, why="refused")
            assert not fleet.logged("quota-owner-unreachable", why="silent")
            assert fleet.use(entry).owner == second
            assert asked and all(ask.failover for ask in asked)
            assert len(answered(requests)) == len(requests)

            await fleet.relist(primary, control_port=control_port)
            fleet.monotonic.offset_seconds += 0.5  # tokens of the second candidate expire
            await fleet.send(entry)
            assert fleet.use(entry).owner == primary

    run(scenario)


def test_a_daemon_at_the_address_of_an_ended_primary_does_not_answer_for_it(tmp_path):
    """Guards against a daemon that grants nothing and passes for the primary."""

    async def scenario():
        async with quota_fleet(tmp_path, 50.0, 10.0) as fleet:
            fleet.settle()
            primary, second, entry = fleet.candidates()
            asked = record_asks(fleet.node(second).daemon)
            await fleet.relist(primary, control_port=fleet.node(entry).instance.control_port)
            requests = await fleet.send_paced((entry,), 10.0, 10)
            assert fleet.logged("quota-owner-unreachable", owner=primary, why="refused")
            assert fleet.use(entry).owner == second
            assert asked and all(ask.failover for ask in asked)
            assert len(answered(requests)) == len(requests)

    run(scenario)


def test_a_primary_that_accepts_and_never_answers_costs_one_time_out(tmp_path):
    """Guards against requests that each wait for a frozen owner, and against a second candidate
    that takes over as if the first had ended.
    """

    async def scenario():
        async with quota_fleet(tmp_path, 10.0, 10.0) as fleet:
            fleet.settle()
            primary, second, entry = fleet.candidates()
            accepted = []

            async def accept_only(reader, writer):
                accepted.append(writer)

            listener = await asyncio.start_server(accept_only, HOST, 0)
            try:
                port = listener.sockets[0].getsockname()[1]
                await fleet.relist(primary, control_port=port)
                asked = record_asks(fleet.node(second).daemon)
                requests = [await fleet.send(entry) for _ in range(2)]
                assert accepted
                unreachable = fleet.logged(
                    "quota-owner-unreachable", owner=primary, why="silent"
                )
                assert len(unreachable) == 1
                assert asked and not any(ask.failover for ask in asked)
                assert requests[0].elapsed_seconds >= channels.ASK_TIMEOUT_SECONDS
                assert requests[1].elapsed_seconds < requests[0].elapsed_seconds
                assert fleet.use(entry).owner in (second, entry)
            finally:
                listener.close()
                for writer in accepted:
                    writer.transport.abort()

    run(scenario)


def test_a_connection_that_fell_silent_costs_one_time_out(tmp_path):
    """Guards against an entry that keeps a dead connection after its owner is back."""

    async def scenario():
        async with quota_fleet(tmp_path, 50.0, 10.0) as fleet:
            fleet.settle()
            primary, _, entry = fleet.candidates()
            async with link_before(fleet, primary) as link:
                await fleet.send(entry)
                assert fleet.use(entry).owner == primary
                assert primary in fleet.node(entry).daemon.quota.channels.open_channels
                link.silence()
                fleet.monotonic.offset_seconds += 0.5  # tokens of the first answer expire
                await fleet.send(entry)
                assert fleet.logged("quota-owner-unreachable", owner=primary, why="silent")
                assert fleet.use(entry).owner != primary
                fleet.monotonic.offset_seconds += asker.UNREACHABLE_SECONDS
                await fleet.send(entry)
                assert fleet.use(entry).owner == primary

    run(scenario)


def test_a_lost_answer_is_replaced_by_that_of_the_next_candidate(tmp_path):
    """Guards against a request that is lost with the answer, after its tokens were granted."""

    async def scenario():
        async with quota_fleet(tmp_path, 20.0, 10.0) as fleet:
            fleet.settle()
            primary, _, entry = fleet.candidates()
            async with link_before(fleet, primary) as link:
                await fleet.send(entry)
                granted = fleet.quota_status(primary).granted
                link.bytes_per_second = 0.001
                fleet.monotonic.offset_seconds += 0.5  # tokens of the first answer expire
                request = await fleet.send(entry)
                assert fleet.quota_status(primary).granted > granted
                assert fleet.use(entry).owner != primary
                assert request.reported is Reported.ANSWERED or refused([request])

    run(scenario)


def test_an_owner_of_the_previous_version_is_left_out_for_longer(tmp_path):
    """Guards against an ask to each older daemon every second during an update."""

    async def scenario():
        async with quota_fleet(tmp_path, 10.0, 10.0) as fleet:
            fleet.settle()
            primary, second, entry = fleet.candidates()
            older = RelayServer(FeedCache(), PeerTls())
            await older.listen(HOST, 0)
            try:
                await fleet.relist(primary, control_port=older.port)
                for _ in range(3):
                    await fleet.send(entry)
                    fleet.monotonic.offset_seconds += 2 * asker.UNREACHABLE_SECONDS
                found = fleet.logged("quota-owner-unreachable", owner=primary)
                assert [event["why"] for event in found] == ["unsupported"]
                assert fleet.use(entry).owner in (second, entry)
                assert fleet.use(entry).used >= 1
            finally:
                await older.stop()

    run(scenario)


def test_the_limit_moves_when_its_primary_is_listed_as_leaving(tmp_path):
    """Guards against entries that ask a daemon until it ends, and against a limit that is
    granted twice while lists differ.
    """
    rate, burst = 20.0, 5.0

    async def scenario():
        async with quota_fleet(tmp_path, rate, burst) as fleet:
            fleet.settle()
            primary, second, entry = fleet.candidates()
            load = asyncio.create_task(
                fleet.send_paced((second, entry), 4 * rate, int(4 * rate * 6))
            )
            await until(lambda: fleet.use(entry).owner == primary)
            node = fleet.node(primary)
            await fleet.installation.list_instance(node, InstanceState.LEAVING)
            await fleet.until_listed(
                primary, lambda instance: instance.state is InstanceState.LEAVING
            )
            await until(lambda: fleet.use(entry).owner == second)
            assert primary not in fleet.node(entry).daemon.quota.channels.open_channels
            assert fleet.logged("quota-owner", workspace="alpha", daemon=second)
            await load
            assert most_in_window(fleet.run_times()) <= allowed(rate, burst)
            assert fleet.use(entry).owner == second

    run(scenario)


def test_the_limit_holds_when_all_daemons_restart_at_once(tmp_path):
    """Guards against owners that start with a full bucket: all have forgotten their grants."""
    rate, burst = 20.0, 20.0

    async def scenario():
        async with quota_fleet(tmp_path, rate, burst) as fleet:
            fleet.settle()
            before = await fleet.send_paced(NAMES, 5 * rate, int(5 * rate * 2))
            assert refused(before)
            for name in NAMES:
                await fleet.installation.stop(name)
            for name in NAMES:
                await fleet.installation.start_again(name)
            await fleet.installation.ready()
            served_before = len(fleet.run_times())
            after = await fleet.send_paced(NAMES, 5 * rate, int(5 * rate * 4))
            assert refused(after)
            assert len(fleet.run_times()) > served_before
            assert most_in_window(fleet.run_times()) <= allowed(rate, burst)

    run(scenario)


def test_a_granter_that_raises_ends_no_daemon_and_serves_others_again(tmp_path):
    """Guards against a bug in the granter that ends the primary, as a daemon that asks itself
    or as one that is asked, and against a stream that ends with one ask.
    """

    async def scenario():
        async with quota_fleet(tmp_path, 50.0, 10.0) as fleet:
            fleet.settle()
            primary, _, entry = fleet.candidates()
            service = fleet.node(primary).daemon.quota.service
            grant = service.grant

            def raise_error(request):
                raise RuntimeError("granter of " + request.workspace)

            service.grant = raise_error
            requests = [await fleet.send(name) for name in (primary, entry)]
            assert refused(requests[:1])
            assert requests[1].reported is Reported.ANSWERED
            assert fleet.use(entry).owner != primary
            assert fleet.logged("quota-owner-unreachable", owner=primary, why="silent")
            failed = fleet.logged("quota-ask-failed", workspace="alpha")
            assert {event["sender"] for event in failed} >= {primary, entry}
            assert all("granter of alpha" in event["error"] for event in failed)

            service.grant = grant
            fleet.monotonic.offset_seconds += asker.UNREACHABLE_SECONDS
            requests = [await fleet.send(name) for name in (primary, entry)]
            assert len(answered(requests)) == 2
            assert fleet.use(entry).owner == fleet.use(primary).owner == primary

    run(scenario)
