"""Settings of the daemon: INI layered over the commented defaults, read into typed objects."""

import ipaddress
from dataclasses import dataclass
from enum import IntEnum
from importlib.resources import files
from pathlib import Path

from result import Err, Ok, Result
from wheatslip.chooser import ChooserSettings
from wheatslip.ini import (
    MAX_PORT,
    Problem,
    Problems,
    Section,
    layered_sections,
    parse_ip,
    parse_ip_and_port,
)


class LogLevel(IntEnum):
    """How grave an event must be to be logged."""

    DEBUG = 10
    INFO = 20
    WARNING = 30
    ERROR = 40


LOG_LEVELS = {level.name.lower(): level for level in LogLevel}


@dataclass(frozen=True, slots=True)
class TlsFiles:
    """PEM files for mutual TLS between daemons."""

    certificate: Path
    key: Path
    authority: Path


@dataclass(frozen=True, slots=True)
class Settings:
    """All settings of one daemon. Durations in seconds; port 0 takes a free one."""

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
    trace_sample: float
    trace_file: str
    log_level: LogLevel
    log_file: str


def default_text() -> str:
    """The commented default file."""
    return files("wheatslipd").joinpath("default.ini").read_text()


def load_settings(path: Path) -> Result[Settings, list[Problem]]:
    """Read and check a settings file; the error lists every problem."""
    try:
        text = path.read_text()
    except OSError as error:
        return Err([Problem(str(path), "-", "-", str(error), "a readable file")])
    return parse_settings(text, str(path))


def parse_settings(text: str, source: str) -> Result[Settings, list[Problem]]:
    """Check an INI text into settings."""
    problems = Problems(source)
    sections = layered_sections(text, default_text(), problems)
    settings = _read(sections, problems)
    for section in sections.values():
        section.finish()
    if problems.found:
        return Err(problems.found)
    return Ok(settings)


def _read(sections: dict[str, Section], problems: Problems) -> Settings:
    daemon = sections["daemon"]
    backend = sections["backend"]
    log = sections["log"]
    address = _ip(daemon, "address")
    return Settings(
        name=daemon.text("name", must=True),
        zone=daemon.text("zone", must=True),
        pool=daemon.text("pool", must=True),
        address=address,
        loop=daemon.choice("loop", "uvloop", {"asyncio": "asyncio", "uvloop": "uvloop"}),
        stop_grace=daemon.duration("stop-grace", 30.0),
        entry_port=_port(sections["entry"]),
        chooser=_chooser(sections["entry"]),
        peer_port=_port(sections["peer"]),
        control_port=_port(sections["control"]),
        peer_tls=_peer_tls(sections["peer"], address, problems),
        backend_address=_ip(backend, "address"),
        backend_port=backend.integer("port", 0, 1, MAX_PORT, must=True),
        health_path=backend.text("health-path"),
        connect_timeout=backend.duration("connect-timeout", 0.25),
        platform=sections["platform"].get(
            "address", "", parse_ip_and_port, "IP:PORT by IP number", must=True
        ),
        keyring=Path(sections["operators"].text("keyring", must=True)),
        pages_port=_port(sections["pages"]),
        trace_sample=sections["traces"].number("sample", 0.0, 0.0, 1.0),
        trace_file=sections["traces"].text("file"),
        log_level=log.choice("level", LogLevel.INFO, LOG_LEVELS),
        log_file=log.text("file"),
    )


def _chooser(section: Section) -> ChooserSettings:
    return ChooserSettings(
        candidates=section.integer("candidates", 4, 1, 1000),
        far_penalty=section.duration("far-penalty", 0.002),
        bounce_wait=section.duration("bounce-wait", 0.008),
        warm_up=section.duration("warm-up", 5.0),
    )


def _port(section: Section) -> int:
    return section.integer("port", 0, 0, MAX_PORT)


def _ip(section: Section, key: str) -> str:
    return section.get(key, "", parse_ip, "an IP number", must=True)


def _peer_tls(section: Section, address: str, problems: Problems) -> TlsFiles | None:
    names = [section.text(key) for key in ("certificate", "key", "authority")]
    plain_text = section.flag("plain-text", False)
    if plain_text:
        if address and not ipaddress.ip_address(address).is_loopback:
            expected = "no, unless [daemon] address is a loopback address"
            problems.add("peer", "plain-text", "yes", expected)
        return None
    if not all(names):
        expected = "certificate, key and authority together, or plain-text = yes"
        problems.add("peer", "certificate", names[0], expected)
        return None
    return TlsFiles(*(Path(name) for name in names))
