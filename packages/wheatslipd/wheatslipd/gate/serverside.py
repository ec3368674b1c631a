"""The parts between the peer port and the backend server, in the order of a request's way."""

from collections.abc import Callable
from dataclasses import dataclass

from wheatslip.admission import Admission, AdmissionSettings
from wheatslip.ledger import KeyLedger
from wheatslip.owners import OwnerHistory

from wheatslipd.gate.backend import Backend
from wheatslipd.gate.gate import Gate
from wheatslipd.gate.keyguard import KeyGuard
from wheatslipd.gate.measure import Measurer
from wheatslipd.gate.peerport import PeerPort
from wheatslipd.settings import Interface, Settings
from wheatslipd.shared import Shared
from wheatslipd.telemetry.tracing import HopTracer

BACKEND_CONNECTIONS = 220  # at most, until a bundle names a number; a pool's default


@dataclass(frozen=True, slots=True)
class ServerSide:
    """One daemon's only way to its backend server."""

    peer_port: PeerPort
    keys: KeyGuard
    gate: Gate
    backend: Backend
    measurer: Measurer


def build_server_side(
    settings: Settings,
    shared: Shared,
    tracer: HopTracer,
    owners: OwnerHistory,
    list_checked: Callable[[], float],
    on_newer_version: Callable[[int, str], None],
) -> ServerSide:
    """Build the parts; nothing runs yet. For `list_checked` see `KeyGuard`."""
    gate = Gate(Admission(AdmissionSettings()), shared.view, shared.monotonic)
    # Whether the zone is emptied is not known yet, so nothing may start.
    gate.admission.emptied = True
    backend = Backend(
        settings.backend_address,
        settings.backend_port,
        BACKEND_CONNECTIONS,
        settings.connect_timeout,
    )
    ledger = KeyLedger(watching_since=shared.unix())
    keys = KeyGuard(settings.name, ledger, owners, shared.unix, list_checked)
    peer_port = PeerPort(
        shared.view,
        gate,
        backend,
        keys,
        shared.metrics,
        tracer,
        shared.monotonic,
        on_newer_version,
        settings.pool,
        settings.headers,
        settings.interface is Interface.ROUTES,
    )
    measurer = _measurer(settings, shared, gate, backend)
    return ServerSide(peer_port, keys, gate, backend, measurer)


def _measurer(settings: Settings, shared: Shared, gate: Gate, backend: Backend) -> Measurer:
    def is_silent(seconds: float) -> bool:
        admission = gate.admission
        silence = shared.monotonic() - admission.last_finished
        return admission.in_flight == 0 and silence >= seconds

    return Measurer(
        backend, settings.health_path, shared.bus, shared.metrics, shared.monotonic, is_silent
    )
