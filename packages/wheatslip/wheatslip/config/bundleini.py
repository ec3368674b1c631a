"""Bundles as operators write them: INI, checked into typed objects.

A key that is left out has the default of the type's field in `bundle`.
"""

from collections.abc import Callable

import msgspec
from result import Err, Ok, Result

from wheatslip.config.bundle import (
    FORMAT,
    Bundle,
    ColdStart,
    Kind,
    Pool,
    Route,
    Service,
    Split,
    Workspace,
)
from wheatslip.config.ini import Problem, Problems, Section, parse_names, read_ini

MAX_VERSION = 2**53  # the largest range in which JSON readers keep integers exact
SHA256_HEX_LENGTH = 64
# Their fields are the defaults of keys.
_WORKSPACE = Workspace("", "")
_KIND = Kind("", repeatable=False)
_SERVICE = Service("", "", "")
_POOL = Pool("")
_ROUTE = Route("", "", "/", ())


def parse_bundle(text: str, source: str) -> Result[Bundle, list[Problem]]:
    """Check an INI text into a bundle, or report every problem at once."""
    problems = Problems(source)
    sections = read_ini(text, problems)
    builder = _Builder(problems)
    for title, values in sections.items():
        builder.add(title, values)
    bundle = builder.finish()
    if problems.found:
        return Err(problems.found)
    return Ok(bundle)


class _Builder:
    """Collects the sections of one INI text."""

    def __init__(self, problems: Problems):
        self._problems = problems
        self._version = 0
        self._workspaces: dict[str, Workspace] = {}
        self._services: dict[str, Service] = {}
        self._kinds: dict[str, list[Kind]] = {}
        self._pools: dict[str, Pool] = {}
        self._routes: dict[str, Route] = {}
        self._readers: dict[str, Callable[[str, Section], None]] = {
            "workspace": self._workspace,
            "service": self._service,
            "kind": self._kind,
            "pool": self._pool,
            "route": self._route,
        }

    def add(self, title: str, values: dict[str, str]) -> None:
        """Read one section by the first word of its title."""
        section = Section(title, values, self._problems)
        word, _, name = title.partition(" ")
        if title == "bundle":
            self._head(section)
        elif word in self._readers and name:
            self._readers[word](name, section)
        else:
            expected = (
                "[bundle], [workspace N], [service N], [kind SERVICE/N], [pool N], [route N]"
            )
            self._problems.add(title, "-", title, expected)
            return
        section.finish()

    def finish(self) -> Bundle:
        """The bundle, after the references between sections are checked."""
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
        )

    def _head(self, section: Section) -> None:
        section.integer("format", FORMAT, FORMAT, FORMAT)
        self._version = section.integer("version", 0, 1, MAX_VERSION, must=True)

    def _workspace(self, name: str, section: Section) -> None:
        self._workspaces[name] = Workspace(
            name=name,
            credential_sha256=section.get(
                "credential-sha256", "", _sha256_hex, "64 hex digits", must=True
            ),
            share=section.number("share", _WORKSPACE.share, 0.001, 1000.0),
        )

    def _service(self, name: str, section: Section) -> None:
        self._services[name] = Service(
            name=name,
            workspace=section.text("workspace", must=True),
            pool=section.text("pool", must=True),
            callers=section.names("callers"),
            max_deadline=section.duration("max-deadline", _SERVICE.max_deadline),
        )

    def _kind(self, name: str, section: Section) -> None:
        service, _, kind = name.partition("/")
        if not kind:
            self._problems.add(section.name, "-", name, "[kind SERVICE/NAME]")
        self._kinds.setdefault(service, []).append(
            Kind(
                name=kind,
                repeatable=section.flag("repeatable", _KIND.repeatable),
                urgent=section.flag("urgent", _KIND.urgent),
            )
        )

    def _pool(self, name: str, section: Section) -> None:
        self._pools[name] = Pool(
            name=name,
            slots=section.integer("slots", _POOL.slots, 0, 10_000),
            connections=section.integer("connections", _POOL.connections, 1, 65_000),
            queue=section.integer("queue", _POOL.queue, 0, 100_000),
            probes_per_second=section.number(
                "probes-per-second", _POOL.probes_per_second, 0.0, 1000.0
            ),
            shed_status=section.integer("shed-status", _POOL.shed_status, 0, 599),
            health_path=section.text("health-path"),
            cold=self._cold(section),
        )

    def _cold(self, section: Section) -> ColdStart | msgspec.UnsetType:
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

    def _route(self, name: str, section: Section) -> None:
        self._routes[name] = Route(
            name=name,
            host=section.text("host", must=True).lower(),
            prefix=section.get(
                "prefix", _ROUTE.prefix, parse_prefix, "a path such as /a/ or /"
            ),
            splits=section.get(
                "services", (), parse_splits, "NAME or NAME:WEIGHT, …", must=True
            ),
            repeatable=section.flag("repeatable", _ROUTE.repeatable),
            timeout=section.duration("timeout", _ROUTE.timeout),
            target=section.duration("target", _ROUTE.target),
            priority=section.integer("priority", _ROUTE.priority, 0, 1000),
            max_attempts=section.integer("max-attempts", _ROUTE.max_attempts, 1, 100),
        )

    def _check_references(self) -> None:
        places: dict[tuple[str, str], str] = {}
        for route in self._routes.values():
            title = f"route {route.name}"
            other = places.setdefault((route.host, route.prefix), route.name)
            if other != route.name:
                expected = f"a place of its own, not that of route {other}"
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

    def _check_workspaces(self, title: str, key: str, names: tuple[str, ...]) -> None:
        for name in names:
            if name not in self._workspaces:
                self._problems.add(title, key, name, "a [workspace …] of this bundle")


def parse_prefix(text: str) -> str:
    """A path prefix that begins and ends with a slash; raises ValueError."""
    if not (text.startswith("/") and text.endswith("/")):
        raise ValueError(text)
    return text


def parse_splits(text: str) -> tuple[Split, ...]:
    """`NAME` or `NAME:WEIGHT, NAME:WEIGHT`; raises ValueError."""
    return tuple(_parse_split(part) for part in parse_names(text))


def _parse_split(text: str) -> Split:
    name, colon, weight = text.partition(":")
    split = Split(name.strip(), float(weight) if colon else 1.0)
    if not split.service or not 0 < split.weight < float("inf"):
        raise ValueError(text)
    return split


def _sha256_hex(text: str) -> str:
    if len(text) != SHA256_HEX_LENGTH or set(text) - set("0123456789abcdef"):
        raise ValueError(text)
    return text
