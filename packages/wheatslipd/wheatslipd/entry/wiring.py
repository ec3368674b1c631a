"""Builds the entry of a daemon and its filter chain from the settings."""

from wheatslip.budget import RetryBudgets
from wheatslip.chooser import Chooser
from wheatslip.distribution.feedcache import FeedCache

from wheatslipd.chain import build_chain
from wheatslipd.confirmation import ConfirmationLimit
from wheatslipd.entry.answermemory import AnswerMemory
from wheatslipd.entry.entry import Entry
from wheatslipd.entry.filters import StopFilter, common_filters, workspace_filters
from wheatslipd.entry.forward import Forwarder, ForwardSettings, RoutingPolicy
from wheatslipd.entry.quotafilter import QuotaFilter
from wheatslipd.entry.routefilter import route_filters
from wheatslipd.identification import BearerIdentification, HeaderIdentification
from wheatslipd.quota.client import QuotaClient
from wheatslipd.settings import Interface, Settings
from wheatslipd.shared import SharedState
from wheatslipd.telemetry.tracing import HopTracer


def build_entry(
    settings: Settings,
    shared: SharedState,
    chooser: Chooser,
    tracer: HopTracer,
    cache: FeedCache,
    confirmation_limit: ConfirmationLimit,
    quota: QuotaClient,
) -> Entry:
    """Build the entry; the retry budgets depend on the number of listed instances."""
    by_routes = settings.interface is Interface.ROUTES
    clock = shared.monotonic
    forward_settings = ForwardSettings(
        settings.name,
        settings.pool.encode(),
        settings.headers,
        by_routes,
        settings.naming,
    )
    budgets = RetryBudgets(
        fleet=settings.fleet_budget,
        members=lambda: len(cache.instances),
        started=clock(),
    )
    forwarder = Forwarder(
        forward_settings,
        RoutingPolicy(chooser, budgets, shared.quarantine),
        shared.view,
        shared.metrics,
        clock,
        shared.unix,
        shared.hint_newer_version,
        AnswerMemory(settings.answer_hold),
    )
    filters = common_filters(shared.view, shared.metrics, tracer, clock)
    if by_routes:
        names = settings.headers
        by_header = HeaderIdentification(names.credential, confirmation_limit)
        filters += route_filters(names, by_header, shared.rng)
    else:
        filters += workspace_filters(BearerIdentification(confirmation_limit), clock)
    filters.append(StopFilter(shared.view))
    filters.append(QuotaFilter(quota, shared.metrics, clock))
    return Entry(build_chain(filters, forwarder), clock, by_routes=by_routes)
