"""The end of the entry's chain: choose a backend server, send, retry what may be retried.

`wheatslip.attempts` decides where to and whether again; here is what carries it out. A request
passes these stages, each with a type: `EntryRequest` (as the filters left it), `_Sending` (its
body is read as far as it is kept, so it can be sent), `Try` and `Peer` (where this send goes),
and the `Outcome` of each try.
"""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

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
from wheatslip.quarantine import Quarantine
from wheatslip.retryafter import NO_PEER_CONNECTION

from wheatslipd.chain import EntryRequest
from wheatslipd.controllers.view import Peer, View
from wheatslipd.entry.answers import RETRY_AFTER_MS
from wheatslipd.entry.sendguard import SendGuard
from wheatslipd.http.body import BodyTruncated
from wheatslipd.http.client import ClientConnection, Response
from wheatslipd.http.messages import RequestHead, ResponseHead
from wheatslipd.settings import HeaderNames, LogLevel
from wheatslipd.telemetry import logs
from wheatslipd.telemetry.metrics import Metrics
from wheatslipd.telemetry.outcometext import describe
from wheatslipd.telemetry.tracing import TRACEPARENT

TIME_DIGITS = 3  # of seconds that travel with a request: milliseconds
# Bytes of a body that are kept, so that it can be sent again; a larger one is streamed, and
# sent once. Each request under way may hold as much.
REPLAY_LIMIT = 64 * 1024
# Seconds. Shorter, a peer that lost a packet counts as unreachable; longer, a lost machine
# holds a request for as long.
CONNECT_TIMEOUT = 0.25
# Refusals by which a gate says that its server is in trouble.
_SERVER_TROUBLE = frozenset({Reason.UNREACHABLE, Reason.CONNECTION_LOST, Reason.SERVER_ENDED})
_NOT_FORWARDED = frozenset({b"authorization", b"content-length", TRACEPARENT})


@dataclass(frozen=True, slots=True)
class ForwardSettings:
    """What the daemon's settings say of forwarding."""

    daemon: str  # this daemon's name
    caller: bytes  # what backend servers get in `names.caller`
    names: HeaderNames
    answer_hold: int = 0  # bytes of an answer that are held until they are whole
    by_routes: bool = False  # requests come by routes, without workspaces


@dataclass(frozen=True, slots=True)
class Decisions:
    """What decides where a request goes, and whether again."""

    chooser: Chooser
    budgets: RetryBudgets
    quarantine: Quarantine


@dataclass(slots=True, eq=False)
class _Sending:
    """A request that is ready to be sent: what its tries share."""

    request: EntryRequest
    call: Call
    pool: str  # of the call's service
    attempts: Attempts
    guard: SendGuard
    limit: asyncio.Timeout  # the call's deadline, for the head of an answer
    replay: bytes  # the body as far as it was read
    has_more: bool  # whether the body goes on behind `replay`


class Forwarder:
    """Sends calls to peers on behalf of one entry."""

    def __init__(
        self,
        settings: ForwardSettings,
        decisions: Decisions,
        view: View,
        metrics: Metrics,
        clock: Callable[[], float],
        unix: Callable[[], float],
        on_newer_version: Callable[[int, str], None],
    ):
        """Both clocks are in seconds, `clock` is monotonic. `on_newer_version` takes a bundle
        version that is newer than the one in force here, and the address of the daemon that
        has it.
        """
        self._settings = settings
        self._chooser = decisions.chooser
        self._budgets = decisions.budgets
        self._rng = decisions.chooser.rng
        self._view = view
        self._metrics = metrics
        self._clock = clock
        self._unix = unix
        self._quarantine = decisions.quarantine
        self._on_newer_version = on_newer_version

    async def __call__(self, request: EntryRequest) -> Outcome:
        """Run the request to its outcome, within its deadline."""
        call = request.call
        assert call is not None
        budget = self._budgets.of(call.workspace, call.service, self._clock())
        attempts = Attempts(call, self._chooser, budget)
        try:
            async with asyncio.timeout(max(0.0, call.remaining(self._clock()))) as limit:
                sending = await self._prepare(request, call, attempts, limit)
                if sending is None:
                    return NotRun(Reason.BAD_REQUEST)
                await self._try_all(sending)
        except TimeoutError:
            return attempts.expired()
        return attempts.result()

    async def _prepare(
        self, request: EntryRequest, call: Call, attempts: Attempts, limit: asyncio.Timeout
    ) -> _Sending | None:
        """Read what of the body can be kept; None if the caller broke it off."""
        body = request.exchange.body
        if not body.exhausted:
            await request.exchange.send_continue()
        try:
            replay = await body.read_up_to(REPLAY_LIMIT)
        except BodyTruncated:
            return None
        assert request.configuration is not None
        pool = request.configuration.services[call.service].pool
        has_more = not body.exhausted
        by_routes = self._settings.by_routes
        guard = SendGuard(self._quarantine, self._unix, call, by_routes=by_routes)
        return _Sending(request, call, pool, attempts, guard, limit, replay, has_more)

    async def _try_all(self, sending: _Sending) -> None:
        attempts = sending.attempts
        head = sending.request.exchange.head
        again = True
        while again:
            refusal = sending.guard.refusal(head, sending.replay)
            if refusal is not None:
                self._log_held(sending)
                attempts.last = refusal
                return
            peers = self._view.peers(sending.pool)
            upstreams = [peer.upstream for peer in peers]
            chosen = attempts.next(upstreams, self._clock())
            if chosen is None:
                return
            peer = next(peer for peer in peers if peer.upstream is chosen.upstream)
            outcome = await self._send(sending, chosen, peer)
            self._log_try(sending, chosen, outcome)
            sending.guard.on_outcome(outcome)
            if isinstance(outcome, Replaced):
                continue  # the attempts have counted it, and paid for the next
            again = attempts.ended(outcome) and not sending.request.exchange.started

    @staticmethod
    def _log_held(sending: _Sending) -> None:
        """Tell operators which request it is: the fingerprint alone does not say."""
        call = sending.call
        head = sending.request.exchange.head
        fingerprint = sending.guard.fingerprint
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

    async def _send(self, sending: _Sending, chosen: Try, peer: Peer) -> Outcome | Replaced:
        """One try, from its connection to its outcome."""
        kind = "first" if sending.attempts.tries == 1 else "retry"
        self._metrics.sends.inc({"service": sending.call.service, "try": kind})
        upstream = peer.upstream
        upstream.on_sent()
        try:
            connection = await peer.connections.acquire(self._connect_timeout(sending.call))
            if connection is None:
                upstream.on_unreachable(self._clock(), self._rng)
                return NO_PEER_CONNECTION
            try:
                return await self._exchange(sending, chosen, peer, connection)
            finally:
                peer.connections.release(connection)
        finally:
            upstream.on_done()

    def _connect_timeout(self, call: Call) -> float:
        """Seconds that a connection may take.

        A call bound by its key can go nowhere else, and what is reported as not run because of
        a slow connection may have run by another send of its key.
        """
        return call.remaining(self._clock()) if call.runs_once_by_key else CONNECT_TIMEOUT

    async def _exchange(
        self, sending: _Sending, chosen: Try, peer: Peer, connection: ClientConnection
    ) -> Outcome | Replaced:
        sending.attempts.on_bytes_sent()
        try:
            await self._send_request(sending, chosen, connection)
            response = await connection.response()
        except BodyTruncated:
            return Unknown(Reason.CANCELLED)
        except ConnectionError:
            peer.upstream.on_failure(self._clock(), self._rng)
            unacknowledged = connection.request_unacknowledged
            return Unknown(Reason.UNACKNOWLEDGED if unacknowledged else Reason.CONNECTION_LOST)
        self._learn(peer, response)
        refusal = self._refusal(response)
        if refusal is not None:
            if refusal.reason in _SERVER_TROUBLE:
                peer.upstream.on_failure(self._clock(), self._rng)
            return refusal
        if sending.attempts.replace_answer(response.head.status):
            return REPLACED
        try:
            held = await response.body.read_up_to(self._settings.answer_hold)
        except BodyTruncated:
            # Nothing of it has gone out yet, so another try may still answer.
            return Unknown(Reason.CONNECTION_LOST)
        # From here on the answer streams; its deadline was for the head.
        sending.limit.reschedule(None)
        outcome = await self._relay(sending.request, response, held)
        if isinstance(outcome, Answered) and outcome.status < SERVER_ERROR:
            sending.guard.on_answer()
        return outcome

    async def _send_request(
        self, sending: _Sending, chosen: Try, connection: ClientConnection
    ) -> None:
        """Send the request; of a long body only what the other end asks for."""
        head = self._peer_head(sending, chosen)
        if not sending.has_more:
            if sending.replay or sending.request.exchange.head.method not in (b"GET", b"HEAD"):
                head.headers.append((b"content-length", b"%d" % len(sending.replay)))
            await connection.start_with_body(head, sending.replay)
            return
        head.headers.append((b"expect", b"100-continue"))
        await connection.start(head)
        if not await connection.wait_continue():
            return
        sending.attempts.can_resend = False
        await connection.write(sending.replay)
        async for chunk in sending.request.exchange.body.chunks():
            await connection.write(chunk)
        await connection.finish()

    def _peer_head(self, sending: _Sending, chosen: Try) -> RequestHead:
        """The head of the request as it goes to the peer, with what its daemon must know."""
        names = self._settings.names
        original = sending.request.exchange.head
        dropped = _NOT_FORWARDED | names.set_by_daemon
        headers = [(name, value) for name, value in original.forwarded() if name not in dropped]
        if names.caller:
            headers.append((names.caller, self._settings.caller))
        headers.append((HOP_HEADER, encode(self._hop(sending.call, chosen))))
        is_whole = not sending.has_more
        headers += sending.guard.headers(original, sending.replay, is_whole=is_whole)
        if sending.request.trace.outgoing is not None:
            headers.append((TRACEPARENT, sending.request.trace.outgoing))
        return RequestHead(original.method, original.target, headers)

    def _hop(self, call: Call, chosen: Try) -> Hop:
        now = self._clock()
        by_routes = self._settings.by_routes
        return Hop(
            workspace="" if by_routes else call.workspace,
            service=call.service,
            kind=call.kind.name,
            repeatable=call.kind.repeatable,
            urgent=call.call_class is CallClass.URGENT,
            remaining=round(call.remaining(now), TIME_DIGITS),
            version=self._view.version,
            entry="" if by_routes else self._settings.daemon,
            key=call.key,
            depth=call.depth,
            max_wait=_bounded(chosen.max_wait),
            target=_bounded(call.target - now),
            hold=_bounded(call.hold_until - now),
        )

    def _learn(self, peer: Peer, response: Response) -> None:
        """Take over what an answer reports: load, bundle version, a failure of the server."""
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
        """Why there is no answer of the backend server in it; None if there is one."""
        value = response.head.get(OUTCOME_HEADER)
        if value is None:
            return Unknown(Reason.CONNECTION_LOST)
        wait = response.head.get(RETRY_AFTER_MS) or b""
        return decode_refusal(value, int(wait) / 1000 if wait.isdigit() else None)

    @staticmethod
    async def _relay(request: EntryRequest, response: Response, held: bytes) -> Outcome:
        """Send the answer on to the caller, to its end."""
        head = ResponseHead(response.head.status, response.head.forwarded())
        head.headers.append((OUTCOME_HEADER, b"answered"))
        request.exchange.start(head)
        try:
            await request.exchange.write(held)
            await request.exchange.relay(response.body)
        except BodyTruncated:
            # The caller sees a broken connection, never a shortened answer that looks whole.
            return Unknown(Reason.CONNECTION_LOST)
        return Answered(head.status)


def _bounded(seconds: float) -> float | None:
    """A bound for the wire, where None means that there is none."""
    return None if seconds == ANY_WAIT else round(seconds, TIME_DIGITS)
