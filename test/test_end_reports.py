"""Each daemon knows within seconds of a request that ends servers, whatever is cut off."""

import asyncio
from functools import partial

import pytest
from grpclib.server import Server
from wheatslip.quarantine import HOLD_AFTER_ENDS, ServerEnd
from wheatslip.store.instances import Instance
from wheatslipd.feed.codec import StructCodec
from wheatslipd.feed.relay import EndReports, send_end_reports
from wheatslipd.tls import PeerTls

from fleet_standins.store import Fault
from standins.cluster import HOST, eventually
from standins.ending import EndingServer
from standins.plainbackend import PlainBackend
from test.helper import run
from test.routed_fleet import fleet
from test.test_requests_that_end_servers import FATAL, back_under_a_new_id

KNOWN_WITHIN = 3.0  # seconds: what the platform's operators allow
NAMES = "abcdef"
ZONES = dict(zip(NAMES, ("one", "two", "three") * 2, strict=True))
ENDS = "wheatslip-server-ends"


class Endings(dict):
    """The servers of a fleet by name, each of which the fatal request ends."""

    def make(self, name):
        backend = PlainBackend(f"i-{name}", service=0.005)
        self[name] = EndingServer(backend, {FATAL})
        return backend

    def bind(self, one):
        for name, ending in self.items():
            ending.on_restart = partial(back_under_a_new_id, one, name, ending)

    @property
    def count(self):
        return sum(len(ending.ends) for ending in self.values())


def three_zones(endings, **options):
    return fleet(*NAMES, make_backend=endings.make, zones=ZONES, watch="20s", **options)


async def end_servers(one, endings):
    """Let the request come until it is held at the daemon that it comes to."""
    endings.bind(one)
    async with asyncio.timeout(20):
        while (await one.ask("a", FATAL))[2].get("wheatslip-outcome") != HELD_OUTCOME:
            await asyncio.sleep(0.02)
    assert endings.count >= HOLD_AFTER_ENDS


HELD_OUTCOME = "not-run; ends-servers"


def held_at(daemon):
    return [one.service for one in daemon.status().held_requests]


async def all_hold(one, names=NAMES):
    async def check():
        return all(held_at(one.daemons[name]) == ["papers"] for name in names)

    async with asyncio.timeout(KNOWN_WITHIN):
        await eventually(check)


async def stays_away(one, endings, names=NAMES):
    """No entry sends it to a server."""
    before = endings.count
    for name in names:
        assert (await one.ask(name, FATAL))[2]["wheatslip-outcome"] == HELD_OUTCOME
    assert endings.count == before


@pytest.mark.parametrize("fault", [Fault.NONE, Fault.SILENT, Fault.BUSY])
def test_all_daemons_know_whatever_the_store_does(fault):
    async def scenario():
        endings = Endings()
        async with three_zones(endings) as one:
            one.store.fault = fault
            await end_servers(one, endings)
            await all_hold(one)
            await stays_away(one, endings)
            one.store.fault = Fault.NONE

    run(scenario)


def test_a_daemon_that_starts_again_knows_though_the_store_turns_it_away():
    async def scenario():
        endings = Endings()
        async with three_zones(endings, has_doors=True) as one:
            await end_servers(one, endings)
            await all_hold(one)
            await one.stop("b")
            await one.start("b")

            async def listed():
                return bool(one.daemons["b"].feed.cache.instances)

            await eventually(listed)
            one.doors["b"].block(Fault.BUSY)
            await all_hold(one)
            await stays_away(one, endings)

    run(scenario)


def test_daemons_that_all_stop_know_from_the_store():
    async def scenario():
        endings = Endings()
        async with three_zones(endings) as one:
            await end_servers(one, endings)
            await all_hold(one)

            async def stored():
                kept = [kind for kind, _ in one.store.objects if kind == ENDS]
                return len(kept) >= min(HOLD_AFTER_ENDS, endings.count)

            await eventually(stored)
            await one.stop_all()
            await asyncio.gather(*(one.start(name) for name in NAMES))
            await all_hold(one)
            await one.ready()
            await stays_away(one, endings)

    run(scenario)


class ControlPorts:
    """The control ports of all daemons of a fleet, which a test can close and open."""

    def __init__(self, one):
        self._relays = [daemon.feed.relay for daemon in one.daemons.values()]

    def close(self):
        """Cut all streams; nobody can follow anybody, or bring a report."""
        for relay in self._relays:
            relay._server.close()

    async def open(self):
        """Listen again at the same ports."""
        for relay in self._relays:
            relay._server = Server([relay], codec=relay._codec)
            await relay.listen(HOST, relay.port)


def test_what_daemons_learn_while_they_are_cut_off_reaches_all_later():
    async def scenario():
        endings = Endings()
        async with three_zones(endings) as one:
            ports = ControlPorts(one)
            ports.close()
            await end_servers(one, endings)
            assert not all(held_at(daemon) for daemon in one.daemons.values())
            await ports.open()
            await all_hold(one)
            await stays_away(one, endings)

    run(scenario)


def test_a_lift_at_one_daemon_frees_the_request_at_all():
    async def scenario():
        endings = Endings()
        async with three_zones(endings) as one:
            await end_servers(one, endings)
            await all_hold(one)
            (held,) = one.daemons["a"].status().held_requests
            for ending in endings.values():
                ending.fatal.clear()
            assert one.daemons["c"].quarantine.lift(held.fingerprint)
            assert not one.daemons["c"].quarantine.lift("unknown")

            async def freed():
                return all(not held_at(daemon) for daemon in one.daemons.values())

            async with asyncio.timeout(KNOWN_WITHIN):
                await eventually(freed)
            await one.ready()
            assert (await one.ask("d", FATAL))[0] == 200

    run(scenario)


def test_a_get_that_always_runs_when_servers_end_for_other_reasons_is_served():
    """It comes a hundred times a second, so it runs on each server that ends."""

    async def scenario():
        endings = Endings()
        outcomes = []
        async with fleet(*"abcd", make_backend=endings.make) as one:
            endings.bind(one)
            for name in one.backends:
                one.backends[name].service = 0.05

            async def ask(turn):
                _, _, headers = await one.ask("abcd"[turn % 4], "/view/hot")
                outcomes.append(headers["wheatslip-outcome"])

            tasks = []
            for turn in range(600):
                tasks.append(asyncio.create_task(ask(turn)))
                if turn % 25 == 24:
                    ending = list(endings.values())[turn // 25 % 4]
                    ending.end()
                await asyncio.sleep(0.01)
            await asyncio.gather(*tasks)
            assert endings.count >= 20
            assert HELD_OUTCOME not in outcomes
            suspects = {
                (name, standing)
                for name, daemon in one.daemons.items()
                for record in daemon._shared.quarantine._records.values()
                if (standing := len(record.ends)) >= HOLD_AFTER_ENDS
            }
            assert not suspects

    run(scenario)


def test_requests_that_run_and_come_again_beside_the_cause_are_not_held():
    """Each of them comes again wherever the cause comes again."""

    async def scenario():
        endings = Endings()
        outcomes = []
        async with fleet(*"abcd", make_backend=endings.make) as one:
            endings.bind(one)
            for backend in one.backends.values():
                backend.service = 0.05

            async def ask(path, turn):
                for again in range(5):
                    name = "abcd"[(turn + again) % 4]
                    status, _, headers = await one.ask(name, path)
                    outcomes.append((path, headers["wheatslip-outcome"]))
                    if status == 200:
                        return

            tasks = []
            for turn in range(150):
                tasks.append(asyncio.create_task(ask(f"/view/single-{turn}", turn)))
                if turn % 10 == 0:
                    tasks.append(asyncio.create_task(ask(FATAL, turn)))
                await asyncio.sleep(0.02)
            await asyncio.gather(*tasks)
            held = {path for path, outcome in outcomes if outcome == HELD_OUTCOME}
            assert held == {FATAL}
            assert HOLD_AFTER_ENDS <= endings.count <= 2 * HOLD_AFTER_ENDS

    run(scenario)


class RelayBefore:
    """The relay of the version before: it does not know the method that takes reports."""

    def __mapping__(self):
        return {}


def test_a_parent_of_the_version_before_is_not_asked_again_and_one_that_is_away_is():
    async def scenario():
        codec = StructCodec()
        server = Server([RelayBefore()], codec=codec)
        await server.start(HOST, 0)
        port = server._server.sockets[0].getsockname()[1]
        parent = Instance("old", "papers", "one", HOST, 0, 0, port)
        reports = EndReports("a", (ServerEnd("a/1", 1.0, "papers", ("f",)),))
        assert await send_end_reports(parent, reports, PeerTls())
        server.close()
        await server.wait_closed()
        assert not await send_end_reports(parent, reports, PeerTls())

    run(scenario)
