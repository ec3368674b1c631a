"""The peer port: handles requests that entries forward to the local backend server.

No other port leads to the server. Each request is validated as untrusted input, then passes the
key guard, the suspect guard and the gate. Every response carries the gate's load report.
"""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from wheatslip.admission import Ticket
from wheatslip.attempts import SERVER_ERROR
from wheatslip.call import COMMON_RANK, UNLIMITED, Call, CallClass
from wheatslip.hop import (
    HOP_HEADER,
    NOTICE_HEADER,
    OUTCOME_HEADER,
    RANK_HEADER,
    SUSPECT_HEADER,
    Hop,
    decode_hop,
    decode_notice,
    decode_rank,
)
from wheatslip.ledger import Claim, KeptAnswer, KeyState, key_time
from wheatslip.outcome import Answered, NotRun, Outcome, Reason, Unknown
from wheatslip.retryafter import TOO_MANY_UPLOADS
from wheatslip.runtracker import Run

from wheatslipd.controllers.view import View
from wheatslipd.entry.refusals import send_refusal
from wheatslipd.gate.answerrelay import AnswerRelay
from wheatslipd.gate.backend import Backend, BackendAnswer
from wheatslipd.gate.backendhead import (
    build_backend_head,
    configured_headers,
    wheatslip_headers,
)
from wheatslipd.gate.forwardedrequest import (
    ForwardedRequest,
    decode_call,
    fingerprint_of_request,
)
from wheatslipd.gate.gate import Gate
from wheatslipd.gate.keyguard import KeyGuard
from wheatslipd.gate.noticereader import NoticeReader
from wheatslipd.gate.olderentry import OlderEntryRequests
from wheatslipd.gate.serverend import ServerEndDetector
from wheatslipd.gate.slowreaders import SlowReaders
from wheatslipd.gate.suspects import SuspectGuard
from wheatslipd.gate.uploads import UploadLimit
from wheatslipd.http.body import BodyTruncated
from wheatslipd.http.bounds import Closing
from wheatslipd.http.exchange import Exchange
from wheatslipd.http.matching import Kind, Question
from wheatslipd.http.messages import RequestHead, ResponseHead
from wheatslipd.settings import HeaderNames
from wheatslipd.telemetry.metrics import Metrics, priority_label
from wheatslipd.telemetry.outcometext import describe
from wheatslipd.telemetry.tracing import TRACEPARENT, HopTrace, HopTracer

# A shorter wait refuses requests while a change is distributed, a longer one only delays their
# next try.
CATCH_UP_TIMEOUT_SECONDS = 0.5  # longest wait for the configuration version of the entry
CATCH_UP_POLL_SECONDS = 0.02
# Buffered before a request takes a slot, so that a slow upload does not hold a slot. A larger
# buffer would use memory for each request; this is as much as an entry buffers.
BUFFERED_BODY_BYTES = 64 * 1024

CALLER_LEFT = Unknown(Reason.CANCELLED)


@dataclass(frozen=True, slots=True)
class BackendStages:
    """The stages that a request passes, in order, and the detector of server ends."""

    older_entries: OlderEntryRequests  # with the routes interface
    keys: KeyGuard
    suspects: SuspectGuard
    gate: Gate
    backend: Backend
    end_detector: ServerEndDetector
    notices: NoticeReader


@dataclass(frozen=True, slots=True)
class PeerPortSettings:
    """Settings of the peer port.

    `pool` is the pool of the backend server, `names` are the configured header names. With
    `by_routes`, entries select the pool by their routes, and the server gets the headers in
    `names` instead of the `wheatslip-*` headers.
    """

    pool: str
    names: HeaderNames
    by_routes: bool


class PeerPort:
    """Handles the requests of the peer port."""

    def __init__(
        self,
        view: View,
        stages: BackendStages,
        settings: PeerPortSettings,
        metrics: Metrics,
        tracer: HopTracer,
        clock: Callable[[], float],
        on_newer_version: Callable[[int, str], None],
    ):
        """`on_newer_version` is called with a bundle version newer than this daemon's, and the
        address of the entry that has it.
        """
        self._view = view
        self._keys = stages.keys
        self._suspects = stages.suspects
        self._gate = stages.gate
        self._uploads = UploadLimit(lambda: stages.gate.admission.limit.value)
        self._slow_readers = SlowReaders(lambda: stages.gate.admission.limit.value)
        self._backend = stages.backend
        self._end_detector = stages.end_detector
        self._notices = stages.notices
        self._answers = AnswerRelay(settings.names, view, stages.gate, stages.notices)
        self._older_entries = stages.older_entries
        self._settings = settings
        self._names = settings.names
        self._identity_headers = settings.names.identity
        self._metrics = metrics
        self._tracer = tracer
        self._clock = clock
        self._on_newer_version = on_newer_version

    async def handle(self, exchange: Exchange) -> None:
        trace = self._tracer.hop(
            "admission", exchange.head.get(TRACEPARENT), may_start_trace=False
        )
        outcome: Outcome = Unknown(Reason.CANCELLED)
        try:
            outcome = await self._process(exchange, trace)
            if not isinstance(outcome, Answered) and not exchange.started:
                await send_refusal(exchange, outcome, self._answers.report_headers())
        finally:
            self._metrics.admissions.inc({"outcome": describe(outcome)})
            trace.set("wheatslip.outcome", describe(outcome))
            trace.end()

    async def _process(self, exchange: Exchange, trace: HopTrace) -> Outcome:
        hop = decode_hop(exchange.head.get(HOP_HEADER) or b"")
        if hop is None or (hop.key and key_time(hop.key) is None):
            return NotRun(Reason.BAD_REQUEST)
        request_id = exchange.head.get(self._names.request_id) or b""
        # An entry sends no rank if it is the common one, or if its version has no ranks.
        rank = decode_rank(exchange.head.get(RANK_HEADER) or b"") or COMMON_RANK
        sent_call = decode_call(hop, self._clock(), request_id.decode("latin-1"), rank)
        call, workspace = sent_call, hop.workspace
        if self._settings.by_routes:
            identified = self._older_entries.identify(hop, sent_call, exchange.head)
            if isinstance(identified, NotRun):
                return identified
            call, workspace = identified
        if not exchange.expects_continue:
            try:
                async with asyncio.timeout(max(0.0, hop.remaining)):
                    await exchange.body.buffer_up_to(BUFFERED_BODY_BYTES)
            except BodyTruncated:
                return exchange.body.refusal or Unknown(Reason.CANCELLED)
            except TimeoutError:
                return NotRun(Reason.DEADLINE)
        exchange.admitted = True
        request = ForwardedRequest(
            exchange, hop, call, trace, fingerprint_of_request(exchange, hop), workspace
        )
        refusal = await self._check_entry(hop, exchange)
        if refusal is not None:
            return refusal
        notice = decode_notice(exchange.head.get(NOTICE_HEADER) or b"")
        if notice is not None:
            self._notices.on_forwarded(notice)
        if call.is_at_most_once:
            return await self._run_keyed(request)
        return await self._run(request, None)

    async def _check_entry(self, hop: Hop, exchange: Exchange) -> NotRun | None:
        """Return a refusal if the entry used an outdated list or configuration."""
        if not self._settings.by_routes:
            return await self._check_version(hop.version, exchange)
        # The entry selected the pool by its routes, so the version here does not matter. The
        # pool may differ if this daemon's address belonged to another one in the entry's list.
        if hop.service != self._settings.pool:
            return NotRun(Reason.WRONG_POOL)
        if hop.version > self._view.version:
            self._on_newer_version(hop.version, exchange.connection.peer_address)
        return None

    async def _check_version(self, version: int, exchange: Exchange) -> NotRun | None:
        """Wait for the entry's bundle version; return a refusal if it does not arrive."""
        if self._view.version >= version and self._view.configuration is not None:
            return None
        self._on_newer_version(version, exchange.connection.peer_address)
        wait_until = self._clock() + CATCH_UP_TIMEOUT_SECONDS
        while self._clock() < wait_until:
            await asyncio.sleep(CATCH_UP_POLL_SECONDS)
            if self._view.version >= version:
                return None
        if self._view.configuration is None:
            return NotRun(Reason.NO_CONFIGURATION)
        return NotRun(Reason.VERSION_BEHIND)

    async def _run_keyed(self, request: ForwardedRequest) -> Outcome:
        call = request.call
        claim = self._keys.claim(call)
        if not isinstance(claim, Claim):
            return claim
        if claim.state is KeyState.DONE:
            return await self._replay_answer(request.exchange, claim.answer)
        kept = KeptAnswer()
        outcome: Outcome = Unknown(Reason.CANCELLED)
        try:
            outcome = await self._run(request, kept)
        finally:
            self._keys.settle(call, outcome, kept)
        return outcome

    async def _replay_answer(self, exchange: Exchange, kept: KeptAnswer | None) -> Outcome:
        if kept is None:
            return Unknown(Reason.DUPLICATE)
        # What the server announced then no longer applies.
        dropped_names = {b"content-length", self._names.limit, self._names.leaving}
        headers = [header for header in kept.headers if header[0] not in dropped_names]
        headers += [(OUTCOME_HEADER, b"answered"), *self._answers.report_headers()]
        await exchange.respond(ResponseHead(kept.status, headers), kept.body)
        return Answered(kept.status)

    async def _run(self, request: ForwardedRequest, kept: KeptAnswer | None) -> Outcome:
        hop_max_wait = request.hop.max_wait
        max_wait = UNLIMITED if hop_max_wait is None else hop_max_wait
        was_suspected = request.exchange.head.get(SUSPECT_HEADER) is not None
        async with self._suspects.reserve(
            request.call, request.fingerprint, max_wait, was_suspected=was_suspected
        ) as refusal:
            if refusal is not None:
                return refusal
            is_complete = request.exchange.body.complete
            with self._uploads.reserve(is_complete=is_complete) as may_start:
                if not may_start:
                    request.exchange.connection.count(Closing.UPLOADS)
                    return TOO_MANY_UPLOADS
                return await self._run_at_gate(request, max_wait, kept)

    async def _run_at_gate(
        self, request: ForwardedRequest, max_wait: float, kept: KeptAnswer | None
    ) -> Outcome:
        admission = self._gate.admission
        if admission.in_flight >= admission.limit.value:
            self._slow_readers.make_room()
        ticket = await self._gate.start_call(request.call, max_wait)
        if self._gate.admission.settings.has_ranks:
            self._count_by_priority(request.call, ticket)
        if isinstance(ticket, NotRun):
            return ticket
        return await self._run_started(request, ticket, kept)

    def _count_by_priority(self, call: Call, ticket: Ticket | NotRun) -> None:
        is_urgent = call.call_class is CallClass.URGENT
        self._metrics.priority_admissions.inc(
            {
                "priority": "urgent" if is_urgent else priority_label(call.rank.route_priority),
                "outcome": describe(ticket) if isinstance(ticket, NotRun) else "started",
            }
        )

    async def _run_started(
        self, request: ForwardedRequest, ticket: Ticket, kept: KeptAnswer | None
    ) -> Outcome:
        worked = False
        run = request.run()
        try:
            remaining = request.call.remaining(self._clock())
            async with asyncio.timeout(max(0.0, remaining)):
                await request.exchange.send_continue()
                answer = await self._send(request, remaining, run)
            if answer == CALLER_LEFT:
                return answer
            if not isinstance(answer, BackendAnswer):
                self._gate.on_connection_failure()
                return await self._handle_loss(run, answer)
            self._gate.on_answer()
            worked = True
            try:
                with self._slow_readers.watch(request.exchange.connection):
                    outcome = await self._answers.relay(request, answer.response, kept)
            finally:
                self._backend.release(answer)
            return await self._record_outcome(run, outcome)
        except TimeoutError:
            return Unknown(Reason.DEADLINE)
        finally:
            self._end_detector.exposure.left(run, self._clock())
            self._gate.finish_call(ticket, worked=worked)

    async def _handle_loss(self, run: Run, outcome: NotRun | Unknown) -> NotRun | Unknown:
        """Record a request without a complete response; check whether the server has ended."""
        if isinstance(outcome, NotRun):
            self._end_detector.exposure.not_run(run)
            self._end_detector.start_check()
            return outcome
        self._end_detector.exposure.broken(run, self._clock())
        has_ended = await self._end_detector.has_server_ended()
        return Unknown(Reason.SERVER_ENDED) if has_ended else outcome

    async def _record_outcome(self, run: Run, outcome: Outcome) -> Outcome:
        """Record the outcome of a request whose response head arrived."""
        match outcome:
            case Answered(status) if status >= SERVER_ERROR:
                # The server may have failed this request and still end because of it.
                self._end_detector.exposure.left(run, self._clock())
            case Answered():
                self._end_detector.exposure.answered(run, self._clock())
                self._suspects.on_answered(run.fingerprint)
            case NotRun():
                self._end_detector.exposure.not_run(run)
            case Unknown():
                await self._handle_loss(run, outcome)
        return outcome

    def _send(
        self, request: ForwardedRequest, remaining: float, run: Run
    ) -> Awaitable[BackendAnswer | NotRun | Unknown]:
        """Send the request to the backend server; `remaining` is the time left, in seconds."""
        call = request.call
        return self._backend.send(
            self._backend_head(request),
            request.exchange.body,
            Question(Kind.REQUEST, call.request_id.encode("latin-1")),
            # Another send of the key would be refused as running, so connecting may take all
            # of the remaining time.
            remaining if call.is_at_most_once else 0.0,
            lambda: self._end_detector.exposure.begin(run),
        )

    @property
    def _server(self) -> str:
        """The registered id of the backend server, or empty."""
        return self._notices.start.server

    def _backend_head(self, request: ForwardedRequest) -> RequestHead:
        call = request.call
        now = self._clock()
        if self._settings.by_routes:
            own_headers = configured_headers(self._names, call, now, self._server)
        else:
            own_headers = wheatslip_headers(call, now)
        if self._names.workspace and request.workspace:
            own_headers.append((self._names.workspace, request.workspace.encode()))
        return build_backend_head(
            request.exchange.head,
            own_headers,
            request.trace.outgoing,
            self._identity_headers,
        )
