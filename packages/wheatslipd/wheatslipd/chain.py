"""The filter chain: passes a request through a list of filters in order.

Each filter either returns an outcome or calls the rest of the chain.
"""

from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass, field
from typing import Protocol

from wheatslip.call import Call
from wheatslip.config.bundle import Route, Service, Workspace
from wheatslip.outcome import Outcome

from wheatslipd.controllers.view import Configuration
from wheatslipd.http.exchange import Exchange
from wheatslipd.telemetry.tracing import HopTrace


@dataclass(slots=True, eq=False)
class EntryRequest:
    """A caller's request while it passes through the entry's filters.

    The first two fields are set on creation, the others by the filter named in the comment.
    """

    exchange: Exchange
    arrived_at: float  # seconds, monotonic
    trace: HopTrace = field(default_factory=HopTrace)  # TraceFilter
    configuration: Configuration | None = None  # ReadyFilter; in force for this request
    route: Route | None = None  # SelectRouteFilter; None if there is no such route
    workspace: Workspace | None = None  # IdentifyFilter; None if nobody was identified
    service: Service | None = None  # AuthoriseFilter or RouteFilter
    call: Call | None = None  # ClassifyFilter or RouteFilter


Proceed = Callable[[EntryRequest], Awaitable[Outcome]]


class Filter(Protocol):
    """One filter of the chain."""

    async def __call__(self, request: EntryRequest, proceed: Proceed) -> Outcome:
        """Handle the request, or call `proceed` to pass it to the rest of the chain."""
        ...


def build_chain(filters: Sequence[Filter], last: Proceed) -> Proceed:
    """Return a callable that runs `filters` in order and then `last`."""
    proceed = last
    for filter_ in reversed(filters):
        proceed = _bind_filter(filter_, proceed)
    return proceed


def _bind_filter(filter_: Filter, proceed: Proceed) -> Proceed:
    async def run(request: EntryRequest) -> Outcome:
        return await filter_(request, proceed)

    return run
