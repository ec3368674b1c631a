"""The end of the entry's chain: choose a backend server, send, retry what may be retried."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from wheatslip.budget import RetryBudgets
from wheatslip.call import Call, CallClass
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
from wheatslip.owners import owner

from wheatslipd.answers import RETRY_AFTER_MS
from wheatslipd.chain import EntryRequest
from wheatslipd.http.body import BodyBroken
from wheatslipd.http.client import ClientConnection, Response
from wheatslipd.http.messages import RequestHead, ResponseHead
from wheatslipd.metrics import Metrics
from wheatslipd.tracing import TRACEPARENT
from wheatslipd.view import Peer, View

REPLAY_LIMIT = 64 * 1024  # a body up to this size is kept, so that it can be sent again
CONNECT_TIMEOUT = 0.25  # seconds
MAX_TRIES = 4
# Refusals cost the backend server nothing; after these a request queues where it is sent.
MAX_BOUNCES = 2


@dataclass(slots=True, eq=False)
class _Attempt:
    """What the tries of one request share."""

    request: EntryRequest
    call: Call
    replay: bytes  # the body as far as it was read
    has_more: bool  # whether the body goes on behind `replay`
    tries: int = 0
    tried: frozenset[str] = frozenset()
    body_sent: bool = False
    may_bounce: bool = False
    # The outcome to report while a try may have run and no answer has come.
    doubt: Unknown | None = None


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
        on_newer_version: Callable[[int], None],
    ):
        self._view = view
        self._name = name
        self._chooser = chooser
        self._metrics = metrics
        self._rng = rng
        self._clock = clock
        self._on_newer_version = on_newer_version
        self._budgets = RetryBudgets()

    async def __call__(self, request: EntryRequest) -> Outcome:
        """Run the request to its outcome, within its deadline."""
        call = request.call
        assert call is not None
        attempt = await self._prepare(request, call)
        if attempt is None:
            return NotRun(Reason.BAD_REQUEST)
        self._budgets.of(call.workspace, call.service).on_request()
        try:
            async with asyncio.timeout(max(0.0, call.remaining(self._clock()))) as limit:
                outcome = await self._try_all(attempt, limit)
        except TimeoutError:
            outcome = NotRun(Reason.DEADLINE)
            if attempt.doubt is not None:
                attempt.doubt = Unknown(Reason.DEADLINE)
        if isinstance(outcome, NotRun) and attempt.doubt is not None:
            # The last try did not run, but an earlier one may have.
            return attempt.doubt
        return outcome

    async def _prepare(self, request: EntryRequest, call: Call) -> _Attempt | None:
        """Read what of the body can be kept; None if the caller broke it off."""
        body = request.exchange.body
        if not body.exhausted:
            await request.exchange.send_continue()
        try:
            replay = await body.read_up_to(REPLAY_LIMIT)
        except BodyBroken:
            return None
        return _Attempt(request, call, replay, has_more=not body.exhausted)

    async def _try_all(self, attempt: _Attempt, limit: asyncio.Timeout) -> Outcome:
        outcome: Outcome = NotRun(Reason.NO_UPSTREAM, retry_after=1.0)
        while attempt.tries < MAX_TRIES:
            peer = self._pick(attempt)
            if peer is None:
                return outcome
            attempt.tries += 1
            attempt.tried |= {peer.instance.name}
            attempt.may_bounce = self._may_bounce(attempt)
            outcome = await self._send(attempt, peer, limit)
            if not self._may_try_again(attempt, outcome):
                return outcome
        return outcome

    def _pick(self, attempt: _Attempt) -> Peer | None:
        peers = self._peers(attempt)
        if _is_keyed(attempt.call):
            return self._owner_of(attempt.call, peers, attempt)
        upstreams = [peer.upstream for peer in peers]
        chosen = self._chooser.pick(upstreams, self._clock(), attempt.tried)
        if chosen is None:
            return None
        return next(peer for peer in peers if peer.upstream is chosen)

    def _may_bounce(self, attempt: _Attempt) -> bool:
        """Whether the next upstream may refuse rather than queue: others are left to try."""
        if attempt.tries > MAX_BOUNCES or _is_keyed(attempt.call):
            return False
        upstreams = [peer.upstream for peer in self._peers(attempt)]
        return self._chooser.has_choice(upstreams, self._clock(), attempt.tried)

    def _peers(self, attempt: _Attempt) -> tuple[Peer, ...]:
        configuration = attempt.request.configuration
        assert configuration is not None
        pool = configuration.services[attempt.call.service].pool
        return self._view.membership.peers(pool)

    @staticmethod
    def _owner_of(call: Call, peers: tuple[Peer, ...], attempt: _Attempt) -> Peer | None:
        """A keyed request that may run once goes to the key's owner, and nowhere else."""
        if attempt.tries:
            return None
        name = owner(f"{call.workspace}/{call.key}", [p.instance.name for p in peers])
        return next((peer for peer in peers if peer.instance.name == name), None)

    def _may_try_again(self, attempt: _Attempt, outcome: Outcome) -> bool:
        if isinstance(outcome, Answered) or attempt.request.exchange.started:
            return False
        if attempt.has_more and attempt.body_sent:
            return False
        if isinstance(outcome, NotRun):
            return outcome.retryable
        if not attempt.call.kind.repeatable:
            return False
        budget = self._budgets.of(attempt.call.workspace, attempt.call.service)
        return budget.take()

    async def _send(self, attempt: _Attempt, peer: Peer, limit: asyncio.Timeout) -> Outcome:
        kind = "first" if attempt.tries == 1 else "retry"
        self._metrics.sends.inc({"service": attempt.call.service, "try": kind})
        upstream = peer.upstream
        upstream.on_sent()
        try:
            connection = await peer.connections.take(CONNECT_TIMEOUT)
            if connection is None:
                upstream.on_failure(self._clock(), self._rng)
                return NotRun(Reason.UNREACHABLE, retry_after=1.0)
            try:
                return await self._exchange(attempt, peer, connection, limit)
            finally:
                peer.connections.give_back(connection)
        finally:
            upstream.on_done()

    async def _exchange(
        self,
        attempt: _Attempt,
        peer: Peer,
        connection: ClientConnection,
        limit: asyncio.Timeout,
    ) -> Outcome:
        started = self._clock()
        earlier_doubt = attempt.doubt
        attempt.doubt = Unknown(Reason.CONNECTION_LOST)
        try:
            await self._send_request(attempt, connection)
            response = await connection.response()
        except BodyBroken:
            return Unknown(Reason.CANCELLED)
        except ConnectionError:
            peer.upstream.on_failure(self._clock(), self._rng)
            return Unknown(Reason.CONNECTION_LOST)
        self._learn(peer, response, started)
        refusal = self._refusal(response)
        if refusal is not None:
            attempt.doubt = earlier_doubt if isinstance(refusal, NotRun) else refusal
            if refusal.reason in (Reason.UNREACHABLE, Reason.CONNECTION_LOST):
                peer.upstream.on_failure(self._clock(), self._rng)
            return refusal
        # From here on the answer streams; its deadline was for the head.
        limit.reschedule(None)
        return await self._relay(attempt.request, response)

    async def _send_request(self, attempt: _Attempt, connection: ClientConnection) -> None:
        head = self._peer_head(attempt)
        if not attempt.has_more:
            if attempt.replay or attempt.request.exchange.head.method not in (b"GET", b"HEAD"):
                head.headers.append((b"content-length", b"%d" % len(attempt.replay)))
            await connection.start_with_body(head, attempt.replay)
            return
        head.headers.append((b"expect", b"100-continue"))
        await connection.start(head, chunked=True, end=False)
        if not await connection.wait_continue():
            return
        attempt.body_sent = True
        await connection.write(attempt.replay, chunked=True)
        async for chunk in attempt.request.exchange.body.chunks():
            await connection.write(chunk, chunked=True)
        await connection.finish(chunked=True)

    def _peer_head(self, attempt: _Attempt) -> RequestHead:
        call = attempt.call
        original = attempt.request.exchange.head
        hop = Hop(
            workspace=call.workspace,
            service=call.service,
            kind=call.kind.name,
            repeatable=call.kind.repeatable,
            urgent=call.kind.call_class is CallClass.URGENT,
            remaining=call.remaining(self._clock()),
            version=self._view.version,
            entry=self._name,
            key=call.key,
            depth=call.depth,
            may_bounce=attempt.may_bounce,
        )
        headers = [
            (name, value)
            for name, value in original.forwarded()
            if name not in (b"authorization", b"content-length", TRACEPARENT)
        ]
        headers.append((HOP_HEADER, encode(hop)))
        if attempt.request.trace.outgoing is not None:
            headers.append((TRACEPARENT, attempt.request.trace.outgoing))
        return RequestHead(original.method, original.target, headers)

    def _learn(self, peer: Peer, response: Response, started: float) -> None:
        now = self._clock()
        value = response.head.get(LOAD_HEADER)
        report = decode_load(value) if value else None
        if report is None:
            return
        peer.upstream.on_report(report, now)
        if report.version > self._view.version:
            self._on_newer_version(report.version)
        if (response.head.get(OUTCOME_HEADER) or b"") == b"answered":
            peer.upstream.on_answer(now - started)

    @staticmethod
    def _refusal(response: Response) -> NotRun | Unknown | None:
        value = response.head.get(OUTCOME_HEADER)
        if value is None:
            return Unknown(Reason.CONNECTION_LOST)
        wait = response.head.get(RETRY_AFTER_MS) or b""
        return decode_refusal(value, int(wait) / 1000 if wait.isdigit() else None)

    @staticmethod
    async def _relay(request: EntryRequest, response: Response) -> Outcome:
        head = ResponseHead(response.head.status, response.head.forwarded())
        head.headers.append((OUTCOME_HEADER, b"answered"))
        request.exchange.start(head)
        try:
            await request.exchange.relay(response.body)
        except BodyBroken:
            # The caller sees a broken connection, never a shortened answer that looks whole.
            return Unknown(Reason.CONNECTION_LOST)
        return Answered(head.status)


def _is_keyed(call: Call) -> bool:
    """Whether the call's key binds it to run at most once."""
    return bool(call.key) and not call.kind.repeatable
