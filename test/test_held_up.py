"""A daemon whose event loop is held up does not take that for the silence of others.

The others run in a thread with an event loop of its own, and the loop of the test is held by
`time.sleep`, so that their answers wait in the socket when it goes on.
"""

import asyncio
import gc
import socket
import threading
import time
import weakref
from contextlib import aclosing, contextmanager

import pytest
from grpclib.const import Cardinality, Handler
from result import Ok
from wheatslip.chooser import Chooser
from wheatslip.distribution.feedcache import Cursor, FeedCache
from wheatslip.quota.messages import NumberedAnswer, NumberedAsk, TokenGrant, TokenRequest
from wheatslip.store.instances import Instance
from wheatslipd.controllers import membership
from wheatslipd.entry.forward import CONNECT_TIMEOUT_SECONDS
from wheatslipd.feed import relay
from wheatslipd.http.messages import ResponseHead
from wheatslipd.http.pool import ConnectionPool
from wheatslipd.http.server import Server
from wheatslipd.quota.channels import ASK_TIMEOUT_SECONDS, OwnerChannels
from wheatslipd.quota.service import ASK_METHOD
from wheatslipd.telemetry.looplag import CHECK_SECONDS, LOGGED_LAG_SECONDS, LoopLagMonitor
from wheatslipd.telemetry.metrics import Metrics
from wheatslipd.timeouts import MAX_EXTENSION, PatientTimer, reply_timeout
from wheatslipd.tls import PeerTls

from standins.caller import Reported
from standins.cluster import HOST, eventually
from test.helper import Installation, bundle, recorded_events, run
from test.routed_fleet import fleet

LIMIT_SECONDS = 0.1
ANSWER_SECONDS = 0.05
HELD_FROM_SECONDS = 0.01
HELD_SECONDS = 0.15  # until after the limit
TRIES = 10


@contextmanager
def in_thread(start):
    """Run a server on the event loop of a thread; `start` returns its port."""
    loop = asyncio.new_event_loop()
    thread = threading.Thread(target=loop.run_forever, daemon=True)
    thread.start()
    try:
        yield asyncio.run_coroutine_threadsafe(start(), loop).result(5.0)
    finally:
        asyncio.run_coroutine_threadsafe(end_tasks(), loop).result(5.0)
        loop.call_soon_threadsafe(loop.stop)
        thread.join(5.0)
        loop.close()


async def end_tasks():
    """Cancel all tasks of the running event loop but this one, and wait for them."""
    tasks = asyncio.all_tasks() - {asyncio.current_task()}
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


def hold_up_soon(seconds=HELD_SECONDS, after=HELD_FROM_SECONDS):
    asyncio.get_running_loop().call_later(after, time.sleep, seconds)


async def start_answering():
    async def answer(exchange):
        await asyncio.sleep(ANSWER_SECONDS)
        await exchange.respond(ResponseHead(200))

    server = Server(answer)
    await server.listen(HOST, 0)
    return server.port


def test_an_answer_that_came_while_the_loop_was_held_up_is_read(run_on_loop):
    """Guards against a time limit that counts the own hold-up."""

    async def scenario(port):
        for _ in range(TRIES):
            reader, writer = await asyncio.open_connection(HOST, port)
            writer.write(b"GET /a HTTP/1.1\r\n\r\n")
            hold_up_soon()
            async with reply_timeout(LIMIT_SECONDS, "test"):
                assert (await reader.read(100)).startswith(b"HTTP/1.1 200")
            writer.close()

    with in_thread(start_answering) as port, recorded_events() as events:
        run_on_loop(lambda: scenario(port))
    held_up = [e for e in events if e.get("message_type") == "held-up-while-waiting"]
    assert held_up
    assert {e["waits_for"] for e in held_up} == {"test"}


def test_silence_ends_the_wait_when_the_loop_runs(run_on_loop):
    async def scenario():
        started_at = time.monotonic()
        with pytest.raises(TimeoutError):
            async with reply_timeout(LIMIT_SECONDS, "test"):
                await asyncio.Event().wait()
        assert time.monotonic() - started_at >= LIMIT_SECONDS * 0.99

    run_on_loop(scenario)


def test_silence_ends_the_wait_although_the_loop_is_always_late():
    """Guards against a busy daemon that never finds out that another one is gone."""

    async def scenario():
        is_over = False

        async def be_busy():
            while not is_over:
                time.sleep(LIMIT_SECONDS / 2)
                await asyncio.sleep(0)

        busy = asyncio.create_task(be_busy())
        started_at = time.monotonic()
        with pytest.raises(TimeoutError):
            async with reply_timeout(LIMIT_SECONDS, "test"):
                await asyncio.Event().wait()
        elapsed = time.monotonic() - started_at
        is_over = True
        await busy
        # Each part may last for one and a half hold-ups.
        assert elapsed < 10 * (1 + MAX_EXTENSION) * LIMIT_SECONDS

    run(scenario)


def test_a_cancelled_wait_is_no_time_out():
    async def scenario():
        async def wait():
            async with reply_timeout(LIMIT_SECONDS, "test"):
                await asyncio.Event().wait()

        task = asyncio.create_task(wait())
        await asyncio.sleep(0)
        task.cancel()
        with pytest.raises(asyncio.CancelledError):
            await task

    run(scenario)


class SlowOwner:
    """Grants what it is asked for after `ANSWER_SECONDS`."""

    def __mapping__(self):
        return {
            ASK_METHOD: Handler(
                self.answer, Cardinality.STREAM_STREAM, NumberedAsk, NumberedAnswer
            )
        }

    async def answer(self, stream):
        async for ask in stream:
            await asyncio.sleep(ANSWER_SECONDS)
            await stream.send_message(
                NumberedAnswer(ask.number, TokenGrant(ask.request.tokens))
            )


async def start_owner():
    server = relay.RelayServer(FeedCache(), PeerTls(), services=[SlowOwner()])
    await server.listen(HOST, 0)
    return server.port


def test_an_owner_that_answered_in_time_is_not_left_out():
    """Guards against a hold-up of an entry that costs a workspace a second of its limit."""
    request = TokenRequest("a", "alpha", 3, 1, 10.0, 5.0, owner="b")

    async def scenario(port):
        channels = OwnerChannels(PeerTls())
        channels.set_instances({"b": Instance("b", "papers", "one", HOST, 0, 0, port)})
        assert await channels.ask("b", request) == Ok(TokenGrant(3))  # connected
        for _ in range(TRIES):
            hold_up_soon(ASK_TIMEOUT_SECONDS + ANSWER_SECONDS)
            assert await channels.ask("b", request) == Ok(TokenGrant(3))
        channels.close()
        await asyncio.sleep(0)

    with in_thread(start_owner) as port:
        run(lambda: scenario(port))


def test_a_peer_that_accepted_in_time_is_not_unreachable():
    """Guards against a hold-up that pauses a peer, or counts it as gone."""

    async def scenario(port):
        for _ in range(TRIES):
            pool = ConnectionPool(HOST, port, 1)
            asyncio.get_running_loop().call_soon(time.sleep, HELD_SECONDS)
            connection = await pool.acquire(LIMIT_SECONDS)
            assert connection is not None
            pool.release(connection)
            pool.close()

    with in_thread(start_answering) as port:
        run(lambda: scenario(port))


def test_a_daemon_says_that_it_was_held_up():
    async def scenario():
        metrics = Metrics("a", "one")
        monitor = asyncio.create_task(LoopLagMonitor(metrics).run())
        await asyncio.sleep(0)
        hold_up_soon(2 * CHECK_SECONDS)
        await asyncio.sleep(3 * CHECK_SECONDS)
        monitor.cancel()
        return metrics.render().decode()

    with recorded_events() as events:
        rendered = asyncio.run(scenario())
    (event,) = [e for e in events if e.get("message_type") == "held-up"]
    assert event["seconds"] >= LOGGED_LAG_SECONDS
    assert 'wheatslip_loop_lag_seconds_bucket{instance="a",le="0.1",zone="one"} 0' in rendered


async def start_parent():
    server = relay.RelayServer(FeedCache(), PeerTls())
    await server.listen(HOST, 0)
    return server.port


def test_a_parent_that_sent_its_heartbeats_is_not_left():
    """Guards against a hold-up that ends good streams."""

    async def scenario(port):
        parent = Instance("p", "papers", "one", HOST, 0, 0, port)
        received = 0
        hold_up_soon(relay.SILENCE_TIMEOUT_SECONDS + 0.2, after=0.6)
        async with aclosing(relay.follow_parent(parent, Cursor("a"), PeerTls())) as updates:
            async for _ in updates:
                received += 1
                if received == 6:
                    return
        raise AssertionError("the parent was left")

    with in_thread(start_parent) as port:
        run(lambda: scenario(port))


def test_a_listed_entry_that_waits_in_the_socket_counts_before_the_grace_ends(run_on_loop):
    """Guards against a hold-up after which servers are dropped whose entry is listed again."""
    seconds = 0.2  # stands for LAPSE_GRACE_SECONDS
    assert membership.PatientTimer is PatientTimer

    async def scenario():
        ours, theirs = socket.socketpair()
        ours.setblocking(False)
        dropped = []
        timer = PatientTimer(seconds, lambda: dropped.append("b"), "missing-entry")

        def on_listed():
            ours.recv(100)
            timer.cancel()

        asyncio.get_running_loop().add_reader(ours, on_listed)
        theirs.send(b"listed")
        time.sleep(2 * seconds)
        await asyncio.sleep(3 * seconds)
        assert dropped == []
        asyncio.get_running_loop().remove_reader(ours)
        ours.close()
        theirs.close()

    run_on_loop(scenario)


def test_a_request_is_not_refused_because_its_entry_was_held_up_while_it_connected(
    monkeypatch,
):
    """Guards against a peer that counts as unreachable, so that 503 is the answer."""

    async def scenario():
        async with fleet("a", "b") as cluster:
            await cluster.send_heartbeat("a", 1)
            assert await cluster.send_heartbeat("a", 2, "draining") == 200
            # Connections to peers open while the loop is held up.
            pick, holds = Chooser.pick, []

            def pick_and_hold(*args):
                holds.append(CONNECT_TIMEOUT_SECONDS + 0.05)
                asyncio.get_running_loop().call_soon(time.sleep, holds[0])
                return pick(*args)

            monkeypatch.setattr(Chooser, "pick", pick_and_hold)
            status, body, headers = await cluster.send_request("a")
            assert holds
            assert (status, body) == (200, b"i-b"), headers.get("wheatslip-outcome")

    run(scenario)


def test_a_request_that_was_held_up_before_it_was_sent_is_reported_as_not_run(
    tmp_path, monkeypatch
):
    """Guards against "may have run" for a request of which nothing was sent in time."""

    async def scenario():
        async with Installation(tmp_path) as installation:
            node = await installation.add("papers-1")
            await installation.release(bundle())
            await installation.ready()
            pick = Chooser.pick

            def hold_and_pick(*args):
                time.sleep(2 * LIMIT_SECONDS)
                return pick(*args)

            monkeypatch.setattr(Chooser, "pick", hold_and_pick)
            request = await installation.caller().send(
                node.entry, "papers", "submit", once=True, deadline_ms=int(LIMIT_SECONDS * 1000)
            )
            assert (request.reported, request.reason) == (Reported.NOT_RUN, "deadline")
            assert not node.backend.runs

    run(scenario)


def test_a_daemon_that_has_stopped_is_freed():
    """Guards against collections of garbage that hold up the loop of a process for longer with
    each daemon that it has run.
    """
    daemons = []

    async def scenario():
        async with fleet("a") as cluster:
            daemons.append(weakref.ref(cluster.daemons["a"]))
            await cluster.send_request("a")

    async def is_freed():
        gc.collect()
        return daemons[0]() is None

    run(scenario)
    run(lambda: eventually(is_freed))


def test_the_thread_of_the_pages_ends_with_the_daemon():
    """Guards against a thread that polls for ever, because its poller was closed meanwhile; it
    keeps the daemon.
    """

    async def scenario():
        before = set(threading.enumerate())
        for _ in range(10):
            async with fleet("a"):
                pass
            left = set(threading.enumerate()) - before
            assert not [thread.name for thread in left if thread.name == "Server"]

    run(scenario)
