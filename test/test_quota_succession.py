"""A limit that passes to another primary, between daemons; and what a primary can reach."""

import asyncio
import socket
from contextlib import contextmanager

import msgspec
import pytest
from result import Err, Ok
from wheatslip.quota.candidates import Candidates
from wheatslip.quota.granter import Granter
from wheatslip.quota.messages import AskRefusal, TokenGrant, TokenRequest
from wheatslip.quota.parts import SMALL_BURST_SLACK_SHARE
from wheatslip.quota.reach import REMEMBER_SECONDS, Contact
from wheatslip.quota.settings import QuotaSettings
from wheatslip.store.instances import INSTANCE_KIND, Instance, InstanceState
from wheatslipd.quota.knowndaemons import KnownDaemons
from wheatslipd.quota.reachprober import REST_SECONDS, ReachProber
from wheatslipd.quota.service import QuotaService

from standins.backend import Behaviour
from standins.cluster import HOST
from test.helper import run
from test.quota_fleet import NAMES, answered, quota_fleet, refused, until

RATE, BURST = 50.0, 0.0
FOUR_NAMES = (*NAMES, "d")
DEMAND = 0.8  # of the limit
COUNT = int(DEMAND * RATE * 8.0)  # requests in 8 s
MAX_REFUSED_SHARE = 0.005


def order_of(names):
    candidates = Candidates(len(names))
    candidates.set_members(names)
    return candidates.of("alpha")


def test_nothing_below_the_limit_is_refused_when_a_new_primary_joins(tmp_path):
    """Guards against a new primary that grants less than the former one did."""

    async def scenario():
        new, *others = order_of(NAMES)
        async with quota_fleet(tmp_path, RATE, BURST, names=tuple(others)) as fleet:
            fleet.settle()
            load = asyncio.create_task(
                fleet.send_paced(tuple(others), DEMAND * RATE, COUNT, catches_up=False)
            )
            await until(lambda: fleet.use(others[1]).owner == others[0])
            await fleet.installation.add(new, Behaviour(slots=50, service=0.001))
            await until(lambda: fleet.use(others[1]).owner == new)
            requests = await load
            assert len(refused(requests)) <= MAX_REFUSED_SHARE * len(requests), (
                fleet.describe_refused(requests)
            )
            assert len(answered(requests)) >= (1 - MAX_REFUSED_SHARE) * len(requests)
            # The new one grants by itself once the former one has yielded.
            assert fleet.granted(new) > 0
            assert fleet.logged("quota-owner", workspace="alpha", daemon=new)

    run(scenario)


def test_nothing_below_the_limit_is_refused_when_a_primary_leaves(tmp_path):
    """Guards against a successor that settles, or grants from the margin."""

    async def scenario():
        async with quota_fleet(tmp_path, RATE, BURST) as fleet:
            fleet.settle()
            primary, second, entry = fleet.candidates()
            load = asyncio.create_task(
                fleet.send_paced((second, entry), DEMAND * RATE, COUNT, catches_up=False)
            )
            await until(lambda: fleet.use(entry).owner == primary)
            node = fleet.node(primary)
            await fleet.installation.list_instance(node, InstanceState.LEAVING)
            await until(lambda: fleet.use(entry).owner == second)
            requests = await load
            assert len(refused(requests)) <= MAX_REFUSED_SHARE * len(requests), (
                fleet.describe_refused(requests)
            )
            assert fleet.granted(second) > 0

    run(scenario)


@contextmanager
def silent_port():
    """Yield a port that answers no connection, as its backlog is full."""
    with socket.create_server((HOST, 0), backlog=0) as listening:
        port = listening.getsockname()[1]
        waiting = []
        for _ in range(2):
            one = socket.socket()
            one.setblocking(False)
            one.connect_ex((HOST, port))
            waiting.append(one)
        try:
            yield port
        finally:
            for one in waiting:
                one.close()


@pytest.fixture
def ports():
    """Control ports of three daemons: one listens, one has ended, one is silent."""
    with socket.create_server((HOST, 0)) as listening, silent_port() as silent:
        with socket.create_server((HOST, 0)) as closed:
            refused_port = closed.getsockname()[1]
        yield {"b": listening.getsockname()[1], "c": refused_port, "d": silent}


def test_a_probe_tells_a_silent_machine_from_an_ended_process(ports):
    """Guards against crashed machines and ended processes that are taken for each other."""

    async def scenario():
        granter = Granter("a", QuotaSettings())
        clock = asyncio.get_running_loop().time
        known = KnownDaemons(clock)
        prober = ReachProber(granter, known, clock)
        listed = {
            name: Instance(name, "papers", "one", HOST, 1, 2, port)
            for name, port in ports.items()
        }
        known.set_listed(listed)
        contacts = [await prober._probe(name) for name in "bcd"]
        assert contacts == [Contact.ACCEPTED, Contact.REFUSED, Contact.SILENT]

    run(scenario)


def test_a_daemon_that_is_no_primary_rests_although_another_was_lost():
    """Guards against daemons without limits that wake up ten times a second."""

    async def scenario():
        granter = Granter("a", QuotaSettings())
        granter.set_members(("a", "b"), 0.0)
        granter.set_members(("a",), 1.0, ["b"])
        clock = asyncio.get_running_loop().time
        prober = ReachProber(granter, KnownDaemons(clock), clock)
        assert granter.reach.has_untried_lost
        assert prober._pause() == REST_SECONDS

    run(scenario)


def test_a_primary_grants_the_share_that_it_can_reach(tmp_path):
    """Guards against a prober that does not run, or whose results do not count."""

    async def scenario():
        async with quota_fleet(tmp_path, RATE, BURST) as fleet:
            fleet.settle()
            primary, *_ = fleet.candidates()
            daemon = fleet.node(primary).daemon
            other = next(name for name in NAMES if name != primary)
            with silent_port() as port:
                silent = Instance(other, "papers", "one", HOST, 1, 2, port)
                known = daemon.quota.prober._known
                known.set_listed({**known._listed, other: silent})
                await fleet.send(primary)
                await until(lambda: daemon.quota.granter.share < 1.0)
                assert daemon.quota.granter.share == pytest.approx(2 / 3)
                assert fleet.logged("quota-reach")

    run(scenario)


def test_a_limit_is_first_used_beside_a_silent_candidate(tmp_path):
    """Guards against entries that leave out a primary, because it waits for another candidate
    for longer than they wait for it.
    """

    async def scenario():
        async with quota_fleet(tmp_path, RATE, BURST) as fleet:
            primary, second, entry = fleet.candidates()
            with silent_port() as port:
                await fleet.relist(second, control_port=port)
                fleet.settle()
                request = await fleet.send(entry)
                assert len(answered([request])) == 1
                assert fleet.logged("quota-former-silent", owner=second)
                assert not fleet.logged("quota-owner-unreachable", owner=primary)

    run(scenario)


@pytest.mark.parametrize("list_after", [0.01, None])
def test_a_daemon_without_a_list_refuses_nothing_for_the_limit(list_after):
    """Guards against requests below a limit that are refused because a daemon starts."""

    async def scenario():
        granter = Granter("a", QuotaSettings())
        clock = asyncio.get_running_loop().time
        service = QuotaService("a", granter, clock)

        def set_members():
            granter.set_members(("a", "b"), clock())
            service.on_list()

        if list_after is not None:
            asyncio.get_running_loop().call_later(list_after, set_members)
        answer = await service.answer(TokenRequest("b", "alpha", 1, 1, RATE, BURST, owner="a"))
        expected = Err(AskRefusal.OTHER_DAEMON) if list_after is None else Ok(TokenGrant(1))
        assert answer == expected

    run(scenario)


def test_a_daemon_that_left_the_list_is_known_for_a_while():
    """Guards against a former primary, or a lost daemon, that can't be called any more."""
    now = 0.0
    known = KnownDaemons(lambda: now)
    one = Instance("b", "papers", "one", HOST, 1, 2, 3)
    known.set_listed({"b": one})
    known.set_listed({})
    assert known.get("b") == one
    now = REMEMBER_SECONDS
    known.set_listed({})
    assert known.get("b") is None


def test_daemons_that_restart_in_turn_are_told_of_a_lost_one(tmp_path):
    """Guards against a restarted primary that forgets the other side of a cut."""

    async def scenario():
        lost, *others = FOUR_NAMES
        async with quota_fleet(tmp_path, RATE, BURST, names=FOUR_NAMES) as fleet:
            await remove_without_word(fleet, lost)
            await until(lambda: all(lost in lost_at(fleet, name) for name in others))
            for name in others:
                await fleet.installation.stop(name)
                await fleet.installation.start_again(name)
                await until(lambda name=name: lost in lost_at(fleet, name))
                quota = fleet.node(name).daemon.quota
                assert quota.granter.share == pytest.approx(1 - 1 / len(FOUR_NAMES))
                assert quota.prober._known.get(lost) == fleet.node(lost).instance
            assert len(fleet.logged("quota-lost-told", count=1)) == len(others)

    run(scenario)


async def remove_without_word(fleet, name):
    """End a daemon whose entry was never listed as leaving, and remove the entry."""
    node = fleet.node(name)
    await fleet.installation.stop(name)
    removed = await fleet.installation.client.delete(INSTANCE_KIND, name, node.listed_version)
    removed.unwrap()


def lost_at(fleet, name):
    return fleet.node(name).daemon.quota.granter.reach.lost


@pytest.mark.parametrize("burst", [0.0, 40.0])
def test_a_former_primary_keeps_what_its_bucket_held_for_asks_that_are_passed_on(burst):
    """Guards against a refusal below the limit at the moment in which a primary changes."""
    new, former, *_ = order_of(NAMES)
    granter = Granter(former, QuotaSettings())
    granter.set_members([name for name in NAMES if name != new], 0.0)
    request = TokenRequest("x", "alpha", 1, 1, RATE, burst)
    granter.grant(request, 0.0)
    assert granter.grant(request, 20.0).tokens == 1
    granter.set_members(NAMES, 20.0)
    asked = msgspec.structs.replace(request, tokens=100)
    held = max(burst, SMALL_BURST_SLACK_SHARE * QuotaSettings().slack) - 1
    assert granter.grant_relayed(asked, 20.0).grant.tokens == held
    assert granter.grant_relayed(asked, 20.0).grant.tokens == 0
