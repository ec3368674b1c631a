"""Callers of servers that answer requests and checks of their health more than once.

The server of each play runs requests beside checks on shared connections. Its surplus responses
are sent when the next request or check has arrived on the connection, before its answer.
"""

import asyncio
from dataclasses import dataclass, field
from random import Random
from weakref import WeakKeyDictionary

import pytest
from wheatslipd.http.matching import Match, ResponseMatcher
from wheatslipd.http.messages import ResponseHead, encode_response

from standins.plainbackend import PlainBackend
from test.helper import run
from test.routed_fleet import fleet

REQUESTS = 120
CONCURRENT = 4  # the slots of the server
WORK_SECONDS = 0.01
CHECK_SECONDS = 0.003  # until a check is answered
CHECK_PAUSE_SECONDS = 0.002
SURPLUS_SHARE = 0.3  # of the answers that leave a surplus response
BAD_SHARE = 0.3  # of the checks that say "bad", and of the requests that are rejected
SETTINGS = "checks-per-second = 1000"


@dataclass
class SecondAnswers(PlainBackend):
    """`doubles` names whose answers come twice: of requests, checks or rejections; `strange`
    sends a response without a name in place of the second one.
    """

    doubles: frozenset[str] = frozenset()
    rejects: bool = False
    says_bad: bool = False
    rng: Random = field(default_factory=lambda: Random(62))
    surplus_sent: int = 0
    _surplus: WeakKeyDictionary = field(default_factory=WeakKeyDictionary)

    async def handle(self, exchange):
        late = self._surplus.pop(exchange.connection, None)
        if late is not None:
            self.surplus_sent += 1
            exchange.connection.transport.write(late)
        if exchange.head.target == b"/health":
            await self._answer_check(exchange)
        else:
            await self._answer_request(exchange)

    async def _answer_check(self, exchange):
        await asyncio.sleep(CHECK_SECONDS)
        is_bad = self.says_bad and self.rng.random() < BAD_SHARE
        headers = [(b"instance-id", self.server_id.encode()), (b"load-report", self.load)]
        await self._respond(exchange, "checks", 503 if is_bad else 200, headers, b"")

    async def _answer_request(self, exchange):
        await exchange.body.read_up_to(1 << 20)
        name = exchange.head.get(b"request-id")
        headers = [(b"request-id", name), (b"load-report", self.load)]
        if self.rejects and self.rng.random() < BAD_SHARE:
            headers.append((b"not-executed", b"1"))
            await self._respond(exchange, "rejections", 503, headers, b"")
            return
        self.run_request_ids.append(name.decode())
        await asyncio.sleep(WORK_SECONDS)
        headers.append((b"response-stamp", b"stamp of " + name))
        await self._respond(exchange, "requests", 200, headers, b"body of " + name)

    async def _respond(self, exchange, what, status, headers, body):
        await exchange.respond(ResponseHead(status, list(headers)), body)
        if self.rng.random() >= SURPLUS_SHARE:
            return
        if what in self.doubles:
            self._surplus[exchange.connection] = _encode(status, headers, body)
        elif "strange" in self.doubles:
            self._surplus[exchange.connection] = _encode(200, [], b"nobody asked")


def _encode(status, headers, body):
    head = ResponseHead(status, [*headers, (b"content-length", b"%d" % len(body))])
    return encode_response(head, chunked=False, close=False) + body


@dataclass
class Reply:
    """What a caller got for the request `name`."""

    name: str
    status: int
    body: bytes
    stamp: str | None

    @property
    def is_own(self):
        is_stamped = self.stamp == f"stamp of {self.name}"
        return is_stamped and self.body == b"body of " + self.name.encode()


async def play(backend):
    """Send orders, which must not be repeated, beside checks of the speed; the replies."""

    async with fleet(
        "a", make_backend=lambda name: backend, extra_backend_settings=SETTINGS
    ) as installation:
        await installation.send_heartbeat("a", 1, slots=CONCURRENT)
        side = installation.daemons["a"].server_side
        names = iter(range(REQUESTS))
        replies = []

        async def check():
            while True:
                await side.speed_check.probe(side.gate)
                await asyncio.sleep(CHECK_PAUSE_SECONDS)

        async def send():
            for number in names:
                name = f"order-{number}"
                status, body, headers = await installation.send_request(
                    "a", "/submit/1", "POST", b"order", **{"Request-Id": name}
                )
                replies.append(Reply(name, status, body, headers.get("response-stamp")))

        checks = asyncio.create_task(check())
        await asyncio.gather(*(send() for _ in range(CONCURRENT)))
        checks.cancel()
        assert backend.surplus_sent > REQUESTS / 20, "the fault did not strike"
        return replies


PLAYS = {
    "requests": {"doubles": frozenset({"requests"})},
    "checks": {"doubles": frozenset({"checks"})},
    "requests-and-checks": {"doubles": frozenset({"requests", "checks"})},
    "bad-while-well": {"doubles": frozenset({"requests", "checks"}), "says_bad": True},
    "rejections": {
        "doubles": frozenset({"requests", "rejections", "checks"}),
        "rejects": True,
    },
    "strange": {"doubles": frozenset({"strange"})},
}


@pytest.mark.parametrize("form", PLAYS)
def test_no_caller_gets_an_answer_that_is_not_its_own(form):
    """Guards against second answers that shift which response answers which request."""

    async def scenario():
        backend = SecondAnswers("i-a", **PLAYS[form])
        replies = await play(backend)
        successes = [reply for reply in replies if reply.status == 200]
        assert [reply for reply in successes if not reply.is_own] == []
        refused = {reply.name for reply in replies if reply.status in (408, 421, 429, 503)}
        assert refused & set(backend.run_request_ids) == set()
        assert len(backend.run_request_ids) == len(set(backend.run_request_ids))
        lost = [reply for reply in replies if reply.status not in (200, 503)]
        assert lost == []
        if not backend.rejects:
            assert len(successes) == REQUESTS

    run(scenario)


@dataclass
class WrongNames(PlainBackend):
    """A server whose responses have the name of another request, or none."""

    name: bytes = b"another"

    async def handle(self, exchange):
        if exchange.head.target == b"/health":
            await super().handle(exchange)
            return
        headers = [(b"request-id", self.name)] if self.name else []
        await exchange.respond(ResponseHead(200, headers), b"not yours")


@pytest.mark.parametrize("name", [b"another", b""])
def test_entry_does_not_pass_on_what_an_older_gate_has_confused(monkeypatch, name):
    """Guards against wrong answers during an update, by gates that take any response."""
    monkeypatch.setattr(ResponseMatcher, "match", lambda *_: Match.TAKEN)

    async def scenario():
        make_backend = lambda _: WrongNames("i-a", name=name)  # noqa: E731
        async with fleet("a", "b", make_backend=make_backend) as installation:
            for method, path in (("GET", "/view/1"), ("POST", "/submit/1")):
                status, body, _ = await installation.send_request("a", path, method)
                assert (status, body) == (502, b"")

    run(scenario)
