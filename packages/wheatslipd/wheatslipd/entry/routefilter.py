"""The filters of the routes interface; `route_filters` returns them in chain order.

The route is selected first, because it tells whether the request needs a credential.
"""

from dataclasses import dataclass, field
from math import isfinite
from random import Random

from wheatslip.call import COMMON_RANK, Call, CallClass, Rank, RequestKind
from wheatslip.callerwait import CallerWait
from wheatslip.config.bundle import Route
from wheatslip.config.routes import pick_service
from wheatslip.outcome import NotRun, Outcome, Reason
from wheatslip.retryafter import NO_SUCH_SERVICE

from wheatslipd.chain import EntryRequest, Filter, Proceed
from wheatslipd.entry.filters import IdentifyFilter
from wheatslipd.http.identity import host_of, path_of
from wheatslipd.http.messages import MILLISECONDS_PER_SECOND, RequestHead
from wheatslipd.identification import HeaderIdentification, classify_identified
from wheatslipd.settings import HeaderNames


class SelectRouteFilter:
    """Selects the route by the host and path of a request."""

    async def __call__(self, request: EntryRequest, proceed: Proceed) -> Outcome:
        """Set the route, if there is one; refuse invalid requests."""
        assert request.configuration is not None
        head = request.exchange.head
        host = host_of(head)
        path = path_of(head)
        if host is None or not path.startswith("/"):
            return NotRun(Reason.BAD_REQUEST)
        request.route = request.configuration.routes.find(host, path)
        return await proceed(request)


@dataclass(slots=True)
class RouteFilter:
    """Builds the `Call` of a request from its route."""

    names: HeaderNames
    identification: HeaderIdentification
    rng: Random
    caller_wait: CallerWait = field(default_factory=CallerWait)

    async def __call__(self, request: EntryRequest, proceed: Proceed) -> Outcome:
        """Set the service and the call; refuse invalid requests."""
        assert request.configuration is not None
        route = request.route
        if route is None:
            return NotRun(Reason.NO_ROUTE)
        request.service = request.configuration.services.get(pick_service(route, self.rng))
        if request.service is None:
            return NO_SUCH_SERVICE
        remaining = self._read_remaining(request.exchange.head, route)
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
        call_class, rank = self._classify(request, route)
        arrived_at = request.arrived_at
        target = min(route.target or route.timeout, allowed_seconds)
        request_id = request.exchange.head.get(self.names.request_id) or b""
        return Call(
            workspace=request.workspace.name
            if request.workspace
            else request.service.workspace,
            service=request.service.name,
            kind=RequestKind(route.name, route.repeatable, call_class),
            deadline=arrived_at + allowed_seconds,
            target=arrived_at + target - waited_seconds,
            hold_until=arrived_at + target,
            max_attempts=route.max_attempts,
            request_id=request_id.decode("latin-1"),
            rank=rank,
        )

    def _classify(self, request: EntryRequest, route: Route) -> tuple[CallClass, Rank]:
        """Where credentials are required, calls without a workspace are those that backend
        servers make: the work of the request that made them is already spent.
        """
        assert request.configuration is not None
        if request.workspace is not None:
            return classify_identified(request.workspace, route)
        is_required = self.identification.is_required(request.configuration)
        is_urgent = is_required or route.priority == 0
        return CallClass.URGENT if is_urgent else CallClass.NORMAL, COMMON_RANK

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


def route_filters(
    names: HeaderNames,
    identification: HeaderIdentification,
    rng: Random,
) -> list[Filter]:
    """The filters of the routes interface; the order matters."""
    return [
        SelectRouteFilter(),
        IdentifyFilter(identification),
        RouteFilter(names, identification, rng),
    ]
