"""The entry's filters. `common_filters` and `workspace_filters` list them in their order."""

import asyncio
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass

from wheatslip.call import Call, RequestKind
from wheatslip.config.bundle import Service, credential_digest
from wheatslip.ledger import key_time
from wheatslip.outcome import Answered, NotRun, Outcome, Reason
from wheatslip.retryafter import NOT_CONFIGURED, STOPPING

from wheatslipd.chain import EntryRequest, Filter, Proceed
from wheatslipd.controllers.view import View
from wheatslipd.http.messages import MILLISECONDS_PER_SECOND, RequestHead
from wheatslipd.telemetry import logs
from wheatslipd.telemetry.metrics import Metrics
from wheatslipd.telemetry.outcometext import describe
from wheatslipd.telemetry.tracing import TRACEPARENT, HopTracer

SERVICE_HEADER = b"wheatslip-service"
KIND_HEADER = b"wheatslip-kind"
KEY_HEADER = b"wheatslip-key"
DEADLINE_HEADER = b"wheatslip-deadline-ms"
DEPTH_HEADER = b"wheatslip-depth"
MAX_DEPTH = 16  # calls in a chain; a longer one is most likely a loop.
BEARER = b"Bearer "
# Methods that HTTP defines as safe: repeatable unless the caller names a kind.
SAFE_METHODS = frozenset({b"GET", b"HEAD", b"OPTIONS"})
READ_ONLY = RequestKind("read", repeatable=True)
ONCE = RequestKind("once", repeatable=False)


@dataclass(slots=True)
class TraceFilter:
    """Begins and ends the entry's span."""

    tracer: HopTracer

    async def __call__(self, request: EntryRequest, proceed: Proceed) -> Outcome:
        """Trace the rest of the chain."""
        incoming = request.exchange.head.get(TRACEPARENT)
        request.trace = self.tracer.hop("entry", incoming, may_start_trace=True)
        try:
            outcome = await proceed(request)
            request.trace.set("wheatslip.outcome", describe(outcome))
            return outcome
        finally:
            request.trace.end()


@dataclass(slots=True)
class CountFilter:
    """Counts and logs the outcome of each request."""

    metrics: Metrics
    clock: Callable[[], float]

    async def __call__(self, request: EntryRequest, proceed: Proceed) -> Outcome:
        """Count the outcome of the rest of the chain."""
        outcome = await proceed(request)
        workspace = request.workspace.name if request.workspace else "-"
        service = request.service.name if request.service else "-"
        took = self.clock() - request.arrived_at
        labels = {"workspace": workspace, "service": service, "outcome": describe(outcome)}
        self.metrics.requests.inc(labels)
        self.metrics.request_seconds.observe({"service": service}, took)
        if not isinstance(outcome, Answered):
            logs.debug(
                "request-not-answered",
                workspace=workspace,
                service=service,
                outcome=describe(outcome),
                seconds=round(took, 4),
            )
        return outcome


@dataclass(slots=True)
class ReadyFilter:
    """Refuses everything while no configuration is in force or the daemon stops.

    Load pattern: after a loss of power all callers send at once, while each daemon waits for
    the answers to its first reads. Requests that come in these moments wait with it: refused, a
    caller would come back only after a third of its time.
    """

    view: View
    clock: Callable[[], float]

    async def __call__(self, request: EntryRequest, proceed: Proceed) -> Outcome:
        """Fix the configuration that the request is served under."""
        if self.view.closed:
            return STOPPING
        if not self.view.known.is_set():
            await self._wait_for_start()
        if self.view.configuration is None or self.view.drains is None:
            return NOT_CONFIGURED
        request.configuration = self.view.configuration
        return await proceed(request)

    async def _wait_for_start(self) -> None:
        """Wait until what requests need is known, as long as that is expected."""
        left = self.view.expected_until - self.clock()
        with suppress(TimeoutError):
            async with asyncio.timeout(max(0.0, left)):
                await self.view.known.wait()


class IdentifyFilter:
    """Finds the workspace by its credential, and by nothing else."""

    async def __call__(self, request: EntryRequest, proceed: Proceed) -> Outcome:
        """Set the workspace."""
        assert request.configuration is not None
        value = request.exchange.head.get(b"authorization") or b""
        if not value.startswith(BEARER):
            return NotRun(Reason.UNAUTHENTICATED)
        credential = value[len(BEARER) :].decode("ascii", "replace").strip()
        request.workspace = request.configuration.workspace_of(credential_digest(credential))
        if request.workspace is None:
            return NotRun(Reason.UNAUTHENTICATED)
        return await proceed(request)


class AuthoriseFilter:
    """Finds the service, if the workspace may call it."""

    async def __call__(self, request: EntryRequest, proceed: Proceed) -> Outcome:
        """Set the service. One that is not the workspace's to call does not exist for it."""
        assert request.configuration is not None and request.workspace is not None
        name = (request.exchange.head.get(SERVICE_HEADER) or b"").decode("ascii", "replace")
        service = request.configuration.services.get(name)
        if service is None or not _may_call(request.workspace.name, service):
            return NotRun(Reason.NO_SUCH_SERVICE)
        request.service = service
        return await proceed(request)


@dataclass(slots=True)
class ClassifyFilter:
    """Reads kind, key and deadline into a `Call`."""

    clock: Callable[[], float]

    async def __call__(self, request: EntryRequest, proceed: Proceed) -> Outcome:
        """Set the call, or refuse what can't be read."""
        assert request.workspace is not None and request.service is not None
        head = request.exchange.head
        kind = _kind(head, request.service)
        allowed = _allowed_seconds(head, request.service.max_deadline)
        depth = _depth(head)
        key = (head.get(KEY_HEADER) or b"").decode("ascii", "replace")
        if kind is None or allowed is None or depth is None:
            return NotRun(Reason.BAD_REQUEST)
        if key and key_time(key) is None:
            return NotRun(Reason.BAD_REQUEST)
        if allowed <= 0:
            return NotRun(Reason.DEADLINE)
        request.call = Call(
            workspace=request.workspace.name,
            service=request.service.name,
            kind=kind,
            deadline=request.arrived_at + allowed,
            key=key,
            depth=depth,
        )
        return await proceed(request)


def common_filters(
    view: View, metrics: Metrics, tracer: HopTracer, clock: Callable[[], float]
) -> list[Filter]:
    """What each entry's chain begins with; the order matters."""
    return [TraceFilter(tracer), CountFilter(metrics, clock), ReadyFilter(view, clock)]


def workspace_filters(clock: Callable[[], float]) -> list[Filter]:
    """How the entry reads requests that carry a workspace's credential; the order matters."""
    return [IdentifyFilter(), AuthoriseFilter(), ClassifyFilter(clock)]


def _may_call(workspace: str, service: Service) -> bool:
    return workspace == service.workspace or workspace in service.callers


def _kind(head: RequestHead, service: Service) -> RequestKind | None:
    name = head.get(KIND_HEADER)
    if name is None:
        return READ_ONLY if head.method in SAFE_METHODS else ONCE
    kind = service.kind(name.decode("ascii", "replace"))
    return kind.as_request_kind() if kind else None


def _allowed_seconds(head: RequestHead, most: float) -> float | None:
    value = head.get(DEADLINE_HEADER)
    if value is None:
        return most
    try:
        milliseconds = int(value)
    except ValueError:
        return None
    return min(most, milliseconds / MILLISECONDS_PER_SECOND)


def _depth(head: RequestHead) -> int | None:
    value = head.get(DEPTH_HEADER)
    if value is None:
        return 0
    if not value.isdigit() or int(value) > MAX_DEPTH:
        return None
    return int(value)
