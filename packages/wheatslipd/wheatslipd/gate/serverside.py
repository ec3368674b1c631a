"""The parts between the peer port and the backend server, in the order of a request's way."""

from dataclasses import dataclass

from wheatslip.admission import Admission, AdmissionSettings, ClosedBy
from wheatslip.distribution.feedcache import FeedCache
from wheatslip.ledger import KeyLedger
from wheatslip.owners import OwnerHistory
from wheatslip.slidinglimit import SlidingLimit

from wheatslipd.gate.backend import Backend
from wheatslipd.gate.gate import Gate, SpeedProbing
from wheatslipd.gate.keyguard import KeyGuard
from wheatslipd.gate.measure import Measurer
from wheatslipd.gate.peerport import BackendWay, PeerPort, PeerTerms
from wheatslipd.gate.serverend import ServerEnds
from wheatslipd.gate.speedcheck import SpeedCheck
from wheatslipd.gate.suspects import SuspectGuard
from wheatslipd.settings import CHECKS_DISABLED_PRICE, Interface, Settings
from wheatslipd.shared import SharedState
from wheatslipd.telemetry.tracing import HopTracer

BACKEND_CONNECTIONS = 220  # at most, until a bundle names a number; a pool's default


@dataclass(frozen=True, slots=True)
class ServerSide:
    """One daemon's only way to its backend server."""

    peer_port: PeerPort
    keys: KeyGuard
    gate: Gate
    speed_check: SpeedCheck  # used where a backend server registers
    backend: Backend
    measurer: Measurer
    ends: ServerEnds


def build_server_side(
    settings: Settings,
    shared: SharedState,
    tracer: HopTracer,
    owners: OwnerHistory,
    cache: FeedCache,
) -> ServerSide:
    """Build the parts; nothing runs yet. `cache` tells when the list was last checked."""
    backend = Backend(
        settings.backend_address,
        settings.backend_port,
        BACKEND_CONNECTIONS,
        settings.connect_timeout,
    )
    speed_check = SpeedCheck(
        backend,
        settings.headers,
        shared.metrics,
        shared.monotonic,
        SlidingLimit(settings.checks_per_second),
    )
    gate = _gate(settings, shared, speed_check)
    ends = ServerEnds(backend, gate, shared.bus, shared.metrics, shared.monotonic)
    guard = SuspectGuard(shared.quarantine, shared.monotonic, shared.unix)
    ledger = KeyLedger(watching_since=shared.unix())
    keys = KeyGuard(settings.name, ledger, owners, shared.unix, lambda: cache.checked)
    peer_port = PeerPort(
        shared.view,
        BackendWay(keys, guard, gate, backend, ends),
        PeerTerms(settings.pool, settings.headers, settings.interface is Interface.ROUTES),
        shared.metrics,
        tracer,
        shared.monotonic,
        shared.hint_newer_version,
    )
    measurer = _measurer(settings, shared, gate, backend)
    return ServerSide(peer_port, keys, gate, speed_check, backend, measurer, ends)


def _gate(settings: Settings, shared: SharedState, speed_check: SpeedCheck) -> Gate:
    """The gate, closed until the zone drains are known and a server has registered."""
    admission = Admission(AdmissionSettings())
    if not settings.lists_itself:
        closed_by = (ClosedBy.ZONE_UNKNOWN,)
        return Gate(admission, shared.view, shared.monotonic, closed_by=closed_by)
    probing = None
    if settings.check_price < CHECKS_DISABLED_PRICE and settings.headers.load:
        probing = SpeedProbing(speed_check.probe_briefly, settings.check_price)
    return Gate(
        admission,
        shared.view,
        shared.monotonic,
        closed_by=(ClosedBy.ZONE_UNKNOWN, ClosedBy.SERVER_UNKNOWN),
        is_probed=True,
        probing=probing,
    )


def _measurer(
    settings: Settings, shared: SharedState, gate: Gate, backend: Backend
) -> Measurer:
    def is_silent(seconds: float) -> bool:
        admission = gate.admission
        silence = shared.monotonic() - admission.last_finished
        return admission.in_flight == 0 and silence >= seconds

    return Measurer(
        backend, settings.health_path, shared.bus, shared.metrics, shared.monotonic, is_silent
    )
