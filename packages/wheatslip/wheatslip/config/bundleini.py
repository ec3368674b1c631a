"""Parsing of bundles that operators write as INI files.

An omitted key has the default of the field of its type in `bundle`.
"""

from collections.abc import Callable

import msgspec
from result import Err, Ok, Result

from wheatslip.config.bundle import (
    FORMAT,
    MAX_BYTES,
    MAX_COUNT,
    MAX_RATE,
    Bundle,
    CallerLimits,
    ColdStart,
    Kind,
    Pool,
    Route,
    Service,
    Split,
    Workspace,
)
from wheatslip.config.ini import Problem, Problems, Section, parse_names, read_ini

MAX_VERSION = 2**53  # JSON parsers that use doubles lose precision above it
SHA256_HEX_LENGTH = 64
# Examples whose optional fields hold the defaults of keys.
_WORKSPACE_DEFAULTS = Workspace("", "")
_KIND_DEFAULTS = Kind("", repeatable=False)
_SERVICE_DEFAULTS = Service("", "", "")
_POOL_DEFAULTS = Pool("")
_ROUTE_DEFAULTS = Route("", "", "/", ())


def parse_bundle(text: str, source: str) -> Result[Bundle, list[Problem]]:
    """Parses a bundle from the text of an INI file. The error lists all problems.

    `source` is the file name in the problems.
    """
    problems = Problems(source)
    sections = read_ini(text, problems)
    builder = _BundleBuilder(problems)
    for title, values in sections.items():
        builder.add_section(title, values)
    bundle = builder.build()
    if problems.found:
        return Err(problems.found)
    return Ok(bundle)


class _BundleBuilder:
    """Builds a bundle from the sections of one INI file."""

    def __init__(self, problems: Problems):
        self._problems = problems
        self._version = 0
        self._workspaces: dict[str, Workspace] = {}
        self._services: dict[str, Service] = {}
        self._kinds: dict[str, list[Kind]] = {}
        self._pools: dict[str, Pool] = {}
        self._routes: dict[str, Route] = {}
        self._limits: CallerLimits | msgspec.UnsetType = msgspec.UNSET
        self._readers: dict[str, Callable[[str, Section], None]] = {
            "workspace": self._read_workspace,
            "service": self._read_service,
            "kind": self._read_kind,
            "pool": self._read_pool,
            "route": self._read_route,
        }

    def add_section(self, title: str, values: dict[str, str]) -> None:
        """Reads a section; the first word of its title is its type."""
        section = Section(title, values, self._problems)
        section_type, _, name = title.partition(" ")
        if title == "bundle":
            self._read_bundle_section(section)
        elif title == "limits":
            self._read_limits(section)
        elif section_type in self._readers and name:
            self._readers[section_type](name, section)
        else:
            expected = (
                "[bundle], [limits], [workspace N], [service N], [kind SERVICE/N], [pool N], "
                "[route N]"
            )
            self._problems.add(title, "-", title, expected)
            return
        section.report_unknown_keys()

    def build(self) -> Bundle:
        """Checks the references between sections and returns the bundle, which is incomplete if
        there are problems.
        """
        if not self._version:
            self._problems.add("bundle", "version", "", "a version number (required)")
        self._check_references()
        services = (
            msgspec.structs.replace(service, kinds=tuple(self._kinds.get(name, ())))
            for name, service in sorted(self._services.items())
        )
        return Bundle(
            version=self._version,
            workspaces=tuple(self._workspaces[name] for name in sorted(self._workspaces)),
            services=tuple(services),
            pools=tuple(self._pools[name] for name in sorted(self._pools)),
            routes=tuple(self._routes[name] for name in sorted(self._routes)),
            limits=self._limits,
        )

    def _read_bundle_section(self, section: Section) -> None:
        section.integer("format", FORMAT, FORMAT, FORMAT)
        self._version = section.integer("version", 0, 1, MAX_VERSION, required=True)

    def _read_workspace(self, name: str, section: Section) -> None:
        credentials: tuple[str, ...] = section.get(
            "credential-sha256", (), _parse_sha256_list, "64 hex digits", required=True
        )
        rate = section.number("rate", 0.0, 0.0, MAX_RATE)
        burst = section.number("burst", 0.0, 0.0, MAX_RATE)
        if burst and not rate:
            expected = "a burst only together with a rate above 0"
            self._problems.add(section.name, "burst", f"{burst:g}", expected)
        self._workspaces[name] = Workspace(
            name=name,
            credential_sha256=credentials[0] if credentials else "",
            share=section.number("share", _WORKSPACE_DEFAULTS.share, 0.001, 1000.0),
            more_credentials_sha256=credentials[1:] or msgspec.UNSET,
            # A value that means the same as a missing key is unset, so the digest is equal too.
            priority=section.integer("priority", 0, 0, MAX_COUNT) or msgspec.UNSET,
            rate=rate or msgspec.UNSET,
            burst=burst or msgspec.UNSET,
        )

    def _read_limits(self, section: Section) -> None:
        limits = CallerLimits(
            header_bytes=section.integer("header-bytes", 0, 0, MAX_COUNT),
            body_bytes=section.integer("body-bytes", 0, 0, MAX_BYTES),
            header_timeout=section.duration("header-timeout", 0.0),
            idle_timeout=section.duration("idle-timeout", 0.0),
        )
        # A section that limits nothing means the same as none, so the digest is equal too.
        self._limits = msgspec.UNSET if limits == CallerLimits() else limits

    def _read_service(self, name: str, section: Section) -> None:
        self._services[name] = Service(
            name=name,
            workspace=section.text("workspace", required=True),
            pool=section.text("pool", required=True),
            callers=section.names("callers"),
            max_deadline=section.duration("max-deadline", _SERVICE_DEFAULTS.max_deadline),
        )

    def _read_kind(self, name: str, section: Section) -> None:
        service, _, kind = name.partition("/")
        if not kind:
            self._problems.add(section.name, "-", name, "[kind SERVICE/NAME]")
        self._kinds.setdefault(service, []).append(
            Kind(
                name=kind,
                repeatable=section.flag("repeatable", _KIND_DEFAULTS.repeatable),
                urgent=section.flag("urgent", _KIND_DEFAULTS.urgent),
            )
        )

    def _read_pool(self, name: str, section: Section) -> None:
        self._pools[name] = Pool(
            name=name,
            slots=section.integer("slots", _POOL_DEFAULTS.slots, 0, 10_000),
            connections=section.integer("connections", _POOL_DEFAULTS.connections, 1, 65_000),
            queue=section.integer("queue", _POOL_DEFAULTS.queue, 0, 100_000),
            probes_per_second=section.number(
                "probes-per-second", _POOL_DEFAULTS.probes_per_second, 0.0, 1000.0
            ),
            shed_status=section.integer("shed-status", _POOL_DEFAULTS.shed_status, 0, 599),
            health_path=section.text("health-path"),
            cold=self._read_cold_start(section),
        )

    def _read_cold_start(self, section: Section) -> ColdStart | msgspec.UnsetType:
        seconds = section.duration("cold-seconds", 0.0)
        per_second = section.number("cold-per-second", 0.0, 0.0, 1e6)
        if not seconds and not per_second:
            return msgspec.UNSET
        if not (seconds and per_second):
            expected = "cold-seconds and cold-per-second together, each above 0"
            given = f"{seconds:g} s and {per_second:g}"
            self._problems.add(section.name, "cold-seconds", given, expected)
            return msgspec.UNSET
        return ColdStart(seconds, per_second)

    def _read_route(self, name: str, section: Section) -> None:
        self._routes[name] = Route(
            name=name,
            host=section.text("host", required=True).lower(),
            prefix=section.get(
                "prefix", _ROUTE_DEFAULTS.prefix, parse_prefix, "a path such as /a/ or /"
            ),
            splits=section.get(
                "services", (), parse_splits, "NAME or NAME:WEIGHT, …", required=True
            ),
            repeatable=section.flag("repeatable", _ROUTE_DEFAULTS.repeatable),
            timeout=section.duration("timeout", _ROUTE_DEFAULTS.timeout),
            target=section.duration("target", _ROUTE_DEFAULTS.target),
            priority=section.integer("priority", _ROUTE_DEFAULTS.priority, 0, 1000),
            max_attempts=section.integer("max-attempts", _ROUTE_DEFAULTS.max_attempts, 1, 100),
            open=section.flag("open", _ROUTE_DEFAULTS.open),
        )

    def _check_references(self) -> None:
        self._check_credentials()
        route_names: dict[tuple[str, str], str] = {}  # by host and prefix
        for route in self._routes.values():
            title = f"route {route.name}"
            other = route_names.setdefault((route.host, route.prefix), route.name)
            if other != route.name:
                expected = f"a host and prefix other than those of route {other}"
                self._problems.add(title, "prefix", route.prefix, expected)
            for split in route.splits:
                if split.service not in self._services:
                    expected = "a [service …] of this bundle"
                    self._problems.add(title, "services", split.service, expected)
        for service in self._services.values():
            title = f"service {service.name}"
            if service.pool not in self._pools:
                self._problems.add(title, "pool", service.pool, "a [pool …] of this bundle")
            self._check_workspaces(title, "workspace", (service.workspace,))
            self._check_workspaces(title, "callers", service.callers)
        for service_name in self._kinds.keys() - self._services.keys():
            title = f"kind {service_name}/…"
            self._problems.add(title, "-", service_name, "a [service …] of this bundle")

    def _check_credentials(self) -> None:
        """Reports each credential that more than one workspace has."""
        holders: dict[str, str] = {}  # workspace by credential
        for workspace in self._workspaces.values():
            for credential in workspace.credentials:
                holder = holders.setdefault(credential, workspace.name)
                if holder != workspace.name:
                    title = f"workspace {workspace.name}"
                    expected = f"credentials other than those of workspace {holder}"
                    self._problems.add(title, "credential-sha256", credential, expected)

    def _check_workspaces(self, title: str, key: str, names: tuple[str, ...]) -> None:
        for name in names:
            if name not in self._workspaces:
                self._problems.add(title, key, name, "a [workspace …] of this bundle")


def parse_prefix(text: str) -> str:
    """Checks that a path prefix begins and ends with a slash; raises ValueError."""
    if not (text.startswith("/") and text.endswith("/")):
        raise ValueError(text)
    return text


def parse_splits(text: str) -> tuple[Split, ...]:
    """Parses a comma-separated list of `NAME` or `NAME:WEIGHT`; raises ValueError."""
    return tuple(_parse_split(part) for part in parse_names(text))


def _parse_split(text: str) -> Split:
    name, colon, weight = text.partition(":")
    split = Split(name.strip(), float(weight) if colon else 1.0)
    if not split.service or not 0 < split.weight < float("inf"):
        raise ValueError(text)
    return split


def _parse_sha256_list(text: str) -> tuple[str, ...]:
    """Parses a comma-separated list of SHA-256 digests; a repeated one counts once."""
    digests = tuple(dict.fromkeys(_parse_sha256_hex(part) for part in parse_names(text)))
    if not digests:
        raise ValueError(text)
    return digests


def _parse_sha256_hex(text: str) -> str:
    if len(text) != SHA256_HEX_LENGTH or set(text) - set("0123456789abcdef"):
        raise ValueError(text)
    return text
