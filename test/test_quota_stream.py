"""One stream of asks between an entry and an owner, under load and while it fails."""

import asyncio
from contextlib import asynccontextmanager
from math import inf

import pytest
from result import Err, Ok
from wheatslip.distribution.feedcache import FeedCache
from wheatslip.quota.messages import AskRefusal, NumberedAsk, TokenGrant, TokenRequest
from wheatslip.store.instances import Instance
from wheatslipd.feed.relay import RelayServer
from wheatslipd.quota import channels as channels_module
from wheatslipd.quota.answerstream import MAX_OPEN_ASKS, AnswerStream
from wheatslipd.quota.askstream import MAX_UNSENT_ASKS, AskFailure, AskStream
from wheatslipd.quota.channels import ASK_TIMEOUT_SECONDS, OwnerChannels
from wheatslipd.quota.service import QuotaService
from wheatslipd.tls import PeerTls

from standins.cluster import HOST
from standins.link import ThrottledLink
from test.helper import recorded_events, run
from test.quota_fleet import until

LONG_SECONDS = 30.0  # in place of `ASK_TIMEOUT_SECONDS`; only a test that hangs waits for it
ASKS_AT_ONCE = 500


class OwnerStandIn(QuotaService):
    """Grants what is asked for; some workspaces have to wait, raise or are refused."""

    def __init__(self):
        self.asked = []
        self.waits = {}  # events before which asks of a workspace are not answered
        self.raising = set()
        self.refused = set()

    async def answer(self, request):
        self.asked.append(request)
        if request.workspace in self.raising:
            raise RuntimeError("granter of " + request.workspace)
        if request.workspace in self.refused:
            return Err(AskRefusal.OTHER_DAEMON)
        if request.workspace in self.waits:
            await self.waits[request.workspace].wait()
        return Ok(TokenGrant(request.tokens))


def request_for(workspace, tokens=1):
    return TokenRequest("entry", workspace, tokens, 1, 10.0, 5.0)


def listed(port):
    return {"owner": Instance("owner", "p", "one", HOST, 1, 2, port)}


class World:
    """An entry's channels, a link, and an owner behind it."""

    def __init__(self, owner, link, channels):
        self.owner = owner
        self.link = link
        self.channels = channels

    async def ask(self, workspace="alpha", tokens=1):
        return await self.channels.ask("owner", request_for(workspace, tokens))

    def begin_ask(self, workspace="alpha", tokens=1):
        return asyncio.create_task(self.ask(workspace, tokens))

    @property
    def stream(self):
        return self.channels._channels["owner"].stream


@asynccontextmanager
async def owner_and_entry():
    owner = OwnerStandIn()
    server = RelayServer(FeedCache(), PeerTls(), services=[owner])
    await server.listen(HOST, 0)
    link = ThrottledLink(HOST, server.port, inf)
    await link.open()
    channels = OwnerChannels(PeerTls())
    channels.set_instances(listed(link.port))
    try:
        yield World(owner, link, channels)
    finally:
        channels.close()
        await link.close()
        await server.stop()


@asynccontextmanager
async def raw_owner(serve):
    """An entry's channels to a server that speaks no gRPC, with a handler of connections."""
    writers = []

    async def serve_and_keep(reader, writer):
        writers.append(writer)
        await serve(reader, writer)

    server = await asyncio.start_server(serve_and_keep, HOST, 0)
    channels = OwnerChannels(PeerTls())
    channels.set_instances(listed(server.sockets[0].getsockname()[1]))
    try:
        yield channels, writers
    finally:
        channels.close()
        server.close()
        for writer in writers:
            writer.transport.abort()


@pytest.fixture
def no_time_out(monkeypatch):
    monkeypatch.setattr(channels_module, "ASK_TIMEOUT_SECONDS", LONG_SECONDS)


def test_many_asks_at_once_get_their_own_answers_on_one_stream(no_time_out):
    """Guards against answers of other asks, and against a connection for each ask."""

    async def scenario():
        async with owner_and_entry() as world:
            counts = range(1, ASKS_AT_ONCE + 1)
            asks = [world.begin_ask(f"workspace-{n}", n) for n in counts]
            assert await asyncio.gather(*asks) == [Ok(TokenGrant(n)) for n in counts]
            stream = world.stream
            await world.ask()
            assert world.stream is stream
            assert not stream._open_asks

    run(scenario)


def test_a_slow_answer_does_not_hold_up_quick_ones(no_time_out):
    """Guards against asks that wait for a takeover of another workspace."""

    async def scenario():
        async with owner_and_entry() as world:
            world.owner.waits["slow"] = asyncio.Event()
            slow = world.begin_ask("slow", 7)
            await until(lambda: world.owner.asked)
            for tokens in range(1, 20):
                assert await world.ask("quick", tokens) == Ok(TokenGrant(tokens))
            assert not slow.done()
            world.owner.waits["slow"].set()
            assert await slow == Ok(TokenGrant(7))

    run(scenario)


def test_an_ask_without_an_answer_does_not_end_the_stream_of_others(monkeypatch):
    """Guards against a granter that raises for one workspace and thereby ends the daemon or
    the asks of all others.
    """
    monkeypatch.setattr(channels_module, "ASK_TIMEOUT_SECONDS", 1.0)

    async def scenario():
        with recorded_events() as events:
            async with owner_and_entry() as world:
                world.owner.raising.add("broken")
                world.owner.waits["slow"] = asyncio.Event()
                broken = world.begin_ask("broken")
                await until(lambda: world.owner.asked)
                stream = world.stream
                await asyncio.sleep(0.5)
                slow = world.begin_ask("slow")  # open when the other one times out
                while not broken.done():
                    assert (await world.ask("quick")).is_ok()
                    await asyncio.sleep(0.01)
                assert await broken == Err(AskFailure.SILENT)
                world.owner.waits["slow"].set()
                assert (await slow).is_ok()
                assert world.stream is stream
                assert (await world.ask("quick")).is_ok()
        failed = [e for e in events if e.get("message_type") == "quota-ask-failed"]
        assert [(e["workspace"], e["sender"]) for e in failed] == [("broken", "entry")]
        assert "granter of broken" in failed[0]["error"]
        assert "in answer" in failed[0]["trace"]

    run(scenario)


def test_a_refusal_is_that_of_one_ask(no_time_out):
    """Guards against a daemon with the owner's address that passes for it, and against asks
    that fail with the refusal of another one.
    """

    async def scenario():
        async with owner_and_entry() as world:
            world.owner.refused.add("alpha")
            assert await world.ask("alpha") == Err(AskFailure.REFUSED)
            assert not world.channels.open_channels
            assert (await world.ask("beta")).is_ok()

    run(scenario)


def test_open_asks_to_an_owner_that_ends_are_refused(no_time_out):
    """Guards against a killed owner that counts as frozen, so that nobody takes over, and
    against asks that wait for their time-out.
    """

    async def scenario():
        async with owner_and_entry() as world:
            world.owner.waits["alpha"] = asyncio.Event()
            asks = [world.begin_ask() for _ in range(ASKS_AT_ONCE)]
            await until(lambda: len(world.owner.asked) == ASKS_AT_ONCE)
            await world.link.close()
            async with asyncio.timeout(0.5 * LONG_SECONDS):  # not after the asks' time-out
                assert set(await asyncio.gather(*asks)) == {Err(AskFailure.REFUSED)}
            assert not world.channels.open_channels

    run(scenario)


def test_a_frozen_owner_costs_each_ask_one_time_out_and_is_asked_again():
    """Guards against asks that wait for a frozen owner, and a stream that stays dead."""

    async def scenario():
        async with owner_and_entry() as world:
            await until_answered(world)
            world.link.block()
            loop = asyncio.get_running_loop()
            started_at = loop.time()
            asks = [world.begin_ask(f"workspace-{n}") for n in range(ASKS_AT_ONCE)]
            assert set(await asyncio.gather(*asks)) == {Err(AskFailure.SILENT)}
            assert loop.time() - started_at >= ASK_TIMEOUT_SECONDS
            assert not world.channels.open_channels
            world.link.unblock()
            await until_answered(world)

    run(scenario)


async def until_answered(world):
    """Ask until an answer comes, as a busy machine may need more than one time-out."""
    async with asyncio.timeout(LONG_SECONDS):
        while (await world.ask()).is_err():
            pass


@pytest.mark.parametrize("direction", ["to the owner", "from the owner"])
def test_a_stream_that_is_cut_one_way_is_left_at_the_first_time_out(direction, monkeypatch):
    """Guards against asks that go on over a connection on which nothing arrives any more."""
    monkeypatch.setattr(channels_module, "ASK_TIMEOUT_SECONDS", 0.5)

    async def scenario():
        async with owner_and_entry() as world:
            await until_answered(world)
            if direction == "to the owner":
                world.link.drops_to_target = True
            else:
                world.link.bytes_per_second = 0.001
            asked = len(world.owner.asked)
            assert await world.ask() == Err(AskFailure.SILENT)
            assert not world.channels.open_channels
            reached = len(world.owner.asked) - asked
            assert reached == (0 if direction == "to the owner" else 1)
            world.link.drops_to_target = False
            if direction == "from the owner":
                # A chunk holds the link for hours by then; the next connection is a new link's.
                await replace_link(world)
            await until_answered(world)

    run(scenario)


async def replace_link(world):
    await world.link.close()
    world.link = ThrottledLink(HOST, world.link.target, inf)
    await world.link.open()
    world.channels.set_instances(listed(world.link.port))


def test_an_ask_whose_stream_broke_is_tried_once_on_a_new_connection(no_time_out):
    """Guards against an owner that counts as silent because an idle connection was cut, and
    against tries without end.
    """

    async def scenario():
        async with owner_and_entry() as world:
            assert (await world.ask()).is_ok()
            world.owner.waits["alpha"] = asyncio.Event()
            ask = world.begin_ask()
            await until(lambda: len(world.owner.asked) == 2)
            for task in list(world.link._tasks):
                task.cancel()  # cuts the connection; the link still listens
            await until(lambda: len(world.owner.asked) == 3)
            world.owner.waits["alpha"].set()
            assert (await ask).is_ok()

        async def cut(reader, writer):
            writer.transport.abort()

        async with raw_owner(cut) as (channels, writers):
            results = [await channels.ask("owner", request_for("alpha")) for _ in range(2)]
            assert results == [Err(AskFailure.SILENT)] * 2
            assert len(writers) <= 4

    run(scenario)


def test_asks_to_an_owner_that_stops_reading_are_bounded(no_time_out):
    """Guards against memory that grows with the asks to an owner that does not read."""

    async def scenario():
        async def read_nothing(reader, writer):
            await asyncio.Event().wait()

        async with raw_owner(read_nothing) as (channels, _):
            loop = asyncio.get_running_loop()
            first = asyncio.create_task(channels.ask("owner", request_for("first")))
            await asyncio.sleep(0)
            stream = channels._channels["owner"].stream
            asks = []
            for _ in range(20):  # more than the connection's first window takes
                asks += [
                    asyncio.create_task(channels.ask("owner", request_for("alpha")))
                    for _ in range(MAX_UNSENT_ASKS // 4)
                ]
                await asyncio.sleep(0.01)
                assert stream._unsent.qsize() <= MAX_UNSENT_ASKS
            assert stream._unsent.qsize() == MAX_UNSENT_ASKS
            started_at = loop.time()
            assert await channels.ask("owner", request_for("alpha")) == Err(AskFailure.SILENT)
            assert loop.time() - started_at < 0.5 * LONG_SECONDS
            channels.close()
            assert set(await asyncio.gather(first, *asks)) == {Err(AskFailure.SILENT)}
            assert not channels.open_channels
            assert not stream._open_asks

    run(scenario)


class StreamStandIn:
    """The owner's end of a stream whose entry sends asks and reads no answer until it may."""

    def __init__(self):
        self.may_send = asyncio.Event()
        self.sent = []
        self.sends = 0  # asks that were read

    def __aiter__(self):
        return self

    async def __anext__(self):
        self.sends += 1
        await asyncio.sleep(0)
        return NumberedAsk(self.sends, request_for("alpha"))

    async def send_message(self, answer):
        await self.may_send.wait()
        self.sent.append(answer.number)


def test_an_entry_that_reads_no_answers_is_not_read_any_further():
    """Guards against memory that grows with the asks of an entry that does not read."""

    async def scenario():
        stream, answered = StreamStandIn(), []

        async def answer(request):
            answered.append(request)
            return Ok(TokenGrant(1))

        serving = asyncio.create_task(AnswerStream(stream, answer).run())
        for _ in range(3 * MAX_OPEN_ASKS):
            await asyncio.sleep(0)
        assert len(answered) == MAX_OPEN_ASKS
        assert stream.sends == MAX_OPEN_ASKS + 1
        stream.may_send.set()
        await until(lambda: len(stream.sent) > 2 * MAX_OPEN_ASKS)
        assert stream.sent == sorted(stream.sent)
        serving.cancel()
        await asyncio.gather(serving, return_exceptions=True)

    run(scenario)


def test_answers_that_raise_give_their_places_back():
    """Guards against a stream that stops after as many exceptions as it has places."""

    async def scenario():
        stream, asked = StreamStandIn(), []

        async def answer(request):
            asked.append(request)
            raise RuntimeError("always")

        serving = asyncio.create_task(AnswerStream(stream, answer).run())
        await until(lambda: len(asked) > 2 * MAX_OPEN_ASKS)
        serving.cancel()
        await asyncio.gather(serving, return_exceptions=True)

    run(scenario)


def test_an_ask_that_was_given_up_is_not_sent(no_time_out):
    """Guards against tokens that are granted to nobody after a slow connection."""

    async def scenario():
        async with owner_and_entry() as world:
            leaving = world.begin_ask("leaving")
            staying = world.begin_ask("staying")
            await asyncio.sleep(0)
            leaving.cancel()
            assert (await staying).is_ok()
            assert [request.workspace for request in world.owner.asked] == ["staying"]

    run(scenario)


def test_the_stream_to_a_daemon_that_is_no_longer_listed_is_closed(no_time_out):
    """Guards against asks that wait for a removed daemon, or open a new stream to it."""

    async def scenario():
        async with owner_and_entry() as world:
            world.owner.waits["alpha"] = asyncio.Event()
            ask = world.begin_ask()
            await until(lambda: world.owner.asked)
            world.channels.set_instances({})
            async with asyncio.timeout(0.5 * LONG_SECONDS):  # not after the ask's time-out
                assert await ask == Err(AskFailure.SILENT)
            assert not world.channels.open_channels
            await until(lambda: not world.link._tasks)  # the connection is closed

    run(scenario)


def test_a_stream_ends_by_itself_when_its_connection_breaks():
    """Guards against an idle broken stream that counts as open and fails the next ask."""

    async def scenario():
        async with owner_and_entry() as world:
            await until_answered(world)
            for task in list(world.link._tasks):
                task.cancel()
            await until(lambda: not world.channels.open_channels)
            await until_answered(world)

    run(scenario)


def test_a_stream_that_was_answered_is_not_taken_for_an_older_version(no_time_out):
    """Guards against an owner that is left out for long because its end of a stream failed."""

    async def scenario():
        async with owner_and_entry() as world:
            stream = AskStream(listed(world.link.port)["owner"], PeerTls())
            assert (await stream.ask(request_for("alpha"))).is_ok()
            ask = asyncio.create_task(stream.ask(request_for("alpha", tokens="no number")))
            assert await ask == Err(AskFailure.SILENT)
            assert stream.has_ended

    run(scenario)
