"""Metrics of the daemon as aioprometheus collectors; docs/OPERATIONS.md lists them."""

from aioprometheus import Counter, Gauge, Histogram, Registry
from aioprometheus.formats import text

# Upper bounds of the histogram buckets, in seconds.
LATENCY_BUCKETS = [0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0]
MAX_PRIORITY_LABEL = 9  # larger priorities share a label, because peers may send any number


def priority_label(priority: int) -> str:
    """The label of a route priority."""
    return str(priority) if priority <= MAX_PRIORITY_LABEL else f">{MAX_PRIORITY_LABEL}"


class Metrics:
    """The collectors of one daemon."""

    def __init__(self, instance: str, zone: str):
        labels = {"instance": instance, "zone": zone}
        self.registry = Registry()

        def counter(name: str, doc: str) -> Counter:
            return Counter(name, doc, const_labels=labels, registry=self.registry)

        def gauge(name: str, doc: str) -> Gauge:
            return Gauge(name, doc, const_labels=labels, registry=self.registry)

        def histogram(name: str, doc: str) -> Histogram:
            return Histogram(
                name,
                doc,
                const_labels=labels,
                registry=self.registry,
                buckets=LATENCY_BUCKETS,
            )

        self.requests = counter(
            "wheatslip_requests_total", "Requests by workspace, service, outcome and reason"
        )
        self.request_seconds = histogram(
            "wheatslip_request_seconds",
            "Time from a request's head to the end of its answer, by service",
        )
        self.sends = counter(
            "wheatslip_sends_total",
            "Tries sent to upstreams, by service and try (first, retry)",
        )
        self.admissions = counter(
            "wheatslip_admissions_total", "Requests at the local gate, by outcome and reason"
        )
        self.priority_admissions = counter(  # has values only where calls have ranks
            "wheatslip_priority_admissions_total",
            "Starts and refusals at the local gate, by priority of the route and outcome",
        )
        self.server_ends = counter(
            "wheatslip_server_ends_total",
            "Ends of the local backend server while it ran requests",
        )
        self.held_requests = gauge(
            "wheatslip_held_requests",
            "Requests refused because servers end when they run them",
        )
        self.suspects = gauge(
            "wheatslip_suspects",
            "Requests under which servers have ended, the held ones included",
        )
        self.in_flight = gauge("wheatslip_in_flight", "Requests at the local backend server")
        self.queued = gauge("wheatslip_queued", "Requests waiting at the local gate")
        self.limit = gauge("wheatslip_limit", "Concurrency limit of the local backend server")
        self.probes = counter(
            "wheatslip_probes_total", "Active measurements of the local backend server"
        )
        self.probe_seconds = counter(
            "wheatslip_probe_seconds_total",
            "Time the local backend server spent on them",
        )
        self.unmatched_responses = counter(
            "wheatslip_unmatched_responses_total",
            "Responses of the local backend server without the name of the request that waits, "
            "by what waits (request, check, nothing), by what they show (a-name, no-name), and "
            "whether they were taken as the answer",
        )
        self.platform_calls = counter("wheatslip_platform_calls_total", "Calls to the platform")
        self.unreadable_entries = counter(
            "wheatslip_unreadable_entries_total",
            "Entries at the platform that could not be read or used, at each read of them",
        )
        self.relay_bytes = counter(
            "wheatslip_relay_bytes_total", "Bytes of control messages sent to followers"
        )
        self.bundle_version = gauge("wheatslip_bundle_version", "Bundle version in force here")
        self.zones_drained = gauge(
            "wheatslip_zones_drained", "Availability zones that operators have emptied"
        )
        self.cold = gauge(
            "wheatslip_cold", "Whether the local backend server is held to its cold rate"
        )
        self.named_limit = gauge(
            "wheatslip_named_limit",
            "Requests per second that the local backend server has named as its limit; 0: none",
        )
        self.head_age = gauge(
            "wheatslip_head_age_seconds",
            "Since the platform last confirmed the version in force",
        )
        self.unconfirmed_refusals = counter(
            "wheatslip_unconfirmed_refusals_total",
            "Requests with a credential refused because the configuration was not confirmed",
        )
        self.quota_requests = counter(
            "wheatslip_quota_requests_total",
            "Requests of workspaces with a limit, by workspace and outcome "
            "(used, returned, refused, deadline)",
        )
        self.quota_ask_seconds = histogram(
            "wheatslip_quota_ask_seconds",
            "Time of an ask for tokens, until an owner of the limit has answered",
        )
        self.quota_share = gauge(
            "wheatslip_quota_share",
            "Share of limits that this daemon grants as a primary, by the daemons in touch",
        )
        self.loop_lag_seconds = histogram(
            "wheatslip_loop_lag_seconds",
            "How late the event loop runs a timer, measured four times a second",
        )
        self.key_records = gauge("wheatslip_key_records", "Request keys remembered here")
        self.connections = gauge("wheatslip_connections", "Open connections, by port")
        self.out_of_bounds = gauge(
            "wheatslip_out_of_bounds_total",
            "Connections closed and requests refused because of a bound, by port and why",
        )
        self.request_memory = gauge(
            "wheatslip_request_memory_bytes",
            "Memory reserved for requests with large heads or bodies",
        )

    def render(self) -> bytes:
        """Render all collectors in the Prometheus text format."""
        return text.TextFormatter().marshall(self.registry)
