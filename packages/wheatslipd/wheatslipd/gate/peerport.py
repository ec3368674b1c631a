"""The peer port: the only way to the local backend server.

It takes requests that entries forward, checks them as outside input, and passes each through
the key guard and the gate to the backend server. Every answer carries the gate's load report.
"""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from wheatslip.admission import Ticket
from wheatslip.attempts import SERVER_ERROR
from wheatslip.backendload import decode_backend_load
from wheatslip.call import ANY_WAIT, Call, CallClass, RequestKind
from wheatslip.exposure import Run
from wheatslip.fingerprint import BODY_BYTES
from wheatslip.hop import (
    FINGERPRINT_HEADER,
    HOP_HEADER,
    LOAD_HEADER,
    OUTCOME_HEADER,
    SUSPECT_HEADER,
    Hop,
    decode_hop,
    encode,
)
from wheatslip.ledger import Claim, KeptAnswer, KeyState, key_time
from wheatslip.outcome import Answered, NotRun, Outcome, Reason, Unknown
from wheatslip.retryafter import TURNED_AWAY

from wheatslipd.controllers.view import View
from wheatslipd.entry.answers import send_refusal
from wheatslipd.gate.backend import Backend, BackendAnswer
from wheatslipd.gate.backendhead import backend_head, named_headers, wheatslip_headers
from wheatslipd.gate.gate import Gate
from wheatslipd.gate.keyguard import KeyGuard
from wheatslipd.gate.serverend import ServerEnds
from wheatslipd.gate.suspects import SuspectGuard
from wheatslipd.http.body import BodyTruncated
from wheatslipd.http.exchange import Exchange
from wheatslipd.http.identity import fingerprint_of
from wheatslipd.http.messages import Headers, RequestHead, ResponseHead
from wheatslipd.settings import HeaderNames
from wheatslipd.telemetry.metrics import Metrics
from wheatslipd.telemetry.outcometext import describe
from wheatslipd.telemetry.tracing import TRACEPARENT, HopTrace, HopTracer

# Seconds that a request waits for a configuration which its entry has already and this daemon
# has not: shorter refuses requests while a change travels, longer only delays their next try.
CATCH_UP_SECONDS = 0.5
CATCH_UP_STEP = 0.02  # seconds between two looks at the version
# Bytes of a body that are waited for before a request takes a slot: less lets slow bodies hold
# slots, more holds memory for each request. As much as an entry sends ahead.
BODY_HOLD = 64 * 1024
MISDIRECTED = 421  # HTTP status by which a server says that the request is for another one


@dataclass(slots=True, eq=False)
class _Passage:
    """One forwarded request on its way through the peer port."""

    exchange: Exchange
    hop: Hop
    call: Call
    trace: HopTrace
    fingerprint: str

    def run(self) -> Run:
        """The request as one that its backend server begins to run."""
        return Run(self.fingerprint, self.call.service, self.call.kind.name)


@dataclass(frozen=True, slots=True)
class BackendWay:
    """What a request passes to the backend server, in this order."""

    keys: KeyGuard
    suspects: SuspectGuard
    gate: Gate
    backend: Backend
    ends: ServerEnds


@dataclass(frozen=True, slots=True)
class PeerTerms:
    """What entries and the backend server go by. `pool` is that of the backend server; with
    `by_routes` entries decide by their routes, and the server knows no headers of wheatslip.
    """

    pool: str
    names: HeaderNames
    by_routes: bool


class PeerPort:
    """Handles forwarded requests."""

    def __init__(
        self,
        view: View,
        way: BackendWay,
        terms: PeerTerms,
        metrics: Metrics,
        tracer: HopTracer,
        clock: Callable[[], float],
        on_newer_version: Callable[[int, str], None],
    ):
        """`on_newer_version` takes a bundle version that an entry has and this daemon has not
        yet, and the address of that entry.
        """
        self._view = view
        self._keys = way.keys
        self._suspects = way.suspects
        self._gate = way.gate
        self._backend = way.backend
        self._ends = way.ends
        self._terms = terms
        self._names = terms.names
        self._metrics = metrics
        self._tracer = tracer
        self._clock = clock
        self._on_newer_version = on_newer_version
        self.server = ""  # the backend server's id; empty: it has none

    async def handle(self, exchange: Exchange) -> None:
        """Answer one forwarded request."""
        trace = self._tracer.hop(
            "admission", exchange.head.get(TRACEPARENT), may_start_trace=False
        )
        outcome: Outcome = Unknown(Reason.CANCELLED)
        try:
            outcome = await self._pass(exchange, trace)
            if not isinstance(outcome, Answered) and not exchange.started:
                await send_refusal(exchange, outcome, self._load_header())
        finally:
            self._metrics.admissions.inc({"outcome": describe(outcome)})
            trace.set("wheatslip.outcome", describe(outcome))
            trace.end()

    async def _pass(self, exchange: Exchange, trace: HopTrace) -> Outcome:
        hop = decode_hop(exchange.head.get(HOP_HEADER) or b"")
        if hop is None or (hop.key and key_time(hop.key) is None):
            return NotRun(Reason.BAD_REQUEST)
        request_id = exchange.head.get(self._names.request_id) or b""
        call = _call_of(hop, self._clock(), request_id.decode("latin-1"))
        if not exchange.expects_continue:
            try:
                # The body is waited for before the request takes a slot.
                await exchange.body.buffer_up_to(BODY_HOLD)
            except BodyTruncated:
                return Unknown(Reason.CANCELLED)
        passage = _Passage(exchange, hop, call, trace, _fingerprint(exchange, hop))
        refusal = await self._check_entry(hop, exchange)
        if refusal is not None:
            return refusal
        if call.runs_once_by_key:
            return await self._run_keyed(passage)
        return await self._run(passage, None)

    async def _check_entry(self, hop: Hop, exchange: Exchange) -> NotRun | None:
        """A refusal if the entry decided by a list or configuration that is out of date."""
        if not self._terms.by_routes:
            return await self._check_version(hop.version, exchange)
        # The entry decided by its routes, so the version here does not matter. But a daemon of
        # another pool may have taken over this address since the entry read the list.
        if hop.service != self._terms.pool:
            return NotRun(Reason.WRONG_POOL)
        if hop.version > self._view.version:
            self._on_newer_version(hop.version, exchange.connection.peer_address)
        return None

    async def _check_version(self, version: int, exchange: Exchange) -> NotRun | None:
        """Catch up with the entry's bundle version before answering."""
        if self._view.version >= version and self._view.configuration is not None:
            return None
        self._on_newer_version(version, exchange.connection.peer_address)
        give_up = self._clock() + CATCH_UP_SECONDS
        while self._clock() < give_up:
            await asyncio.sleep(CATCH_UP_STEP)
            if self._view.version >= version:
                return None
        if self._view.configuration is None:
            return NotRun(Reason.NO_CONFIGURATION)
        return NotRun(Reason.VERSION_BEHIND)

    async def _run_keyed(self, passage: _Passage) -> Outcome:
        call = passage.call
        claim = self._keys.claim(call)
        if not isinstance(claim, Claim):
            return claim
        if claim.state is KeyState.DONE:
            return await self._answer_again(passage.exchange, claim.answer)
        kept = KeptAnswer()
        outcome: Outcome = Unknown(Reason.CANCELLED)
        try:
            outcome = await self._run(passage, kept)
        finally:
            self._keys.settle(call, outcome, kept)
        return outcome

    async def _answer_again(self, exchange: Exchange, kept: KeptAnswer | None) -> Outcome:
        if kept is None:
            return Unknown(Reason.DUPLICATE)
        headers = [h for h in kept.headers if h[0] != b"content-length"]
        headers += [(OUTCOME_HEADER, b"answered"), *self._load_header()]
        await exchange.respond(ResponseHead(kept.status, headers), kept.body)
        return Answered(kept.status)

    async def _run(self, passage: _Passage, kept: KeptAnswer | None) -> Outcome:
        bound = passage.hop.max_wait
        max_wait = ANY_WAIT if bound is None else bound
        was_suspected = passage.exchange.head.get(SUSPECT_HEADER) is not None
        async with self._suspects.passing(
            passage.call, passage.fingerprint, max_wait, was_suspected=was_suspected
        ) as refusal:
            if refusal is not None:
                return refusal
            ticket = await self._gate.enter(passage.call, max_wait)
            if isinstance(ticket, NotRun):
                return ticket
            return await self._run_started(passage, ticket, kept)

    async def _run_started(
        self, passage: _Passage, ticket: Ticket, kept: KeptAnswer | None
    ) -> Outcome:
        worked = False
        run = passage.run()
        try:
            remaining = passage.call.remaining(self._clock())
            async with asyncio.timeout(max(0.0, remaining)):
                await passage.exchange.send_continue()
                answer = await self._send(passage, remaining, run)
            if not isinstance(answer, BackendAnswer):
                self._gate.on_lost()
                return await self._after_loss(run, answer)
            self._gate.on_answer()
            worked = True
            try:
                outcome = await self._answer(passage, answer, kept)
            finally:
                self._backend.release(answer)
            return await self._after_answer(run, outcome)
        except TimeoutError:
            return Unknown(Reason.DEADLINE)
        finally:
            self._ends.exposure.left(run, self._clock())
            self._gate.leave(ticket, worked=worked)

    async def _after_loss(self, run: Run, outcome: NotRun | Unknown) -> NotRun | Unknown:
        """No answer came: find out whether the server has ended."""
        if isinstance(outcome, NotRun):
            self._ends.exposure.not_run(run)
            self._ends.begin_check()
            return outcome
        self._ends.exposure.broken(run, self._clock())
        has_ended = await self._ends.check()
        return Unknown(Reason.SERVER_ENDED) if has_ended else outcome

    async def _after_answer(self, run: Run, outcome: Outcome) -> Outcome:
        """An answer began; it counts as one when it came whole."""
        match outcome:
            case Answered(status) if status >= SERVER_ERROR:
                # It may have given up on what will end it.
                self._ends.exposure.left(run, self._clock())
            case Answered():
                self._ends.exposure.answered(run, self._clock())
                self._suspects.answered(run.fingerprint)
            case NotRun():
                self._ends.exposure.not_run(run)
            case Unknown():
                await self._after_loss(run, outcome)
        return outcome

    def _send(
        self, passage: _Passage, remaining: float, run: Run
    ) -> Awaitable[BackendAnswer | NotRun | Unknown]:
        """Send the request to the backend server; `remaining` seconds are left for it."""
        call = passage.call
        echo = self._names.request_id
        request_id = call.request_id.encode("latin-1")
        return self._backend.send(
            self._backend_head(passage),
            passage.exchange.body,
            (echo, request_id) if echo and request_id else None,
            # The same key sent again meanwhile is refused as running, so the connection may
            # take all the time that is left.
            remaining if call.runs_once_by_key else 0.0,
            lambda: self._ends.exposure.begin(run),
        )

    async def _answer(
        self, passage: _Passage, answer: BackendAnswer, kept: KeptAnswer | None
    ) -> Outcome:
        response = answer.response
        self._learn_load(response.head)
        if self._was_not_run(response.head, passage.call):
            if self.server and response.head.status == MISDIRECTED:
                self._gate.server_replaced()
            return TURNED_AWAY
        headers = [
            (name, value)
            for name, value in response.head.forwarded()
            if name != self._names.load
        ]
        if kept is not None:
            kept.headers = list(headers)
        headers += [(OUTCOME_HEADER, b"answered"), *self._load_header()]
        passage.exchange.start(ResponseHead(response.head.status, headers))
        try:
            await passage.exchange.relay(response.body, kept.add if kept is not None else None)
        except BodyTruncated:
            return Unknown(Reason.CONNECTION_LOST)
        if kept is not None:
            kept.status = response.head.status
        return Answered(response.head.status)

    def _backend_head(self, passage: _Passage) -> RequestHead:
        call = passage.call
        now = self._clock()
        if self._terms.by_routes:
            own_headers = named_headers(self._names, call, now, self.server)
        else:
            own_headers = wheatslip_headers(call, now)
        return backend_head(passage.exchange.head, own_headers, passage.trace.outgoing)

    def _learn_load(self, head: ResponseHead) -> None:
        load = decode_backend_load(head.get(self._names.load) or b"")
        if load is not None:
            self._gate.learn(load)
        else:
            self._gate.learn_no_load()

    def _was_not_run(self, head: ResponseHead, call: Call) -> bool:
        """Whether the backend server says that it turned the request away."""
        if self._names.not_run and head.get(self._names.not_run) is not None:
            return True
        return head.status == self._shed_status(call.service)

    def _shed_status(self, service_name: str) -> int:
        configuration = self._view.configuration
        service = configuration.services.get(service_name) if configuration else None
        if configuration is None or service is None:
            return 0
        return configuration.pools[service.pool].shed_status

    def _load_header(self) -> Headers:
        return [(LOAD_HEADER, encode(self._gate.report()))]


def _fingerprint(exchange: Exchange, hop: Hop) -> str:
    """The request's fingerprint, by its entry or from what came of its body so far."""
    head = exchange.head
    named = head.get(FINGERPRINT_HEADER)
    if named is not None:
        return named.decode("ascii", "replace")
    body = exchange.body.peek(BODY_BYTES)
    return fingerprint_of(head, hop.workspace, hop.service, body)


def _call_of(hop: Hop, now: float, request_id: str) -> Call:
    """The call that an entry forwards; its times begin when its head is read."""
    call_class = CallClass.URGENT if hop.urgent else CallClass.NORMAL
    return Call(
        hop.workspace,
        hop.service,
        RequestKind(hop.kind, hop.repeatable, call_class),
        now + hop.remaining,
        hop.key,
        hop.depth,
        target=_moment(now, hop.target),
        hold_until=_moment(now, hop.hold),
        request_id=request_id,
    )


def _moment(now: float, left: float | None) -> float:
    """The moment that is `left` seconds away; never, if there is no such bound."""
    return ANY_WAIT if left is None else now + left
