"""A request that ends servers is held at every daemon within seconds, despite failures."""

import asyncio
import socket
from functools import partial

import pytest
from grpclib.server import Server
from wheatslip.quarantine import HOLD_AFTER_ENDS, ServerEnd
from wheatslip.store.instances import Instance
from wheatslipd.feed.codec import StructCodec
from wheatslipd.feed.parentfollower import ParentFollower
from wheatslipd.feed.relay import EndReports, send_end_reports
from wheatslipd.tls import PeerTls

from fleet_standins.store import Fault
from standins.cluster import HOST, eventually
from standins.ending import EndingServer
from standins.plainbackend import PlainBackend
from test.helper import run
from test.routed_fleet import fleet
from test.test_requests_that_end_servers import FATAL, register_under_new_id

PAIRS = {"a": "b", "b": "a", "c": "e", "e": "c", "d": "f", "f": "d"}
PROPAGATION_SECONDS = 3.0  # required by the operators of the users' platform
NAMES = "abcdef"
ZONES = dict(zip(NAMES, ("one", "two", "three") * 2, strict=True))
ENDS_KIND = "wheatslip-server-ends"


class EndingServers(dict):
    """The backend servers by daemon name. The request `FATAL` ends each of them."""

    def make(self, name):
        backend = PlainBackend(f"i-{name}", service=0.005)
        self[name] = EndingServer(backend, {FATAL})
        return backend

    def restart_on_end(self, cluster):
        for name, server in self.items():
            server.on_restart = partial(register_under_new_id, cluster, name, server)

    @property
    def end_count(self):
        return sum(len(server.ends) for server in self.values())


def three_zone_fleet(servers, **options):
    return fleet(*NAMES, make_backend=servers.make, zones=ZONES, watch="20s", **options)


async def send_until_held(cluster, servers):
    """Send the fatal request to one daemon until that daemon holds it."""
    servers.restart_on_end(cluster)
    async with asyncio.timeout(20):
        while (await cluster.send_request("a", FATAL))[2].get(
            "wheatslip-outcome"
        ) != HELD_OUTCOME:
            await asyncio.sleep(0.02)
    assert servers.end_count >= HOLD_AFTER_ENDS


HELD_OUTCOME = "not-run; ends-servers"


def held_at(daemon):
    return [request.service for request in daemon.status().held_requests]


async def wait_until_held(cluster, names=NAMES):
    async def check():
        return all(held_at(cluster.daemons[name]) == ["papers"] for name in names)

    async with asyncio.timeout(PROPAGATION_SECONDS):
        await eventually(check)


async def assert_not_forwarded(cluster, servers, names=NAMES):
    """Assert that no daemon forwards the fatal request to a server."""
    before = servers.end_count
    for name in names:
        assert (await cluster.send_request(name, FATAL))[2]["wheatslip-outcome"] == HELD_OUTCOME
    assert servers.end_count == before


@pytest.mark.parametrize("fault", [Fault.NONE, Fault.SILENT, Fault.BUSY])
def test_all_daemons_hold_a_fatal_request_during_a_store_fault(fault):
    async def scenario():
        servers = EndingServers()
        async with three_zone_fleet(servers) as cluster:
            cluster.store.fault = fault
            await send_until_held(cluster, servers)
            await wait_until_held(cluster)
            await assert_not_forwarded(cluster, servers)
            cluster.store.fault = Fault.NONE

    run(scenario)


def test_a_restarted_daemon_holds_a_fatal_request_without_the_store():
    async def scenario():
        servers = EndingServers()
        async with three_zone_fleet(servers, has_doors=True) as cluster:
            await send_until_held(cluster, servers)
            await wait_until_held(cluster)
            await cluster.stop("b")
            await cluster.start("b")

            async def has_instances():
                return bool(cluster.daemons["b"].feed.cache.instances)

            await eventually(has_instances)
            cluster.doors["b"].block(Fault.BUSY)
            await wait_until_held(cluster)
            await assert_not_forwarded(cluster, servers)

    run(scenario)


def test_a_fatal_request_is_held_after_all_daemons_restart():
    async def scenario():
        servers = EndingServers()
        async with three_zone_fleet(servers) as cluster:
            await send_until_held(cluster, servers)
            await wait_until_held(cluster)

            async def are_ends_stored():
                stored = [kind for kind, _ in cluster.store.objects if kind == ENDS_KIND]
                return len(stored) >= min(HOLD_AFTER_ENDS, servers.end_count)

            await eventually(are_ends_stored)
            await cluster.stop_all()
            await asyncio.gather(*(cluster.start(name) for name in NAMES))
            await wait_until_held(cluster)
            await cluster.ready()
            await assert_not_forwarded(cluster, servers)

    run(scenario)


class ControlPorts:
    """The control ports of all daemons of a fleet, to close and reopen.

    Closed ports stay bound, so that no other process gets them meanwhile.
    """

    def __init__(self, cluster):
        self._relays = [daemon.feed.relay for daemon in cluster.daemons.values()]
        self._bound = []

    def close(self):
        """Close all streams: no daemon can follow a parent or send end reports."""
        for relay in self._relays:
            relay._server.close()
            bound = socket.socket()
            bound.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            bound.bind((HOST, relay.port))
            self._bound.append(bound)

    async def open(self):
        """Listen on the same ports again."""
        for relay in self._relays:
            relay._server = Server([relay], codec=relay._codec)
            await relay.listen(HOST, relay.port)
        while self._bound:
            self._bound.pop().close()


def test_ends_seen_while_control_ports_are_closed_reach_all_daemons_later():
    async def scenario():
        servers = EndingServers()
        async with three_zone_fleet(servers) as cluster:
            ports = ControlPorts(cluster)
            ports.close()
            await send_until_held(cluster, servers)
            assert not all(held_at(daemon) for daemon in cluster.daemons.values())
            await ports.open()
            await wait_until_held(cluster)
            await assert_not_forwarded(cluster, servers)

    run(scenario)


def test_ends_reach_all_daemons_although_watchers_follow_each_other_in_pairs(monkeypatch):
    """Guards against reports that stay within a cycle of watchers. After an outage of their
    control ports, each watcher follows the one that it reaches first.
    """
    follow_parent = ParentFollower._follow_parent

    async def follow_pair(follower, parent):
        return await follow_parent(follower, PAIRS[follower._position.name])

    async def scenario():
        servers = EndingServers()
        async with three_zone_fleet(servers) as cluster:
            monkeypatch.setattr(ParentFollower, "_follow_parent", follow_pair)
            ports = ControlPorts(cluster)
            ports.close()
            await ports.open()

            async def are_paired():
                return all(d.feed.parent == PAIRS[n] for n, d in cluster.daemons.items())

            await eventually(are_paired)
            await send_until_held(cluster, servers)
            await wait_until_held(cluster)
            assert await are_paired()

    run(scenario)


def test_lifting_a_hold_at_one_daemon_lifts_it_at_all():
    async def scenario():
        servers = EndingServers()
        async with three_zone_fleet(servers) as cluster:
            await send_until_held(cluster, servers)
            await wait_until_held(cluster)
            (held,) = cluster.daemons["a"].status().held_requests
            for server in servers.values():
                server.fatal.clear()
            assert cluster.daemons["c"].quarantine.lift(held.fingerprint)
            assert not cluster.daemons["c"].quarantine.lift("unknown")

            async def is_lifted():
                return all(not held_at(daemon) for daemon in cluster.daemons.values())

            async with asyncio.timeout(PROPAGATION_SECONDS):
                await eventually(is_lifted)
            await cluster.ready()
            assert (await cluster.send_request("d", FATAL))[0] == 200

    run(scenario)


def test_a_frequent_request_is_not_held_when_servers_end_for_other_reasons():
    """A hundred requests per second: one is in flight on each server that ends."""

    async def scenario():
        servers = EndingServers()
        outcomes = []
        async with fleet(*"abcd", make_backend=servers.make) as cluster:
            servers.restart_on_end(cluster)
            for name in cluster.backends:
                cluster.backends[name].service = 0.05

            async def send_request(number):
                _, _, headers = await cluster.send_request("abcd"[number % 4], "/view/hot")
                outcomes.append(headers["wheatslip-outcome"])

            tasks = []
            for number in range(600):
                tasks.append(asyncio.create_task(send_request(number)))
                if number % 25 == 24:
                    server = list(servers.values())[number // 25 % 4]
                    server.end()
                await asyncio.sleep(0.01)
            await asyncio.gather(*tasks)
            assert servers.end_count >= 20
            assert HELD_OUTCOME not in outcomes
            suspects = {
                (name, ends)
                for name, daemon in cluster.daemons.items()
                for record in daemon._shared.quarantine._records.values()
                if (ends := len(record.ends)) >= HOLD_AFTER_ENDS
            }
            assert not suspects

    run(scenario)


def test_requests_in_flight_beside_a_fatal_request_are_not_held():
    """They are retried at the same daemons as the fatal request."""

    async def scenario():
        servers = EndingServers()
        outcomes = []
        async with fleet(*"abcd", make_backend=servers.make) as cluster:
            servers.restart_on_end(cluster)
            for backend in cluster.backends.values():
                backend.service = 0.05

            async def send_request(path, number):
                for attempt in range(5):
                    name = "abcd"[(number + attempt) % 4]
                    status, _, headers = await cluster.send_request(name, path)
                    outcomes.append((path, headers["wheatslip-outcome"]))
                    if status == 200:
                        return

            tasks = []
            for number in range(150):
                tasks.append(
                    asyncio.create_task(send_request(f"/view/single-{number}", number))
                )
                if number % 10 == 0:
                    tasks.append(asyncio.create_task(send_request(FATAL, number)))
                await asyncio.sleep(0.02)
            await asyncio.gather(*tasks)
            held = {path for path, outcome in outcomes if outcome == HELD_OUTCOME}
            assert held == {FATAL}
            assert HOLD_AFTER_ENDS <= servers.end_count <= 2 * HOLD_AFTER_ENDS

    run(scenario)


class PreviousVersionRelay:
    """A relay of the previous version, without the method for end reports."""

    def __mapping__(self):
        return {}


def test_reports_are_retried_at_an_unreachable_parent_but_not_at_one_of_the_previous_version():
    async def scenario():
        codec = StructCodec()
        relay_server = Server([PreviousVersionRelay()], codec=codec)
        await relay_server.start(HOST, 0)
        port = relay_server._server.sockets[0].getsockname()[1]
        parent = Instance("old", "papers", "one", HOST, 0, 0, port)
        reports = EndReports("a", (ServerEnd("a/1", 1.0, "papers", ("f",)),))
        assert await send_end_reports(parent, reports, PeerTls())
        relay_server.close()
        await relay_server.wait_closed()
        assert not await send_end_reports(parent, reports, PeerTls())

    run(scenario)
