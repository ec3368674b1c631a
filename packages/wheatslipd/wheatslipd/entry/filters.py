"""The entry's filters; `common_filters` and `workspace_filters` return them in chain order."""

import asyncio
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass

from wheatslip.call import Call, Rank, RequestKind
from wheatslip.config.bundle import Service
from wheatslip.ledger import key_time
from wheatslip.outcome import Answered, NotRun, Outcome, Reason
from wheatslip.retryafter import NOT_CONFIGURED, STOPPING

from wheatslipd.chain import EntryRequest, Filter, Proceed
from wheatslipd.controllers.view import View
from wheatslipd.http.messages import MILLISECONDS_PER_SECOND, RequestHead
from wheatslipd.identification import Identification
from wheatslipd.telemetry import logs
from wheatslipd.telemetry.metrics import Metrics
from wheatslipd.telemetry.outcometext import describe
from wheatslipd.telemetry.tracing import TRACEPARENT, HopTracer

SERVICE_HEADER = b"wheatslip-service"
KIND_HEADER = b"wheatslip-kind"
KEY_HEADER = b"wheatslip-key"
DEADLINE_HEADER = b"wheatslip-deadline-ms"
DEPTH_HEADER = b"wheatslip-depth"
MAX_DEPTH = 16  # nested calls; a longer chain is probably a loop
# Safe methods of HTTP: their requests are repeatable unless the caller names a kind.
SAFE_METHODS = frozenset({b"GET", b"HEAD", b"OPTIONS"})
READ_KIND = RequestKind("read", repeatable=True)
ONCE_KIND = RequestKind("once", repeatable=False)


@dataclass(slots=True)
class TraceFilter:
    """Records the entry's tracing span."""

    tracer: HopTracer

    async def __call__(self, request: EntryRequest, proceed: Proceed) -> Outcome:
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
        outcome = await proceed(request)
        workspace = request.workspace.name if request.workspace else "-"
        service = request.service.name if request.service else "-"
        elapsed = self.clock() - request.arrived_at
        labels = {"workspace": workspace, "service": service, "outcome": describe(outcome)}
        self.metrics.requests.inc(labels)
        self.metrics.request_seconds.observe({"service": service}, elapsed)
        if not isinstance(outcome, Answered):
            logs.debug(
                "request-not-answered",
                workspace=workspace,
                service=service,
                outcome=describe(outcome),
                seconds=round(elapsed, 4),
            )
        return outcome


@dataclass(slots=True)
class ReadyFilter:
    """Refuses requests while the daemon has no configuration.

    Requests that arrive during startup wait for the configuration, because a refused caller
    would lose a large part of its deadline before it retries.
    """

    view: View
    clock: Callable[[], float]

    async def __call__(self, request: EntryRequest, proceed: Proceed) -> Outcome:
        """Set the configuration, which stays the same for the whole request."""
        if not self.view.initialized.is_set():
            await self._wait_until_ready()
        if self.view.configuration is None or self.view.drains is None:
            return NOT_CONFIGURED
        request.configuration = self.view.configuration
        return await proceed(request)

    async def _wait_until_ready(self) -> None:
        """Wait for configuration and zone drains, until the expected end of startup."""
        remaining = self.view.startup_deadline - self.clock()
        with suppress(TimeoutError):
            async with asyncio.timeout(max(0.0, remaining)):
                await self.view.initialized.wait()


@dataclass(slots=True)
class IdentifyFilter:
    """Identifies the workspace by the request's credential."""

    identification: Identification

    async def __call__(self, request: EntryRequest, proceed: Proceed) -> Outcome:
        """Set the workspace; refuse a request whose credential is missing or not valid."""
        assert request.configuration is not None
        identified = self.identification.identify(
            request.exchange.head, request.configuration, request.route
        )
        if isinstance(identified, NotRun):
            return identified
        request.workspace = identified
        return await proceed(request)


class AuthoriseFilter:
    """Selects the service, if the workspace may call it."""

    async def __call__(self, request: EntryRequest, proceed: Proceed) -> Outcome:
        """Set the service; one that the workspace may not call is reported as not found."""
        assert request.configuration is not None and request.workspace is not None
        name = (request.exchange.head.get(SERVICE_HEADER) or b"").decode("ascii", "replace")
        service = request.configuration.services.get(name)
        if service is None or not _may_call(request.workspace.name, service):
            return NotRun(Reason.NO_SUCH_SERVICE)
        request.service = service
        return await proceed(request)


@dataclass(slots=True)
class ClassifyFilter:
    """Builds the `Call` from the request's kind, key, deadline and depth headers."""

    clock: Callable[[], float]

    async def __call__(self, request: EntryRequest, proceed: Proceed) -> Outcome:
        """Set the call; refuse invalid headers."""
        assert request.workspace is not None and request.service is not None
        head = request.exchange.head
        kind = _read_kind(head, request.service)
        allowed_seconds = _read_allowed_seconds(head, request.service.max_deadline)
        depth = _read_depth(head)
        key = (head.get(KEY_HEADER) or b"").decode("ascii", "replace")
        if kind is None or allowed_seconds is None or depth is None:
            return NotRun(Reason.BAD_REQUEST)
        if key and key_time(key) is None:
            return NotRun(Reason.BAD_REQUEST)
        if allowed_seconds <= 0:
            return NotRun(Reason.DEADLINE)
        request.call = Call(
            workspace=request.workspace.name,
            service=request.service.name,
            kind=kind,
            deadline=request.arrived_at + allowed_seconds,
            key=key,
            depth=depth,
            rank=Rank(request.workspace.priority or 0),
        )
        return await proceed(request)


@dataclass(slots=True)
class StopFilter:
    """Refuses requests that may outlast the stop of this daemon, which would cut them off.

    They come on connections that were open when it stopped listening.
    """

    view: View

    async def __call__(self, request: EntryRequest, proceed: Proceed) -> Outcome:
        assert request.call is not None
        if request.call.deadline > self.view.stop_ends_at:
            return STOPPING
        return await proceed(request)


def common_filters(
    view: View, metrics: Metrics, tracer: HopTracer, clock: Callable[[], float]
) -> list[Filter]:
    """The first filters of every entry's chain; the order matters."""
    return [TraceFilter(tracer), CountFilter(metrics, clock), ReadyFilter(view, clock)]


def workspace_filters(
    identification: Identification, clock: Callable[[], float]
) -> list[Filter]:
    """The filters of the workspace interface; the order matters."""
    return [IdentifyFilter(identification), AuthoriseFilter(), ClassifyFilter(clock)]


def _may_call(workspace: str, service: Service) -> bool:
    return workspace == service.workspace or workspace in service.callers


def _read_kind(head: RequestHead, service: Service) -> RequestKind | None:
    name = head.get(KIND_HEADER)
    if name is None:
        return READ_KIND if head.method in SAFE_METHODS else ONCE_KIND
    kind = service.kind(name.decode("ascii", "replace"))
    return kind.as_request_kind() if kind else None


def _read_allowed_seconds(head: RequestHead, max_seconds: float) -> float | None:
    value = head.get(DEADLINE_HEADER)
    if value is None:
        return max_seconds
    try:
        milliseconds = int(value)
    except ValueError:
        return None
    return min(max_seconds, milliseconds / MILLISECONDS_PER_SECOND)


def _read_depth(head: RequestHead) -> int | None:
    value = head.get(DEPTH_HEADER)
    if value is None:
        return 0
    if not value.isdigit() or int(value) > MAX_DEPTH:
        return None
    return int(value)
