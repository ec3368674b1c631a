"""Daemons that route by the routes of a configuration, all inside the test process.

Their backend servers register by heartbeats, and their platform is the adapter's store.
"""

import asyncio
from collections.abc import Callable, Iterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from itertools import count
from math import inf
from random import Random

import aiohttp
from wheatslip.admission import ClosedBy
from wheatslip.upstream import DEAD_AFTER_FAILURES
from wheatslipd.daemon import Adapters
from wheatslipd.settings import parse_settings

from fleet_adapter.heartbeats import decode_heartbeat
from fleet_adapter.store import FleetStore
from fleet_standins.store import StoreStandIn
from fleet_standins.storeproxy import StoreProxy
from standins.cluster import HOST, eventually
from standins.link import ThrottledLink
from standins.plainbackend import PlainBackend
from test.helper import InProcessDaemons

SETTINGS = """
[daemon]
name = {name}
zone = {zone}
pool = papers
loop = asyncio
{extra_daemon_settings}
[entry]
interface = routes
answer-hold = 65536
warm-up = 0s
max-bounces = 3
{extra_entry_settings}
[peer]
plain-text = yes
[control]
watch = {watch}
watch-check = {watch_check}
list-watch = {watch}
list-settle = {list_settle}
[backend]
port = {port}
{extra_backend_settings}
[registration]
port = 0
[headers]
deadline = Deadline-Remaining
request-id = Request-Id
request-id-repeated = yes
caller = Caller-Service
instance = Expect-Instance
not-run = Not-Executed
server = Instance-Id
load = Load-Report
{extra_header_settings}
[retries]
share = 5
reserve = 100
[platform]
address = {store}
retry-last = 100ms
[operators]
source = trusted
[traces]
{trace_settings}
"""


def configuration(version=1, prefix="/view/", extra_routes=0):
    """A configuration of two usable routes and `extra_routes` that no request matches."""

    def route(path, route_type):
        return {
            "host": "papers.example",
            "path_prefix": path,
            "route_type": route_type,
            "timeout_s": 2.0,
            "target_latency_s": 1.0,
            "priority": 1,
            "service": "papers",
            "max_attempts": 2,
        }

    unused = {f"other-{n}": route(f"/other-{n}/", "safe") for n in range(extra_routes)}
    return {
        "version": version,
        "routes": unused
        | {"view": route(prefix, "safe"), "submit": route("/submit/", "unsafe")},
        "services": {"papers": {"health_path": "/health", "max_connections": 50}},
    }


@dataclass
class Fleet(InProcessDaemons):
    """Daemons with their backend servers, on one store.

    `link_bytes_per_second` limits the links of daemons to the store, in bytes per second by
    name. With `has_doors`, each daemon without such a link reaches the store through its own
    door. With `has_control_links`, each daemon's control port is reached through its own link.
    Daemons that are not in `zones` are in zone one.
    """

    store: StoreStandIn
    session: aiohttp.ClientSession
    backends: dict[str, PlainBackend] = field(default_factory=dict)
    list_settle: str = "0s"
    watch: str = "1s"
    watch_check: str = "0s"
    link_bytes_per_second: dict[str, float] = field(default_factory=dict)
    links: dict[str, ThrottledLink] = field(default_factory=dict)
    has_doors: bool = False
    doors: dict[str, StoreProxy] = field(default_factory=dict)
    has_control_links: bool = False
    control_links: dict[str, ThrottledLink] = field(default_factory=dict)
    zones: dict[str, str] = field(default_factory=dict)
    extra_daemon_settings: str = ""
    extra_backend_settings: str = ""  # more lines of the daemons' settings
    extra_header_settings: str = ""
    extra_entry_settings: str = ""
    trace_settings: str = ""
    # Daemons that have no `extra_header_settings`.
    without_extra_headers: frozenset[str] = frozenset()
    clocks: dict[str, Callable[[], float]] = field(default_factory=dict)  # Unix time, by name
    make_backend: Callable[[str], PlainBackend] = lambda name: PlainBackend(f"i-{name}")
    _request_numbers: Iterator[int] = field(default_factory=lambda: count(1))

    async def add(self, name, backend=None):
        backend = backend or self.make_backend(name)
        await backend.server.listen(HOST, 0)
        self.backends[name] = backend
        await self.start(name)

    async def start(self, name):
        store = f"{HOST}:{await self._store_port(name)}"
        port = self.backends[name].server.port
        text = SETTINGS.format(
            name=name,
            port=port,
            zone=self.zones.get(name, "one"),
            store=store,
            list_settle=self.list_settle,
            watch=self.watch,
            watch_check=self.watch_check,
            extra_daemon_settings=self.extra_daemon_settings,
            extra_backend_settings=self.extra_backend_settings,
            extra_header_settings=(
                "" if name in self.without_extra_headers else self.extra_header_settings
            ),
            extra_entry_settings=self.extra_entry_settings,
            trace_settings=self.trace_settings,
        )
        settings = parse_settings(text, name).unwrap()
        adapters = Adapters(FleetStore(store), decode_heartbeat)
        clock = {"unix": self.clocks[name]} if name in self.clocks else {}
        await self.start_daemon(settings, seed=3, adapters=adapters, **clock)

    async def prepare_daemon(self, daemon):
        """Put a link before the daemon's control port; the daemon lists the link's port."""
        if not self.has_control_links:
            return
        listen_directly = daemon.feed.relay.listen

        async def listen_behind_link(host, port):
            await listen_directly(host, port)
            link = ThrottledLink(HOST, daemon.feed.relay.port, inf)
            await link.open()
            self.control_links[daemon.settings.name] = link
            daemon.feed.relay.port = link.port

        daemon.feed.relay.listen = listen_behind_link

    async def _store_port(self, name):
        """The port of the store for a daemon: that of its link or door, if it has one."""
        if name in self.link_bytes_per_second:
            if name not in self.links:
                link = ThrottledLink(
                    HOST, self.store.server.port, self.link_bytes_per_second[name]
                )
                await link.open()
                self.links[name] = link
            return self.links[name].port
        if self.has_doors:
            if name not in self.doors:
                self.doors[name] = StoreProxy(self.store)
                await self.doors[name].server.listen(HOST, 0)
            return self.doors[name].server.port
        return self.store.server.port

    async def send_heartbeat(self, name, sequence, state="ready", server=None, born=0, slots=4):
        backend = self.backends[name]
        body = {
            "address": f"{HOST}:{backend.server.port}",
            "info": {"service": "papers", "version": "v1", "zone": "one", "slots": slots},
            "status": {
                "state": state,
                "seq": sequence,
                "cold_remaining_s": backend.cold_remaining,
            },
        }
        if born:
            body["born"] = born
        port = self.daemons[name].local_backend.registration_server.port
        url = f"http://{HOST}:{port}/heartbeats/{server or backend.server_id}"
        async with self.session.put(url, json=body) as answer:
            return answer.status

    async def send_request(self, name, path="/view/1", method="GET", body=b"", **headers):
        """Send a request to a daemon; returns the response's status, body and headers."""
        url = f"http://{HOST}:{self.daemons[name].entry_server.port}{path}"
        request_id = f"r-{next(self._request_numbers)}"
        headers = {"Host": "papers.example", "Request-Id": request_id} | headers
        async with self.session.request(method, url, data=body, headers=headers) as answer:
            return answer.status, await answer.read(), answer.headers

    async def ready(self, version=1):
        def are_ready():
            return all(
                d.status().version == version
                and d.status().members == len(self.daemons)
                and not d.server_side.gate.is_closed_by(ClosedBy.SERVER_UNKNOWN)
                for d in self.daemons.values()
            )

        async def check():
            return are_ready()

        try:
            await eventually(check)
        except TimeoutError as error:
            raise AssertionError(self.states()) from error

    def states(self):
        """The state of each daemon, for the message of a failed test."""
        return {
            name: (
                self.tasks[name].done(),
                daemon.status(),
                daemon.server_side.gate.is_closed_by(ClosedBy.SERVER_UNKNOWN),
                daemon.view.drains,
                sorted(daemon.feed.cache.instances),
                daemon.feed.cache.listed,
            )
            for name, daemon in self.daemons.items()
        }


def mark_dead(daemon, name):
    """Let a daemon take another one for dead, by a clock that is `DEAD_AFTER_SECONDS` later."""
    peers = (p for p in daemon.view.membership.peers("papers") if p.instance.name == name)
    for peer in peers:
        for second in range(DEAD_AFTER_FAILURES):
            peer.upstream.on_unreachable(float(second), Random(1))


@asynccontextmanager
async def fleet(*names, configured=True, initial_configuration=None, **options):
    """Run daemons of these names.

    Without `initial_configuration`, the store has the default configuration at the start. With
    `configured=False` it has none, and the daemons do not get ready.
    """
    store = StoreStandIn()
    await store.server.listen(HOST, 0)
    if configured:
        store.write("config", "main", initial_configuration or configuration())
    installation = Fleet(store, aiohttp.ClientSession(), **options)
    try:
        await asyncio.gather(*(installation.add(name) for name in names))
        if configured:
            await installation.ready()
        yield installation
    finally:
        await installation.stop_all()
        for backend in installation.backends.values():
            await backend.server.stop(0.0)
        for link in (*installation.links.values(), *installation.control_links.values()):
            await link.close()
        for door in installation.doors.values():
            await door.server.stop(0.0)
        await installation.session.close()
        await store.server.stop(0.0)
