"""The filter chain: a request passes typed filters in the order of one list.

Each filter either returns an outcome or proceeds to the rest. An embedder extends the chain
by putting a filter of its own into the list.
"""

from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass, field
from typing import Protocol

from wheatslip.call import Call
from wheatslip.config.bundle import Service, Workspace
from wheatslip.outcome import Outcome

from wheatslipd.controllers.view import Configuration
from wheatslipd.http.exchange import Exchange
from wheatslipd.telemetry.tracing import HopTrace


@dataclass(slots=True, eq=False)
class EntryRequest:
    """A caller's request on its way through the entry's filters.

    The first two fields are set at the start, the others by the filter named beside each.
    """

    exchange: Exchange
    arrived: float  # seconds, monotonic
    trace: HopTrace = field(default_factory=HopTrace)  # TraceFilter
    configuration: Configuration | None = None  # ReadyFilter: what is in force for this request
    workspace: Workspace | None = None  # IdentifyFilter; None by routes
    service: Service | None = None  # AuthoriseFilter or RouteFilter
    call: Call | None = None  # ClassifyFilter or RouteFilter


Proceed = Callable[[EntryRequest], Awaitable[Outcome]]


class Filter(Protocol):
    """One step of the chain."""

    async def __call__(self, request: EntryRequest, proceed: Proceed) -> Outcome:
        """Handle the request, or pass it on with `proceed`."""
        ...


def build_chain(filters: Sequence[Filter], last: Proceed) -> Proceed:
    """One callable that runs `filters` in order and ends in `last`."""
    proceed = last
    for step in reversed(filters):
        proceed = _bind(step, proceed)
    return proceed


def _bind(step: Filter, proceed: Proceed) -> Proceed:
    async def run(request: EntryRequest) -> Outcome:
        return await step(request, proceed)

    return run
