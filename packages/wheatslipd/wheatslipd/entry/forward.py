"""The end of the entry's chain: chooses a backend server, sends the request, and retries.

`wheatslip.attempts` decides on the destination and on retries; this module carries them out.
"""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from wheatslip.attempts import ANSWER_DISCARDED, SERVER_ERROR, AnswerDiscarded, Attempts, Try
from wheatslip.budget import RetryBudgets
from wheatslip.call import COMMON_RANK, UNLIMITED, Call, CallClass
from wheatslip.chooser import Chooser
from wheatslip.hop import (
    HOP_HEADER,
    NOTICE_HEADER,
    OUTCOME_HEADER,
    RANK_HEADER,
    Hop,
    encode,
)
from wheatslip.outcome import Answered, NotRun, Outcome, Reason, Unknown
from wheatslip.quarantine import Quarantine
from wheatslip.retryafter import NO_PEER_CONNECTION

from wheatslipd.chain import EntryRequest
from wheatslipd.controllers.view import Peer, View
from wheatslipd.entry.answermemory import AnswerMemory
from wheatslipd.entry.peerresponse import PeerResponseReader
from wheatslipd.entry.sendguard import SendGuard
from wheatslipd.http.body import BodyTruncated
from wheatslipd.http.client import ClientConnection, Response
from wheatslipd.http.matching import UNNAMED, Naming
from wheatslipd.http.messages import RequestHead, ResponseHead
from wheatslipd.settings import HeaderNames, LogLevel
from wheatslipd.telemetry import logs
from wheatslipd.telemetry.metrics import Metrics
from wheatslipd.telemetry.outcometext import describe
from wheatslipd.telemetry.tracing import TRACEPARENT

# The server has answered, but there was no memory to pass the answer on.
NO_ANSWER_MEMORY = Unknown(Reason.OVERLOADED)
WIRE_TIME_DECIMALS = 3  # of times in seconds in the hop header
# Largest body that is buffered; a larger one is sent only once. Each request in progress may
# buffer as much.
REPLAY_LIMIT_BYTES = 64 * 1024
CONNECT_TIMEOUT_SECONDS = 0.25  # a request waits as long for a lost machine
# Reasons of refusals for which the backend server counts as failed.
_SERVER_FAILURE_REASONS = frozenset(
    {Reason.UNREACHABLE, Reason.CONNECTION_LOST, Reason.SERVER_ENDED}
)
_STRIPPED_HEADERS = frozenset({b"authorization", b"content-length", TRACEPARENT})


@dataclass(frozen=True, slots=True)
class ForwardSettings:
    """Settings of the forwarder."""

    daemon: str  # this daemon's name
    caller: bytes  # value of the `names.caller` header
    names: HeaderNames
    by_routes: bool = False
    naming: Naming = UNNAMED  # of the responses of backend servers


@dataclass(frozen=True, slots=True)
class RoutingPolicy:
    """What decides on the destination of a request and on its retries."""

    chooser: Chooser
    budgets: RetryBudgets
    quarantine: Quarantine


@dataclass(slots=True, eq=False)
class _PreparedRequest:
    """A request with its body buffered up to the replay limit; shared by its tries."""

    request: EntryRequest
    call: Call
    pool: str  # of the call's service
    attempts: Attempts
    guard: SendGuard
    deadline_timeout: asyncio.Timeout  # the call's deadline; applies to the response head only
    body_prefix: bytes  # the buffered start of the body
    has_more: bool  # whether the body continues after `body_prefix`


class Forwarder:
    """Sends the calls of one entry to peer daemons."""

    def __init__(
        self,
        settings: ForwardSettings,
        policy: RoutingPolicy,
        view: View,
        metrics: Metrics,
        clock: Callable[[], float],
        unix: Callable[[], float],
        on_newer_version: Callable[[int, str], None],
        answer_memory: AnswerMemory,
    ):
        """Both clocks are in seconds; `clock` is monotonic. `on_newer_version` is called with a
        bundle version newer than this daemon's, and the address of the daemon that has it.
        """
        self._settings = settings
        names = settings.names
        self._dropped_headers = _STRIPPED_HEADERS | names.set_by_daemon | names.identity
        self._chooser = policy.chooser
        self._budgets = policy.budgets
        self._rng = policy.chooser.rng
        self._view = view
        self._metrics = metrics
        self._clock = clock
        self._unix = unix
        self._quarantine = policy.quarantine
        self._answer_memory = answer_memory
        self._responses = PeerResponseReader(
            settings.names, settings.naming, policy.chooser, view, clock, on_newer_version
        )

    async def __call__(self, request: EntryRequest) -> Outcome:
        """Send the request, with retries, within its deadline."""
        call = request.call
        assert call is not None
        budget = self._budgets.of(call.workspace, call.service, self._clock())
        attempts = Attempts(call, self._chooser, budget)
        try:
            async with asyncio.timeout(
                max(0.0, call.remaining(self._clock()))
            ) as deadline_timeout:
                prepared = await self._prepare(request, call, attempts, deadline_timeout)
                if isinstance(prepared, NotRun):
                    return prepared
                await self._send_until_done(prepared)
        except TimeoutError:
            return attempts.deadline_outcome()
        return attempts.result()

    async def _prepare(
        self,
        request: EntryRequest,
        call: Call,
        attempts: Attempts,
        deadline_timeout: asyncio.Timeout,
    ) -> _PreparedRequest | NotRun:
        """Buffer the body up to the replay limit; a refusal if the rest of it does not come."""
        body = request.exchange.body
        if not body.exhausted:
            await request.exchange.send_continue()
        try:
            body_prefix = await body.read_up_to(REPLAY_LIMIT_BYTES)
        except BodyTruncated:
            return body.refusal or NotRun(Reason.BAD_REQUEST)
        request.exchange.admitted = True
        assert request.configuration is not None
        pool = request.configuration.services[call.service].pool
        has_more = not body.exhausted
        workspace = request.workspace.name if request.workspace else ""
        guard = SendGuard(self._quarantine, self._unix, workspace, call.service)
        return _PreparedRequest(
            request, call, pool, attempts, guard, deadline_timeout, body_prefix, has_more
        )

    async def _send_until_done(self, prepared: _PreparedRequest) -> None:
        attempts = prepared.attempts
        head = prepared.request.exchange.head
        should_retry = True
        while should_retry:
            refusal = prepared.guard.refusal(head, prepared.body_prefix)
            if refusal is not None:
                self._log_held_request(prepared)
                attempts.last = refusal
                return
            peers = self._view.peers(prepared.pool)
            upstreams = [peer.upstream for peer in peers]
            next_try = attempts.next(upstreams, self._clock())
            if next_try is None:
                return
            peer = next(peer for peer in peers if peer.upstream is next_try.upstream)
            outcome = await self._send(prepared, next_try, peer)
            self._log_try(prepared, next_try, outcome)
            prepared.guard.on_outcome(outcome)
            if isinstance(outcome, AnswerDiscarded):
                continue  # `attempts` has counted this try and charged the next one
            should_retry = (
                attempts.finish_try(outcome) and not prepared.request.exchange.started
            )

    @staticmethod
    def _log_held_request(prepared: _PreparedRequest) -> None:
        """Log the request with method and path, since the fingerprint does not show them."""
        call = prepared.call
        head = prepared.request.exchange.head
        fingerprint = prepared.guard.fingerprint
        logs.info(
            "held-request-refused",
            fingerprint=fingerprint,
            workspace=call.workspace,
            service=call.service,
            kind=call.kind.name,
            method=head.method.decode("ascii", "replace"),
            path=head.target.partition(b"?")[0].decode("ascii", "replace"),
            repeat_key=fingerprint,
        )

    def _log_try(self, prepared: _PreparedRequest, next_try: Try, outcome: Outcome) -> None:
        if not logs.is_enabled(LogLevel.DEBUG):
            return
        upstream = next_try.upstream
        report = upstream.report
        now = self._clock()
        logs.debug(
            "try-ended",
            request=prepared.call.request_id,
            service=prepared.call.service,
            kind=prepared.call.kind.name,
            number=prepared.attempts.tries,
            to=upstream.name,
            zone=upstream.zone,
            max_wait=next_try.max_wait,
            outcome=describe(outcome),
            in_flight=upstream.in_flight,
            reported=f"{report.in_flight}+{report.queued}/{report.limit}" if report else "-",
            age=round(now - upstream.reported_at, 3) if report else "-",
            left=round(prepared.call.remaining(now), 3),
        )

    async def _send(
        self, prepared: _PreparedRequest, next_try: Try, peer: Peer
    ) -> Outcome | AnswerDiscarded:
        """Carry out one try, from connecting to its outcome."""
        kind = "first" if prepared.attempts.tries == 1 else "retry"
        self._metrics.sends.inc({"service": prepared.call.service, "try": kind})
        upstream = peer.upstream
        upstream.on_sent()
        try:
            connection = await peer.connections.acquire(self._connect_timeout(prepared.call))
            if connection is None:
                upstream.on_unreachable(self._clock(), self._rng)
                return NO_PEER_CONNECTION
            try:
                return await self._exchange(prepared, next_try, peer, connection)
            finally:
                peer.connections.release(connection)
        finally:
            upstream.on_done()

    def _connect_timeout(self, call: Call) -> float:
        """The connect timeout, in seconds.

        A call that may run only once by its key has no other destination. If it were reported
        as not run after a slow connection, another send of the key might still have run it.
        """
        return (
            call.remaining(self._clock()) if call.is_at_most_once else CONNECT_TIMEOUT_SECONDS
        )

    async def _exchange(
        self,
        prepared: _PreparedRequest,
        next_try: Try,
        peer: Peer,
        connection: ClientConnection,
    ) -> Outcome | AnswerDiscarded:
        prepared.attempts.on_bytes_sent()
        try:
            await self._send_request(prepared, next_try, connection)
            response = await connection.response()
        except BodyTruncated:
            reason = prepared.request.exchange.body.refusal
            return Unknown(Reason.CANCELLED if reason is None else reason.reason)
        except ConnectionError:
            peer.upstream.on_failure(self._clock(), self._rng)
            unacknowledged = connection.request_unacknowledged
            return Unknown(Reason.UNACKNOWLEDGED if unacknowledged else Reason.CONNECTION_LOST)
        request_id = prepared.call.request_id.encode("latin-1")
        refusal = self._responses.read(peer, response.head, request_id)
        if refusal is not None:
            if refusal.reason in _SERVER_FAILURE_REASONS:
                peer.upstream.on_failure(self._clock(), self._rng)
            return refusal
        if prepared.attempts.discard_answer(response.head.status):
            return ANSWER_DISCARDED
        caller = prepared.request.exchange.connection
        async with self._answer_memory.hold(response, caller) as hold:
            if hold is None:
                return NO_ANSWER_MEMORY
            try:
                buffered = await response.body.read_up_to(hold)
            except BodyTruncated:
                # Nothing was sent to the caller yet, so another try may still answer.
                return Unknown(Reason.CONNECTION_LOST)
            # The deadline applies to the response head only; the body is streamed without one.
            prepared.deadline_timeout.reschedule(None)
            outcome = await self._relay(prepared.request, response, buffered)
        if isinstance(outcome, Answered) and outcome.status < SERVER_ERROR:
            prepared.guard.on_answer()
        return outcome

    async def _send_request(
        self, prepared: _PreparedRequest, next_try: Try, connection: ClientConnection
    ) -> None:
        """Send the request; a body that is not fully buffered waits for 100 Continue."""
        head = self._peer_head(prepared, next_try)
        if not prepared.has_more:
            if prepared.body_prefix or prepared.request.exchange.head.method not in (
                b"GET",
                b"HEAD",
            ):
                head.headers.append((b"content-length", b"%d" % len(prepared.body_prefix)))
            await connection.start_with_body(head, prepared.body_prefix)
            return
        head.headers.append((b"expect", b"100-continue"))
        await connection.start(head)
        if not await connection.wait_continue():
            return
        prepared.attempts.can_resend = False
        await connection.write(prepared.body_prefix)
        async for chunk in prepared.request.exchange.body.chunks():
            await connection.write(chunk)
        await connection.finish()

    def _peer_head(self, prepared: _PreparedRequest, next_try: Try) -> RequestHead:
        """Build the request head for the peer, with the hop headers that its daemon reads."""
        names = self._settings.names
        original_head = prepared.request.exchange.head
        headers = [
            (name, value)
            for name, value in original_head.forwarded()
            if name not in self._dropped_headers
        ]
        if names.caller:
            headers.append((names.caller, self._settings.caller))
        workspace = prepared.request.workspace
        if names.workspace and workspace is not None:
            # A gate of the previous version passes it on.
            headers.append((names.workspace, workspace.name.encode()))
        headers.append((HOP_HEADER, encode(self._hop(prepared, next_try))))
        if prepared.call.rank != COMMON_RANK:
            headers.append((RANK_HEADER, encode(prepared.call.rank)))
        notice = next_try.upstream.notices.notice()
        if notice is not None:
            headers.append((NOTICE_HEADER, encode(notice)))
        is_whole = not prepared.has_more
        headers += prepared.guard.headers(
            original_head, prepared.body_prefix, is_whole=is_whole
        )
        if prepared.request.trace.outgoing is not None:
            headers.append((TRACEPARENT, prepared.request.trace.outgoing))
        return RequestHead(original_head.method, original_head.target, headers)

    def _hop(self, prepared: _PreparedRequest, next_try: Try) -> Hop:
        call = prepared.call
        workspace = prepared.request.workspace
        now = self._clock()
        by_routes = self._settings.by_routes
        return Hop(
            workspace=workspace.name if workspace is not None else "",
            service=call.service,
            kind=call.kind.name,
            repeatable=call.kind.repeatable,
            urgent=call.call_class is CallClass.URGENT,
            remaining=round(call.remaining(now), WIRE_TIME_DECIMALS),
            version=self._view.version,
            entry="" if by_routes else self._settings.daemon,
            key=call.key,
            depth=call.depth,
            max_wait=_encode_bound(next_try.max_wait),
            target=_encode_bound(call.target - now),
            hold=_encode_bound(call.hold_until - now),
        )

    @staticmethod
    async def _relay(request: EntryRequest, response: Response, buffered: bytes) -> Outcome:
        """Stream the response to the caller; `buffered` is the start of its body."""
        head = ResponseHead(response.head.status, response.head.forwarded())
        head.headers.append((OUTCOME_HEADER, b"answered"))
        request.exchange.start(head)
        try:
            await request.exchange.write(buffered)
            await request.exchange.relay(response.body)
        except BodyTruncated:
            # The caller's connection is aborted, so a truncated body does not look complete.
            return Unknown(Reason.CONNECTION_LOST)
        return Answered(head.status)


def _encode_bound(seconds: float) -> float | None:
    """Encode a bound for the hop header, where None means that there is no bound."""
    return None if seconds == UNLIMITED else round(seconds, WIRE_TIME_DECIMALS)
