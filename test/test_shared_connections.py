"""What a backend server sends besides its answers never answers another request.

A connection is shared by requests and checks of the health, one after the other. The server of
these tests answers each, and sends more bytes after its first answer or before its second.
"""

import asyncio
from dataclasses import dataclass, field

import pytest
from wheatslip.outcome import Unknown
from wheatslipd.gate.backend import Backend, BackendAnswer
from wheatslipd.http.body import Body
from wheatslipd.http.matching import (
    CHECK,
    MAX_NAMES,
    Kind,
    Match,
    Naming,
    Question,
    ResponseMatcher,
    ignore_unmatched,
)
from wheatslipd.http.messages import RequestHead

from test.helper import run

HOST = "127.0.0.1"
HEADER = b"request-id"
ANSWER_SECONDS = 0.02
WAIT_SECONDS = 0.5  # after it a request counts as lost
CERTAIN = Naming(HEADER, is_certain=True)
FIRST, SECOND = Question(Kind.REQUEST, b"1"), Question(Kind.REQUEST, b"2")


def response(answers, name=b"", status=200, body=b"body", length=None, headers=()):
    """A response to the request of the path `answers`."""
    lines = [b"HTTP/1.1 %d Phrase" % status, b"answers: " + answers]
    lines += [HEADER + b": " + name] if name else []
    lines += [*headers, b"content-length: %d" % (len(body) if length is None else length)]
    return b"\r\n".join(lines) + b"\r\n\r\n" + body


@dataclass
class Server:
    """Answers requests by their path and name; `after` and `late` are its surplus bytes.

    `after` follows the first answer of a connection, in the same write. `late` is sent when the
    second request of a connection has arrived, before its answer.
    """

    after: bytes = b""
    late: bytes = b""
    first_status: int = 200
    repeats_names: bool = True
    connections: int = 0
    requests: list[bytes] = field(default_factory=list)

    async def serve(self, reader, writer):
        self.connections += 1
        count = 0
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                count += 1
                await self._answer(head, count, writer)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    async def _answer(self, head, count, writer):
        method, path = head.split(b" ")[:2]
        self.requests.append(path)
        name = head.split(HEADER + b": ")[1].split(b"\r\n")[0] if HEADER in head else b""
        if count == 2:
            writer.write(self.late)
        await asyncio.sleep(ANSWER_SECONDS)
        status = self.first_status if count == 1 else 200
        length = 4 if method == b"HEAD" else None
        body = b"" if method == b"HEAD" else b"body"
        own = response(path, name if self.repeats_names else b"", status, body, length)
        writer.write(own + self.after if count == 1 else own)


class Connected:
    """A server and the backend that sends to it, with what its connections reported."""

    def __init__(self, server, naming):
        self.server = server
        self.naming = naming
        self.unmatched = []

    async def __aenter__(self):
        self._socket = await asyncio.start_server(self.server.serve, HOST, 0)
        port = self._socket.sockets[0].getsockname()[1]
        self.backend = Backend(HOST, port, 4, 1.0, self.naming, self.unmatched.append)
        return self

    async def __aexit__(self, *_):
        self.backend.close()
        self._socket.close()

    async def ask(self, question, path, method=b"GET"):
        """Send one request. Its status and the path that was answered; None if it was lost."""
        body = Body(lambda: None, lambda: None)
        body.finish()
        headers = [(HEADER, question.name)] if question.name else []
        head = RequestHead(method, path, headers)
        try:
            async with asyncio.timeout(WAIT_SECONDS):
                answer = await self.backend.send(head, body, question)
        except TimeoutError:
            return None
        if not isinstance(answer, BackendAnswer):
            assert isinstance(answer, Unknown)
            return None
        head = answer.response.head
        try:
            assert await answer.response.body.read_up_to(100) in (b"body", b"")
        finally:
            self.backend.release(answer)
        return head.status, head.get(b"answers")


def play(server, first, second, naming=CERTAIN, first_method=b"GET"):
    """Ask twice in a row; what the second got, and the connections' reports."""

    seen = []

    async def scenario():
        async with Connected(server, naming) as connected:
            await connected.ask(first, b"/first", first_method)
            got = await connected.ask(second, b"/second")
            seen.extend([got, connected.unmatched])

    run(scenario)
    return seen


FIRST_NAMES = {"request": b"1", "check": b""}
QUESTIONS = {"request": FIRST, "check": CHECK}
REJECTED = (b"not-executed: 1",)
WHOLE = {
    "with-its-name": lambda name: response(b"/first", name),
    "with-another-name": lambda name: response(b"/first", b"9"),
    "without-a-name": lambda name: response(b"/first"),
    "rejection": lambda name: response(b"/first", name, 503, headers=REJECTED),
    "rejection-without-a-name": lambda name: response(b"/first", status=503, headers=REJECTED),
    "unhealthy": lambda name: response(b"/health", status=503),
    "interim": lambda name: b"HTTP/1.1 100 Continue\r\n\r\n",
    "early-hints-with-its-name": lambda name: b"HTTP/1.1 103 -\r\nrequest-id: 1\r\n\r\n",
}
BROKEN = {
    "cut-short": lambda name: response(b"/first", name)[:-2],
    "no-answer": lambda name: b"no answer at all\r\n\r\n",
    "switching-protocols": lambda name: b"HTTP/1.1 101 -\r\nupgrade: a\r\n\r\n",
}


@pytest.mark.parametrize("first", ["request", "check"])
@pytest.mark.parametrize("form", WHOLE)
def test_whole_surplus_response_in_the_place_of_a_requests_answer_is_skipped(first, form):
    """Guards against a second answer, also of a health check, taken for a request's answer."""
    server = Server(late=WHOLE[form](FIRST_NAMES[first]))
    got, _ = play(server, QUESTIONS[first], SECOND)
    assert got == (200, b"/second")
    assert server.requests == [b"/first", b"/second"]
    assert server.connections == 1


@pytest.mark.parametrize("first", ["request", "check"])
@pytest.mark.parametrize("form", BROKEN)
def test_broken_surplus_response_never_answers_a_request(first, form):
    """Guards against parts of a second answer taken for a request's answer."""
    got, _ = play(Server(late=BROKEN[form](FIRST_NAMES[first])), QUESTIONS[first], SECOND)
    assert got in ((200, b"/second"), None)


@pytest.mark.parametrize("status", [200, 503])
def test_surplus_response_that_is_cut_anywhere_never_answers_a_request(status):
    """Guards against the first half of one response and the second half of another."""
    headers = REJECTED if status == 503 else ()
    surplus = response(b"/first", b"1", status, headers=headers)

    async def got_after(late):
        async with Connected(Server(late=late), CERTAIN) as connected:
            await connected.ask(FIRST, b"/first")
            return await connected.ask(SECOND, b"/second")

    async def scenario():
        cuts = [got_after(surplus[:end]) for end in range(1, len(surplus))]
        assert set(await asyncio.gather(*cuts)) <= {(200, b"/second"), None}

    run(scenario)


@pytest.mark.parametrize("at", [5, 20, 40, 60])
@pytest.mark.parametrize("name", [b"1", b""])
def test_surplus_response_that_begins_before_the_next_request_never_answers_it(name, at):
    """Guards against a response whose first part came with the answer before."""
    surplus = response(b"/first", name)
    assert at < len(surplus)
    server = Server(after=surplus[:at], late=surplus[at:])
    got, unmatched = play(server, FIRST, SECOND)
    assert got == (200, b"/second")
    assert server.connections == 2
    assert [seen.question for seen in unmatched] == [None, None]  # one on each connection


@pytest.mark.parametrize("second", [SECOND, CHECK])
@pytest.mark.parametrize("form", [*WHOLE, *BROKEN])
def test_bytes_that_come_with_an_answer_end_its_connection(form, second):
    """Guards against a connection that is used on after bytes that nothing asked for."""
    server = Server(after=(WHOLE | BROKEN)[form](b"1"))
    got, _ = play(server, FIRST, second)
    assert got == (200, b"/second")
    assert server.connections == 2


@pytest.mark.parametrize("form", ["with-its-name", "rejection"])
def test_second_answer_to_a_request_never_answers_a_check(form):
    """Guards against the start of the chain: a check that ends before its answer has come."""
    server = Server(late=WHOLE[form](b"1"))
    got, unmatched = play(server, FIRST, CHECK)
    assert got == (200, b"/second")
    assert [(seen.question, seen.match, seen.name) for seen in unmatched] == [
        (CHECK, Match.SKIPPED, b"1")
    ]


@pytest.mark.parametrize("naming", [CERTAIN, Naming(HEADER)])
@pytest.mark.parametrize("form", ["with-its-name", "rejection"])
def test_request_that_is_sent_again_is_not_answered_by_its_first_send(form, naming):
    """Guards against a second rejection of the first send, taken for one of the second."""
    server = Server(first_status=503, late=WHOLE[form](b"1"))
    got, _ = play(server, FIRST, FIRST, naming)
    assert got[1] == b"/second"
    assert server.connections == 2


def test_request_without_a_name_shares_no_connection():
    """Guards against a health check's second answer, taken for a request without a name."""

    async def scenario():
        server = Server(late=response(b"/first", status=503))
        async with Connected(server, CERTAIN) as connected:
            await connected.ask(CHECK, b"/first")
            unnamed = Question(Kind.REQUEST)
            assert await connected.ask(unnamed, b"/second") == (200, b"/second")
            assert await connected.ask(unnamed, b"/third") == (200, b"/third")
            assert server.connections == 3

    run(scenario)


@pytest.mark.parametrize("naming", [CERTAIN, Naming(HEADER)])
def test_response_with_two_names_answers_no_request(naming):
    """Guards against a response that has the name of the waiting request besides another."""
    late = response(b"/first", b"1", headers=(HEADER + b": 2",))
    assert play(Server(late=late), FIRST, SECOND, naming)[0] == (200, b"/second")


def test_surplus_response_after_head_never_answers_the_next_request():
    """Guards against a body that the answer to HEAD announces, and the server sends late."""
    for late in (b"body", response(b"/first", b"1")):
        got, _ = play(Server(late=late), FIRST, SECOND, first_method=b"HEAD")
        assert got == (200, b"/second")


@pytest.mark.parametrize("first", ["request", "check"])
@pytest.mark.parametrize("form", ["with-its-name", "without-a-name", "unhealthy"])
def test_server_that_may_not_repeat_names_gives_no_wrong_answer(first, form):
    """Guards against trust in the order where the setting does not promise names."""
    server = Server(late=WHOLE[form](FIRST_NAMES[first]))
    got, _ = play(server, QUESTIONS[first], SECOND, Naming(HEADER))
    assert got in ((200, b"/second"), None)


def test_server_that_repeats_no_names_is_used():
    """Guards against requests that wait for a name that never comes."""

    async def scenario():
        server = Server(repeats_names=False)
        async with Connected(server, Naming(HEADER)) as connected:
            for number in range(3):
                path = b"/%d" % number
                await connected.ask(CHECK, b"/health")
                named = Question(Kind.REQUEST, b"%d" % number)
                assert await connected.ask(named, path) == (200, path)

    run(scenario)


def test_check_and_request_share_no_connection_without_names():
    """Guards against a health check's second answer where requests have no names at all."""
    server = Server(late=response(b"/first", status=503))
    got, _ = play(server, CHECK, Question(Kind.REQUEST), Naming())
    assert got == (200, b"/second")
    assert server.connections == 2


def test_server_that_names_checks_by_itself_is_checked():
    """Guards against checks that fail because a server gives each request a name."""
    got, unmatched = play(Server(late=response(b"/second", b"made-up")), FIRST, CHECK)
    assert got == (200, b"/second")
    assert unmatched == []


def test_requests_and_checks_share_one_connection_to_a_sound_server():
    """Guards against a price in connections where nothing goes wrong."""

    async def scenario():
        server = Server()
        async with Connected(server, CERTAIN) as connected:
            for number in range(1, 6):
                path = b"/%d" % number
                assert await connected.ask(CHECK, b"/health") == (200, b"/health")
                named = Question(Kind.REQUEST, b"%d" % number)
                assert await connected.ask(named, path) == (200, path)
        assert server.connections == 1
        assert not connected.unmatched

    run(scenario)


def test_the_names_of_a_connection_need_bounded_memory():
    """Guards against a connection that remembers names for as long as it lives."""
    named, unnamed = (
        ResponseMatcher(naming, ignore_unmatched) for naming in (CERTAIN, Naming())
    )
    for number in range(MAX_NAMES):
        assert not named.is_spent
        for matcher in (named, unnamed):
            matcher.begin(Question(Kind.REQUEST, b"%d" % number))
    assert named.is_spent
    assert not unnamed.is_spent  # without names nothing is remembered
