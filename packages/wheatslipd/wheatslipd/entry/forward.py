"""The end of the entry's chain: choose a backend server, send, retry what may be retried."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from wheatslip.attempts import REPLACED, SERVER_ERROR, Attempts, Replaced, Try
from wheatslip.budget import RetryBudgets
from wheatslip.call import ANY_WAIT, Call, CallClass
from wheatslip.chooser import Chooser
from wheatslip.hop import (
    HOP_HEADER,
    LOAD_HEADER,
    OUTCOME_HEADER,
    Hop,
    decode_load,
    decode_refusal,
    encode,
)
from wheatslip.outcome import Answered, NotRun, Outcome, Reason, Unknown
from wheatslip.retryafter import NO_PEER_CONNECTION

from wheatslipd.chain import EntryRequest
from wheatslipd.controllers.view import Peer, View
from wheatslipd.entry.answers import RETRY_AFTER_MS
from wheatslipd.http.body import BodyBroken
from wheatslipd.http.client import ClientConnection, Response
from wheatslipd.http.messages import RequestHead, ResponseHead
from wheatslipd.settings import HeaderNames, LogLevel
from wheatslipd.telemetry import logs
from wheatslipd.telemetry.metrics import Metrics
from wheatslipd.telemetry.outcometext import describe
from wheatslipd.telemetry.tracing import TRACEPARENT

TIME_DIGITS = 3  # of seconds that travel with a request
REPLAY_LIMIT = 64 * 1024  # a body up to this size is kept, so that it can be sent again
CONNECT_TIMEOUT = 0.25  # seconds
_NOT_FORWARDED = frozenset({b"authorization", b"content-length", TRACEPARENT})


@dataclass(slots=True, eq=False)
class _Sending:
    """What the tries of one request share."""

    request: EntryRequest
    call: Call
    attempts: Attempts
    replay: bytes  # the body as far as it was read
    has_more: bool  # whether the body goes on behind `replay`


class Forwarder:
    """Sends calls to peers on behalf of one entry."""

    def __init__(
        self,
        view: View,
        name: str,
        chooser: Chooser,
        metrics: Metrics,
        rng: Random,
        clock: Callable[[], float],
        on_newer_version: Callable[[int, str], None],
        budgets: RetryBudgets,
        names: HeaderNames,
        caller: str,
        answer_hold: int = 0,
        plain: bool = False,
    ):
        """`caller` is told to backend servers in the header that `names` has for it. Of an
        answer up to `answer_hold` bytes are held until they are whole. `plain`: requests
        come by routes, and there are no workspaces to tell apart.
        """
        self._view = view
        self._name = name
        self._chooser = chooser
        self._metrics = metrics
        self._rng = rng
        self._clock = clock
        self._on_newer_version = on_newer_version
        self._budgets = budgets
        self._names = names
        self._caller = caller.encode()
        self._answer_hold = answer_hold
        self._plain = plain

    async def __call__(self, request: EntryRequest) -> Outcome:
        """Run the request to its outcome, within its deadline."""
        call = request.call
        assert call is not None
        budget = self._budgets.of(call.workspace, call.service, self._clock())
        attempts = Attempts(call, self._chooser, budget)
        try:
            async with asyncio.timeout(max(0.0, call.remaining(self._clock()))) as limit:
                sending = await self._prepare(request, call, attempts)
                if sending is None:
                    return NotRun(Reason.BAD_REQUEST)
                await self._try_all(sending, limit)
        except TimeoutError:
            return attempts.expired()
        return attempts.result()

    async def _prepare(
        self, request: EntryRequest, call: Call, attempts: Attempts
    ) -> _Sending | None:
        """Read what of the body can be kept; None if the caller broke it off."""
        body = request.exchange.body
        if not body.exhausted:
            await request.exchange.send_continue()
        try:
            replay = await body.read_up_to(REPLAY_LIMIT)
        except BodyBroken:
            return None
        return _Sending(request, call, attempts, replay, has_more=not body.exhausted)

    async def _try_all(self, sending: _Sending, limit: asyncio.Timeout) -> None:
        attempts = sending.attempts
        again = True
        while again:
            peers = self._peers(sending)
            upstreams = [peer.upstream for peer in peers]
            chosen = attempts.next(upstreams, self._clock())
            if chosen is None:
                return
            peer = next(peer for peer in peers if peer.upstream is chosen.upstream)
            outcome = await self._send(sending, chosen, peer, limit)
            self._log_try(sending, chosen, outcome)
            if isinstance(outcome, Replaced):
                continue
            again = attempts.ended(outcome) and not sending.request.exchange.started

    def _log_try(self, sending: _Sending, chosen: Try, outcome: Outcome) -> None:
        if not logs.is_enabled(LogLevel.DEBUG):
            return
        upstream = chosen.upstream
        report = upstream.report
        now = self._clock()
        logs.debug(
            "try-ended",
            request=sending.call.request_id,
            service=sending.call.service,
            kind=sending.call.kind.name,
            number=sending.attempts.tries,
            to=upstream.name,
            zone=upstream.zone,
            max_wait=chosen.max_wait,
            outcome=describe(outcome),
            in_flight=upstream.in_flight,
            reported=f"{report.in_flight}+{report.queued}/{report.limit}" if report else "-",
            age=round(now - upstream.reported_at, 3) if report else "-",
            left=round(sending.call.remaining(now), 3),
        )

    def _peers(self, sending: _Sending) -> tuple[Peer, ...]:
        configuration = sending.request.configuration
        assert configuration is not None
        pool = configuration.services[sending.call.service].pool
        return self._view.peers(pool)

    async def _send(
        self, sending: _Sending, chosen: Try, peer: Peer, limit: asyncio.Timeout
    ) -> Outcome:
        kind = "first" if sending.attempts.tries == 1 else "retry"
        self._metrics.sends.inc({"service": sending.call.service, "try": kind})
        upstream = peer.upstream
        upstream.on_sent()
        try:
            connection = await peer.connections.take(self._connect_patience(sending.call))
            if connection is None:
                upstream.on_unreachable(self._clock(), self._rng)
                return NO_PEER_CONNECTION
            try:
                return await self._exchange(sending, chosen, peer, connection, limit)
            finally:
                peer.connections.give_back(connection)
        finally:
            upstream.on_done()

    def _connect_patience(self, call: Call) -> float:
        """Seconds that a connection may take.

        A call bound by its key can go nowhere else, and what is told "not run" because of a
        slow connection may have run by another send of its key.
        """
        return call.remaining(self._clock()) if call.runs_once_by_key else CONNECT_TIMEOUT

    async def _exchange(
        self,
        sending: _Sending,
        chosen: Try,
        peer: Peer,
        connection: ClientConnection,
        limit: asyncio.Timeout,
    ) -> Outcome:
        sending.attempts.on_bytes_sent()
        try:
            await self._send_request(sending, chosen, connection)
            response = await connection.response()
        except BodyBroken:
            return Unknown(Reason.CANCELLED)
        except ConnectionError:
            peer.upstream.on_failure(self._clock(), self._rng)
            unacknowledged = connection.request_unacknowledged
            return Unknown(Reason.UNACKNOWLEDGED if unacknowledged else Reason.CONNECTION_LOST)
        self._learn(peer, response)
        refusal = self._refusal(response)
        if refusal is not None:
            if refusal.reason in (Reason.UNREACHABLE, Reason.CONNECTION_LOST):
                peer.upstream.on_failure(self._clock(), self._rng)
            return refusal
        if sending.attempts.replace_answer(response.head.status):
            return REPLACED
        try:
            held = await response.body.read_up_to(self._answer_hold)
        except BodyBroken:
            # Nothing of it has gone out yet, so another try may still answer.
            return Unknown(Reason.CONNECTION_LOST)
        # From here on the answer streams; its deadline was for the head.
        limit.reschedule(None)
        return await self._relay(sending.request, response, held)

    async def _send_request(
        self, sending: _Sending, chosen: Try, connection: ClientConnection
    ) -> None:
        head = self._peer_head(sending, chosen)
        if not sending.has_more:
            if sending.replay or sending.request.exchange.head.method not in (b"GET", b"HEAD"):
                head.headers.append((b"content-length", b"%d" % len(sending.replay)))
            await connection.start_with_body(head, sending.replay)
            return
        head.headers.append((b"expect", b"100-continue"))
        await connection.start(head, chunked=True, end=False)
        if not await connection.wait_continue():
            return
        sending.attempts.can_resend = False
        await connection.write(sending.replay, chunked=True)
        async for chunk in sending.request.exchange.body.chunks():
            await connection.write(chunk, chunked=True)
        await connection.finish(chunked=True)

    def _peer_head(self, sending: _Sending, chosen: Try) -> RequestHead:
        call = sending.call
        now = self._clock()
        original = sending.request.exchange.head
        hop = Hop(
            workspace="" if self._plain else call.workspace,
            service=call.service,
            kind=call.kind.name,
            repeatable=call.kind.repeatable,
            urgent=call.call_class is CallClass.URGENT,
            remaining=round(call.remaining(now), TIME_DIGITS),
            version=self._view.version,
            entry="" if self._plain else self._name,
            key=call.key,
            depth=call.depth,
            max_wait=_bounded(chosen.max_wait),
            target=_bounded(call.target - now),
            hold=_bounded(call.hold_until - now),
        )
        dropped = _NOT_FORWARDED | self._names.set_by_us
        headers = [(name, value) for name, value in original.forwarded() if name not in dropped]
        if self._names.caller:
            headers.append((self._names.caller, self._caller))
        headers.append((HOP_HEADER, encode(hop)))
        if sending.request.trace.outgoing is not None:
            headers.append((TRACEPARENT, sending.request.trace.outgoing))
        return RequestHead(original.method, original.target, headers)

    def _learn(self, peer: Peer, response: Response) -> None:
        now = self._clock()
        value = response.head.get(LOAD_HEADER)
        report = decode_load(value) if value else None
        if report is None:
            return
        self._chooser.on_report(peer.upstream, report, now)
        if report.version > self._view.version:
            self._on_newer_version(report.version, peer.instance.address)
        if (response.head.get(OUTCOME_HEADER) or b"") == b"answered":
            failed = response.head.status >= SERVER_ERROR
            peer.upstream.on_answer(now, failed=failed)

    @staticmethod
    def _refusal(response: Response) -> NotRun | Unknown | None:
        value = response.head.get(OUTCOME_HEADER)
        if value is None:
            return Unknown(Reason.CONNECTION_LOST)
        wait = response.head.get(RETRY_AFTER_MS) or b""
        return decode_refusal(value, int(wait) / 1000 if wait.isdigit() else None)

    @staticmethod
    async def _relay(request: EntryRequest, response: Response, held: bytes) -> Outcome:
        head = ResponseHead(response.head.status, response.head.forwarded())
        head.headers.append((OUTCOME_HEADER, b"answered"))
        request.exchange.start(head)
        try:
            await request.exchange.write(held)
            await request.exchange.relay(response.body)
        except BodyBroken:
            # The caller sees a broken connection, never a shortened answer that looks whole.
            return Unknown(Reason.CONNECTION_LOST)
        return Answered(head.status)


def _bounded(seconds: float) -> float | None:
    """A bound for the wire, where None says that there is none."""
    return None if seconds == ANY_WAIT else round(seconds, TIME_DIGITS)
