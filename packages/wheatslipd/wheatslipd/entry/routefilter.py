"""The filter of the routes interface: selects a route by the host and path of a request."""

from collections.abc import Callable
from dataclasses import dataclass, field
from math import isfinite
from random import Random

from wheatslip.call import Call, CallClass, RequestKind
from wheatslip.callerwait import CallerWait
from wheatslip.config.bundle import Route
from wheatslip.config.routes import pick_service
from wheatslip.outcome import NotRun, Outcome, Reason
from wheatslip.retryafter import NO_SUCH_SERVICE

from wheatslipd.chain import EntryRequest, Proceed
from wheatslipd.http.identity import host_of
from wheatslipd.http.messages import MILLISECONDS_PER_SECOND, RequestHead
from wheatslipd.settings import HeaderNames


@dataclass(slots=True)
class RouteFilter:
    """Builds the `Call` of a request from its route."""

    names: HeaderNames
    clock: Callable[[], float]
    rng: Random
    caller_wait: CallerWait = field(default_factory=CallerWait)

    async def __call__(self, request: EntryRequest, proceed: Proceed) -> Outcome:
        """Set the service and the call; refuse invalid requests."""
        assert request.configuration is not None
        head = request.exchange.head
        host = host_of(head)
        path = head.target.partition(b"?")[0].decode("ascii", "replace")
        if host is None or not path.startswith("/"):
            return NotRun(Reason.BAD_REQUEST)
        route = request.configuration.routes.find(host, path)
        if route is None:
            return NotRun(Reason.NO_ROUTE)
        request.service = request.configuration.services.get(pick_service(route, self.rng))
        if request.service is None:
            return NO_SUCH_SERVICE
        remaining = self._read_remaining(head, route)
        if remaining is None:
            return NotRun(Reason.BAD_REQUEST)
        if remaining <= 0:
            return NotRun(Reason.DEADLINE)
        request.call = self._build_call(request, route, remaining)
        return await proceed(request)

    def _build_call(self, request: EntryRequest, route: Route, remaining: float) -> Call:
        assert request.service is not None
        allowed_seconds = min(route.timeout, remaining)
        waited_seconds = self.caller_wait.elapsed_wait(
            route.name, remaining, request.arrived_at
        )
        is_urgent = route.priority == 0
        call_class = CallClass.URGENT if is_urgent else CallClass.NORMAL
        arrived_at = request.arrived_at
        target = min(route.target or route.timeout, allowed_seconds)
        request_id = request.exchange.head.get(self.names.request_id) or b""
        return Call(
            workspace=request.service.workspace,
            service=request.service.name,
            kind=RequestKind(route.name, route.repeatable, call_class),
            deadline=arrived_at + allowed_seconds,
            target=arrived_at + target - waited_seconds,
            hold_until=arrived_at + target,
            max_attempts=route.max_attempts,
            request_id=request_id.decode("latin-1"),
        )

    def _read_remaining(self, head: RequestHead, route: Route) -> float | None:
        """Seconds until the caller's deadline; None if the deadline header is invalid."""
        value = head.get(self.names.deadline) if self.names.deadline else None
        if value is None:
            return route.timeout
        try:
            milliseconds = float(value)
        except ValueError:
            return None
        return milliseconds / MILLISECONDS_PER_SECOND if isfinite(milliseconds) else None
