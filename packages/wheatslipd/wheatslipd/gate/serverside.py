"""Builds the parts from the peer port to the backend server."""

from dataclasses import dataclass

from wheatslip.admission import Admission, AdmissionSettings, ClosedBy
from wheatslip.distribution.feedcache import FeedCache
from wheatslip.ledger import KeyLedger
from wheatslip.owners import OwnerHistory
from wheatslip.slidinglimit import SlidingLimit

from wheatslipd.confirmation import ConfirmationLimit
from wheatslipd.controllers.events import backend_leaving
from wheatslipd.gate.backend import Backend
from wheatslipd.gate.gate import Gate, SpeedProbing
from wheatslipd.gate.idleprobe import IdleProbe
from wheatslipd.gate.keyguard import KeyGuard
from wheatslipd.gate.noticereader import NoticeReader
from wheatslipd.gate.olderentry import OlderEntryRequests
from wheatslipd.gate.peerport import BackendStages, PeerPort, PeerPortSettings
from wheatslipd.gate.serverend import ServerEndDetector
from wheatslipd.gate.speedcheck import SpeedCheck
from wheatslipd.gate.suspects import SuspectGuard
from wheatslipd.gate.unmatched import UnmatchedResponseLog
from wheatslipd.identification import HeaderIdentification
from wheatslipd.settings import CHECKS_DISABLED_PRICE, Interface, Settings
from wheatslipd.shared import SharedState
from wheatslipd.telemetry.tracing import HopTracer

DEFAULT_MAX_CONNECTIONS = 220  # until a bundle sets a limit; default of a pool


@dataclass(frozen=True, slots=True)
class ServerSide:
    """The parts through which one daemon sends requests to its backend server."""

    peer_port: PeerPort
    keys: KeyGuard
    gate: Gate
    speed_check: SpeedCheck  # used only if the backend server registers with the daemon
    backend: Backend
    idle_probe: IdleProbe
    end_detector: ServerEndDetector
    notices: NoticeReader


def build_server_side(
    settings: Settings,
    shared: SharedState,
    tracer: HopTracer,
    owners: OwnerHistory,
    cache: FeedCache,
    confirmation_limit: ConfirmationLimit,
) -> ServerSide:
    """Build the parts without starting tasks.

    `cache` holds the time when the list of instances was last checked.
    """
    backend = Backend(
        settings.backend_address,
        settings.backend_port,
        DEFAULT_MAX_CONNECTIONS,
        settings.connect_timeout,
        settings.naming,
        UnmatchedResponseLog(shared.metrics).add,
    )
    speed_check = SpeedCheck(
        backend,
        settings.headers,
        shared.metrics,
        shared.monotonic,
        SlidingLimit(settings.checks_per_second),
    )
    gate = _build_gate(settings, shared, speed_check)
    end_detector = ServerEndDetector(
        backend, gate, shared.bus, shared.metrics, shared.monotonic
    )
    notices = _build_notice_reader(settings, shared, gate)
    speed_check.on_response = notices.on_health
    guard = SuspectGuard(shared.quarantine, shared.monotonic, shared.unix)
    ledger = KeyLedger(watching_since=shared.unix())
    keys = KeyGuard(settings.name, ledger, owners, shared.unix, lambda: cache.checked)
    credential = settings.headers.credential
    older_entries = OlderEntryRequests(
        shared.view, credential, HeaderIdentification(credential, confirmation_limit)
    )
    peer_port = PeerPort(
        shared.view,
        BackendStages(older_entries, keys, guard, gate, backend, end_detector, notices),
        PeerPortSettings(
            settings.pool, settings.headers, settings.interface is Interface.ROUTES
        ),
        shared.metrics,
        tracer,
        shared.monotonic,
        shared.hint_newer_version,
    )
    idle_probe = _build_idle_probe(settings, shared, gate, backend, notices)
    return ServerSide(
        peer_port, keys, gate, speed_check, backend, idle_probe, end_detector, notices
    )


def _build_gate(settings: Settings, shared: SharedState, speed_check: SpeedCheck) -> Gate:
    """Build the gate, closed until the zone drains are known.

    If the backend server registers with this daemon, the gate is also closed until it has.
    """
    admission = Admission(AdmissionSettings())
    if not settings.lists_itself:
        closed_by = (ClosedBy.ZONE_UNKNOWN,)
        return Gate(admission, shared.view, shared.monotonic, closed_by=closed_by)
    probing = None
    if settings.check_price < CHECKS_DISABLED_PRICE and settings.headers.load:
        probing = SpeedProbing(speed_check.probe_for_request, settings.check_price)
    return Gate(
        admission,
        shared.view,
        shared.monotonic,
        closed_by=(ClosedBy.ZONE_UNKNOWN, ClosedBy.SERVER_UNKNOWN),
        is_probed=True,
        probing=probing,
    )


def _build_notice_reader(settings: Settings, shared: SharedState, gate: Gate) -> NoticeReader:
    def close_gate() -> None:
        # Events are handled later, and no request may start until then.
        gate.on_server_leaving()
        shared.bus.fire(backend_leaving(notices.start.server))

    notices = NoticeReader(settings.headers, gate.limit_rate, close_gate)
    return notices


def _build_idle_probe(
    settings: Settings, shared: SharedState, gate: Gate, backend: Backend, notices: NoticeReader
) -> IdleProbe:
    def is_idle(seconds: float) -> bool:
        admission = gate.admission
        idle_time = shared.monotonic() - admission.last_finished_at
        return admission.in_flight == 0 and idle_time >= seconds

    return IdleProbe(
        backend, settings.health_path, notices, shared.metrics, shared.monotonic, is_idle
    )
