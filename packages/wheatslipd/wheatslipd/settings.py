"""Settings of the daemon: an INI file layered over default.ini, parsed into typed objects.

The defaults in this module apply to keys that a file leaves empty. A test checks that they
equal those in default.ini.
"""

import ipaddress
from dataclasses import dataclass
from enum import IntEnum, StrEnum
from pathlib import Path
from pkgutil import get_data
from typing import TypeVar

from result import Err, Ok, Result
from wheatslip.admission import SlotSettings
from wheatslip.budget import FleetBudget
from wheatslip.chooser import ChooserSettings
from wheatslip.config.ini import (
    MAX_PORT,
    Problem,
    Problems,
    Section,
    layered_sections,
    parse_ip,
    parse_ip_and_port,
    parse_port,
)
from wheatslip.quota.settings import QuotaSettings

from wheatslipd.feed.feedsettings import FeedSettings
from wheatslipd.http.matching import Naming


class LogLevel(IntEnum):
    """Severity of a logged event."""

    DEBUG = 10
    INFO = 20
    WARNING = 30
    ERROR = 40


MAX_FEW_SLOTS = 10_000
MAX_ANSWER_HOLD = 16 * 1024 * 1024  # bytes
CHECKS_DISABLED_PRICE = 1.0  # check-price from which speed checks are disabled
PLAIN_TEXT_CHOICES = ("no", "yes", "trusted-network")
LOG_LEVELS = {level.name.lower(): level for level in LogLevel}
_Choice = TypeVar("_Choice", bound=StrEnum)


@dataclass(frozen=True, slots=True)
class TlsFiles:
    """PEM files for mutual TLS between daemons."""

    certificate: Path
    key: Path
    authority: Path


class Interface(StrEnum):
    """The protocol that callers of the entry use."""

    WORKSPACE = "workspace"  # requests with a credential and the name of a service
    ROUTES = "routes"  # plain HTTP requests; their host and path select the service


class ConfigurationSource(StrEnum):
    """Which configuration a daemon accepts."""

    SIGNED = "signed"  # only bundles that operators have signed
    TRUSTED = "trusted"  # any configuration that the platform stores


@dataclass(frozen=True, slots=True)
class HeaderNames:
    """Lower-case names of the headers that callers and backend servers use; see default.ini.

    A header with an empty name is neither read nor sent.
    """

    deadline: bytes = b""
    request_id: bytes = b""
    caller: bytes = b""
    instance: bytes = b""
    not_run: bytes = b""
    load: bytes = b""
    server: bytes = b""
    cold: bytes = b""
    limit: bytes = b""
    leaving: bytes = b""
    credential: bytes = b""
    workspace: bytes = b""

    @property
    def set_by_daemon(self) -> frozenset[bytes]:
        """Headers that only the daemon sets; a caller's value must never be forwarded."""
        return frozenset({self.deadline, self.caller, self.instance} - {b""})

    @property
    def identity(self) -> frozenset[bytes]:
        """Headers with the caller's identity. A gate sets that of the workspace itself, since
        an entry of the previous version forwards a caller's values of both.
        """
        return frozenset({self.credential, self.workspace} - {b""})


@dataclass(frozen=True, slots=True)
class Settings:
    """All settings of one daemon. Durations are in seconds; port 0 picks a free port."""

    name: str
    zone: str
    pool: str
    address: str
    loop: str
    stop_grace: float
    entry_port: int
    chooser: ChooserSettings
    peer_port: int
    control_port: int
    peer_tls: TlsFiles | None
    backend_address: str
    backend_port: int
    health_path: str
    connect_timeout: float
    platform: str
    keyring: Path
    pages_port: int
    may_lift: bool  # whether the pages let held requests run again
    trace_sample: float
    trace_file: str
    log_level: LogLevel
    log_file: str
    interface: Interface
    headers: HeaderNames
    request_id_repeated: bool  # whether each response to a request with an id has it
    source: ConfigurationSource
    answer_hold: int  # bytes
    fleet_budget: FleetBudget | None
    registration_port: int | None  # None: the platform lists the instances
    slots: SlotSettings
    cold_overage: float
    cold_slack: float
    recovery_probe: float
    check_price: float
    checks_per_second: float
    feed: FeedSettings
    stop_listening_after: float
    quota: QuotaSettings

    @property
    def max_unconfirmed(self) -> float:
        """Seconds without a confirmation of the configuration in which credentials are
        accepted; 0 for no limit.
        """
        return self.feed.max_unconfirmed

    @property
    def naming(self) -> Naming:
        """How responses of backend servers name their requests."""
        return Naming(self.headers.request_id, self.request_id_repeated)

    @property
    def lists_itself(self) -> bool:
        """Whether this daemon writes its own entry in the list of instances.

        Its backend server registers with it then. Otherwise the platform lists the instances.
        """
        return self.registration_port is not None


_SIGNED = ConfigurationSource.SIGNED


def default_text() -> str:
    """Return the text of default.ini."""
    # `importlib.resources` is slow to import.
    text = get_data("wheatslipd", "default.ini")
    assert text is not None
    return text.decode()


def load_settings(path: Path) -> Result[Settings, list[Problem]]:
    """Read and check a settings file; the error contains every problem."""
    try:
        text = path.read_text()
    except OSError as error:
        return Err([Problem(str(path), "-", "-", str(error), "a readable file")])
    return parse_settings(text, str(path))


def parse_settings(text: str, source: str) -> Result[Settings, list[Problem]]:
    """Parse and check an INI text; `source` names it in problems."""
    problems = Problems(source)
    sections = layered_sections(text, default_text(), problems)
    settings = _build_settings(sections, problems)
    for section in sections.values():
        section.report_unknown_keys()
    if problems.found:
        return Err(problems.found)
    return Ok(settings)


def _build_settings(sections: dict[str, Section], problems: Problems) -> Settings:
    daemon = sections["daemon"]
    backend = sections["backend"]
    log = sections["log"]
    address = _ip(daemon, "address")
    source = sections["operators"].choice("source", _SIGNED, _choices(ConfigurationSource))
    control = sections["control"]
    entry = sections["entry"]
    max_unconfirmed = entry.duration("max-unconfirmed", 0.0)
    return Settings(
        name=daemon.text("name", required=True),
        zone=daemon.text("zone", required=True),
        pool=daemon.text("pool", required=True),
        address=address,
        loop=daemon.choice("loop", "uvloop", {"asyncio": "asyncio", "uvloop": "uvloop"}),
        stop_grace=daemon.duration("stop-grace", 30.0),
        entry_port=_port(entry),
        chooser=_chooser(entry),
        peer_port=_port(sections["peer"]),
        control_port=_port(control),
        peer_tls=_peer_tls(sections["peer"], address, problems),
        backend_address=_ip(backend, "address"),
        backend_port=backend.get(
            "port", 0, parse_port, f"a port from 1 to {MAX_PORT}, or IP:PORT", required=True
        ),
        health_path=backend.text("health-path"),
        connect_timeout=backend.duration("connect-timeout", 0.25),
        platform=sections["platform"].get(
            "address", "", parse_ip_and_port, "IP:PORT by IP number", required=True
        ),
        keyring=Path(sections["operators"].text("keyring", required=source is _SIGNED)),
        pages_port=_port(sections["pages"]),
        may_lift=sections["pages"].choice("lift", True, {"no": False, "yes": True}),
        trace_sample=sections["traces"].number("sample", 0.0, 0.0, 1.0),
        trace_file=sections["traces"].text("file"),
        log_level=log.choice("level", LogLevel.INFO, LOG_LEVELS),
        log_file=log.text("file"),
        interface=entry.choice("interface", Interface.WORKSPACE, _choices(Interface)),
        headers=_headers(sections["headers"]),
        request_id_repeated=sections["headers"].choice(
            "request-id-repeated", False, {"no": False, "yes": True}
        ),
        source=source,
        answer_hold=entry.integer("answer-hold", 0, 0, MAX_ANSWER_HOLD),
        fleet_budget=_fleet_budget(sections["retries"]),
        registration_port=_registration_port(sections["registration"]),
        slots=SlotSettings(
            share=backend.number("slot-share", 1.0, 0.1, 1.0),
            short_share=backend.number("short-slot-share", 0.0, 0.0, 1.0),
            few=backend.integer("few-slots", 0, 0, MAX_FEW_SLOTS),
        ),
        cold_overage=backend.number("cold-overage", 1.0, 0.1, 1000.0),
        cold_slack=backend.number("cold-slack", 0.0, 0.0, 1e6),
        recovery_probe=backend.duration("recovery-probe", 0.1),
        check_price=backend.number("check-price", 0.05, 0.0, CHECKS_DISABLED_PRICE),
        checks_per_second=backend.number("checks-per-second", 20.0, 1.0, 1e4),
        feed=_feed(control, sections["platform"], max_unconfirmed),
        stop_listening_after=daemon.duration("stop-listening-after", 0.0),
        quota=_quota(sections["quota"]),
    )


def _feed(control: Section, platform: Section, max_unconfirmed: float) -> FeedSettings:
    default = FeedSettings()
    return FeedSettings(
        watchers=control.integer("watchers", default.watchers, 1, 1000),
        watch=control.duration("watch", default.watch),
        watch_check=control.duration("watch-check", default.watch_check),
        list_watch=control.duration("list-watch", default.list_watch),
        list_pause=control.duration("list-pause", default.list_pause),
        retry_last=platform.duration("retry-last", default.retry_last),
        settle=control.duration("list-settle", default.settle),
        max_unconfirmed=max_unconfirmed,
    )


def _chooser(section: Section) -> ChooserSettings:
    default = ChooserSettings()
    return ChooserSettings(
        candidates=section.integer("candidates", default.candidates, 1, 1000),
        far_penalty=section.duration("far-penalty", default.far_penalty),
        bounce_wait=section.duration("bounce-wait", default.bounce_wait),
        warm_up=section.duration("warm-up", default.warm_up),
        miss_penalty=section.duration("miss-penalty", default.miss_penalty),
        max_bounces=section.integer("max-bounces", default.max_bounces, 0, 100),
    )


def _port(section: Section) -> int:
    return section.get("port", 0, parse_port, f"a port from 0 to {MAX_PORT}, or IP:PORT")


def _registration_port(section: Section) -> int | None:
    expected = f"a port from 0 to {MAX_PORT}, or IP:PORT"
    return section.get("port", None, parse_port, expected)


def _headers(section: Section) -> HeaderNames:
    def name(key: str) -> bytes:
        return section.text(key).lower().encode()

    return HeaderNames(
        deadline=name("deadline"),
        request_id=name("request-id"),
        caller=name("caller"),
        instance=name("instance"),
        not_run=name("not-run"),
        load=name("load"),
        server=name("server"),
        cold=name("cold"),
        limit=name("limit"),
        leaving=name("leaving"),
        credential=name("credential"),
        workspace=name("workspace"),
    )


def _quota(section: Section) -> QuotaSettings:
    default = QuotaSettings()
    return QuotaSettings(
        window=section.duration("window", default.window),
        overage=section.number("overage", default.overage, 0.01, 10.0),
        slack=section.number("slack", default.slack, 0.0, 1e6),
    )


def _fleet_budget(section: Section) -> FleetBudget | None:
    share = section.number("share", 0.0, 0.0, 10.0)
    reserve = section.number("reserve", 0.0, 0.0, 1e6)
    window = section.duration("window", 10.0)
    part = section.number("part", 1.0, 0.0, 1.0)
    if not share and not reserve:
        return None
    return FleetBudget(share * part, reserve * part, window)


def _choices(enum: type[_Choice]) -> dict[str, _Choice]:
    return {member.value: member for member in enum}


def _ip(section: Section, key: str) -> str:
    return section.get(key, "", parse_ip, "an IP number", required=True)


def _peer_tls(section: Section, address: str, problems: Problems) -> TlsFiles | None:
    paths = [section.text(key) for key in ("certificate", "key", "authority")]
    plain_text = section.choice(
        "plain-text", "no", {choice: choice for choice in PLAIN_TEXT_CHOICES}
    )
    if plain_text == "trusted-network":
        return None
    if plain_text == "yes":
        if address and not ipaddress.ip_address(address).is_loopback:
            expected = "no, unless [daemon] address is a loopback address"
            problems.add("peer", "plain-text", "yes", expected)
        return None
    if not all(paths):
        expected = "certificate, key and authority together, or plain-text = yes"
        problems.add("peer", "certificate", paths[0], expected)
        return None
    return TlsFiles(*(Path(path) for path in paths))
