"""A fleet of routed daemons inside one process: registering servers and the adapter's store."""

import asyncio
from collections.abc import Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from math import inf

import aiohttp
from wheatslip.admission import ClosedBy
from wheatslipd.daemon import Adapters
from wheatslipd.settings import parse_settings

from fleet_adapter.heartbeats import decode_heartbeat
from fleet_adapter.store import FleetStore
from fleet_standins.store import StoreStandIn
from fleet_standins.storeproxy import StoreProxy
from standins.cluster import HOST, eventually
from standins.link import ThrottledLink
from standins.plainbackend import PlainBackend
from test.helper import InProcess

SETTINGS = """
[daemon]
name = {name}
zone = {zone}
pool = papers
loop = asyncio
[entry]
interface = routes
answer-hold = 65536
warm-up = 0s
max-bounces = 3
[peer]
plain-text = yes
[control]
watch = {watch}
watch-check = {watch_check}
list-watch = {watch}
list-settle = {settle}
[backend]
port = {port}
{more_backend}
[registration]
port = 0
[headers]
deadline = Deadline-Remaining
request-id = Request-Id
caller = Caller-Service
instance = Expect-Instance
not-run = Not-Executed
server = Instance-Id
load = Load-Report
{more_headers}
[retries]
share = 5
reserve = 100
[platform]
address = {store}
retry-last = 100ms
[operators]
source = trusted
"""


def configuration(version=1, prefix="/view/", more=0):
    """A configuration of two routes and `more` that nobody asks for."""

    def route(path, kind):
        return {
            "host": "papers.example",
            "path_prefix": path,
            "route_type": kind,
            "timeout_s": 2.0,
            "target_latency_s": 1.0,
            "priority": 1,
            "service": "papers",
            "max_attempts": 2,
        }

    others = {f"other-{n}": route(f"/other-{n}/", "safe") for n in range(more)}
    return {
        "version": version,
        "routes": others
        | {"view": route(prefix, "safe"), "submit": route("/submit/", "unsafe")},
        "services": {"papers": {"health_path": "/health", "max_connections": 50}},
    }


@dataclass
class Fleet(InProcess):
    """Daemons with their servers, on one store. `link_bytes` bounds what the link of a daemon
    to the store carries a second; with `has_doors` each daemon without such a link reaches the
    store through a door of its own. Daemons that `zones` does not name are in zone one. With
    `has_control_links` daemons reach the control port of each through a link of its own.
    """

    store: StoreStandIn
    session: aiohttp.ClientSession
    backends: dict[str, PlainBackend] = field(default_factory=dict)
    settle: str = "0s"
    watch: str = "1s"
    watch_check: str = "0s"
    link_bytes: dict[str, float] = field(default_factory=dict)
    links: dict[str, ThrottledLink] = field(default_factory=dict)
    has_doors: bool = False
    doors: dict[str, StoreProxy] = field(default_factory=dict)
    has_control_links: bool = False
    control_links: dict[str, ThrottledLink] = field(default_factory=dict)
    zones: dict[str, str] = field(default_factory=dict)
    more_backend: str = ""  # lines of the daemons' settings
    more_headers: str = ""
    make_backend: Callable[[str], PlainBackend] = lambda name: PlainBackend(f"i-{name}")

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
            settle=self.settle,
            watch=self.watch,
            watch_check=self.watch_check,
            more_backend=self.more_backend,
            more_headers=self.more_headers,
        )
        settings = parse_settings(text, name).unwrap()
        adapters = Adapters(FleetStore(store), decode_heartbeat)
        await self.start_daemon(settings, seed=3, adapters=adapters)

    async def prepare(self, daemon):
        """Let the daemon list its link's port in place of its own control port."""
        if not self.has_control_links:
            return
        listen = daemon.feed.relay.listen

        async def listen_behind_link(host, port):
            await listen(host, port)
            link = ThrottledLink(HOST, daemon.feed.relay.port, inf)
            await link.open()
            self.control_links[daemon.settings.name] = link
            daemon.feed.relay.port = link.port

        daemon.feed.relay.listen = listen_behind_link

    async def _store_port(self, name):
        """Where a daemon finds the store: behind its link or its door, if it has one."""
        if name in self.link_bytes:
            if name not in self.links:
                link = ThrottledLink(HOST, self.store.server.port, self.link_bytes[name])
                await link.open()
                self.links[name] = link
            return self.links[name].port
        if self.has_doors:
            if name not in self.doors:
                self.doors[name] = StoreProxy(self.store)
                await self.doors[name].server.listen(HOST, 0)
            return self.doors[name].server.port
        return self.store.server.port

    async def beat(self, name, sequence, state="ready", server=None):
        backend = self.backends[name]
        body = {
            "address": f"{HOST}:{backend.server.port}",
            "info": {"service": "papers", "version": "v1", "zone": "one", "slots": 4},
            "status": {
                "state": state,
                "seq": sequence,
                "cold_remaining_s": backend.cold_remaining,
            },
        }
        port = self.daemons[name].local_backend.registration_server.port
        url = f"http://{HOST}:{port}/heartbeats/{server or backend.server_id}"
        async with self.session.put(url, json=body) as answer:
            return answer.status

    async def ask(self, name, path="/view/1", method="GET", body=b"", **headers):
        """Status, body and headers of the answer."""
        url = f"http://{HOST}:{self.daemons[name].entry_server.port}{path}"
        headers = {"Host": "papers.example", "Request-Id": "r-1"} | headers
        async with self.session.request(method, url, data=body, headers=headers) as answer:
            return answer.status, await answer.read(), answer.headers

    async def ready(self, version=1):
        def check():
            return all(
                d.status().version == version
                and d.status().members == len(self.daemons)
                and not d.server_side.gate.is_closed_by(ClosedBy.SERVER_UNKNOWN)
                for d in self.daemons.values()
            )

        async def checked():
            return check()

        try:
            await eventually(checked)
        except TimeoutError as error:
            # What each daemon lacks, so that one failure is enough to trace it.
            raise AssertionError(self.states()) from error

    def states(self):
        """What each daemon knows, for a failure's report."""
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


@asynccontextmanager
async def fleet(*names, configured=True, written=None, **options):
    """`written` is the configuration to begin with, the usual one if it is not given."""
    store = StoreStandIn()
    await store.server.listen(HOST, 0)
    if configured:
        store.write("config", "main", written or configuration())
    one = Fleet(store, aiohttp.ClientSession(), **options)
    try:
        await asyncio.gather(*(one.add(name) for name in names))
        if configured:
            await one.ready()
        yield one
    finally:
        await one.stop_all()
        for backend in one.backends.values():
            await backend.server.stop(0.0)
        for link in (*one.links.values(), *one.control_links.values()):
            await link.close()
        for door in one.doors.values():
            await door.server.stop(0.0)
        await one.session.close()
        await store.server.stop(0.0)
