"""Shared test code: daemons inside the test process, and factories for their data.

Daemons, backend servers and the platform stand-in run as tasks of one event loop, on ports that
the system picks. Tests wait for conditions, not for fixed times. `Installation` uses
wheatslip's own platform interface; `test/routed_fleet.py` uses the adapter's store.
"""

import asyncio
import time
from collections import deque
from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from pathlib import Path
from random import Random
from typing import Any

import aiohttp
import eliot
import msgspec
from aiohttp import web
from wheatslip.config.bundle import Bundle, credential_digest
from wheatslip.config.bundleini import parse_bundle
from wheatslip.config.releases import Releases
from wheatslip.config.signing import load_keyring, load_private_key, write_key_pair
from wheatslip.store.instances import INSTANCE_KIND, Instance, InstanceState
from wheatslip.store.objectclient import ObjectClient
from wheatslipd.daemon import Daemon
from wheatslipd.http.exchange import Exchange
from wheatslipd.http.messages import RequestHead
from wheatslipd.http.server import Server
from wheatslipd.settings import LogLevel, Settings, parse_settings
from wheatslipd.telemetry.logs import render
from wheatslipd.timeouts import sleep_lateness

from standins.backend import BackendStandIn, Behaviour
from standins.caller import Caller
from standins.cluster import HOST, eventually
from standins.platform import PlatformStandIn, serve

OPERATORS = ("anna", "moussa")
SEED = 11
LAG_CHECK_SECONDS = 0.02
SHOWN_EVENTS = 40  # of a failed test

BUNDLE = f"""
[bundle]
version = 1
[workspace alpha]
credential-sha256 = {credential_digest("alpha-secret")}
[workspace beta]
credential-sha256 = {credential_digest("beta-secret")}
[pool papers]
slots = 4
[service papers]
workspace = alpha
pool = papers
[kind papers/submit]
repeatable = no
"""


def bundle(text: str = BUNDLE, version: int = 1) -> Bundle:
    """Parse a bundle from INI text."""
    return parse_bundle(text.replace("version = 1", f"version = {version}"), "test").unwrap()


def run(scenario: Callable[[], Awaitable[None]], seconds: float = 60.0) -> None:
    """Run an async test; the timeout only stops a test that hangs.

    A failure also says for how long the event loop was held up during the test, and what was
    logged last.
    """

    async def run_with_timeout() -> None:
        with measured_lag() as lags, last_events() as events:
            try:
                async with asyncio.timeout(seconds):
                    await scenario()
            except Exception as error:
                error.add_note("\n".join((describe_lag(lags), *map(render, events))))
                raise

    asyncio.run(run_with_timeout())


@contextmanager
def last_events() -> Iterator[deque[dict[str, Any]]]:
    """Yield a queue of the `SHOWN_EVENTS` events that were logged last, without debug ones."""
    events: deque[dict[str, Any]] = deque(maxlen=SHOWN_EVENTS)

    def keep(event: dict[str, Any]) -> None:
        if event.get("level") != LogLevel.DEBUG:
            events.append(event)

    eliot.add_destinations(keep)
    events.clear()  # eliot also delivers the events before the first destination
    try:
        yield events
    finally:
        eliot.remove_destination(keep)


@contextmanager
def measured_lag() -> Iterator[list[float]]:
    """Yield a list of the seconds by which a timer of `LAG_CHECK_SECONDS` was late."""
    lags = [0.0]

    async def measure() -> None:
        while True:
            lags.append(await sleep_lateness(LAG_CHECK_SECONDS))

    task = asyncio.get_running_loop().create_task(measure())
    try:
        yield lags
    finally:
        task.cancel()


def describe_lag(lags: list[float]) -> str:
    return f"the loop was held up for {sum(lags):.2f} s, at most {max(lags):.2f} s at once"


@dataclass(slots=True)
class ShiftedClock:
    """Unix time plus an offset that a test can change.

    Daemons start while the clock is in the past, so that keys made now are newer than their
    records: a daemon does not run a request whose key is older.
    """

    offset_seconds: float = -100.0

    def __call__(self) -> float:
        return time.time() + self.offset_seconds


def ports_of(daemon: Daemon) -> dict[str, int]:
    """The ports of a listening daemon, by their field names in `Instance`."""
    return {
        "entry_port": daemon.entry_server.port,
        "peer_port": daemon.peer_server.port,
        "control_port": daemon.feed.relay.port,
    }


@dataclass(kw_only=True)
class InProcessDaemons:
    """Daemons by name, each running as a task of the current event loop."""

    daemons: dict[str, Daemon] = field(default_factory=dict)
    tasks: dict[str, asyncio.Task[int]] = field(default_factory=dict)

    async def start_daemon(
        self, settings: Settings, seed: int = SEED, **options: Any
    ) -> Daemon:
        """Start a daemon, replacing one of the same name, and wait until it listens.

        `options` are passed on to `Daemon`.
        """
        daemon = self.daemons[settings.name] = Daemon(settings, Random(seed), **options)
        await self.prepare_daemon(daemon)
        self.tasks[settings.name] = asyncio.create_task(daemon.run())
        await daemon.listening.wait()
        return daemon

    async def prepare_daemon(self, daemon: Daemon) -> None:
        """Hook for subclasses, called with each daemon before it runs."""

    async def stop(self, name: str) -> int:
        """Stop a daemon and return its exit code."""
        self.daemons.pop(name).stop()
        return await self.tasks.pop(name)

    async def stop_all(self) -> None:
        """Stop all daemons concurrently."""
        await asyncio.gather(*(self.stop(name) for name in list(self.daemons)))


@dataclass(slots=True)
class Node:
    """A backend server and its daemon. `listed_version` is the version of its list entry."""

    instance: Instance
    backend: BackendStandIn
    daemon: Daemon
    task: asyncio.Task[int]
    listed_version: int = 0

    @property
    def entry(self) -> int:
        """Port on which the daemon accepts requests of callers."""
        return self.instance.entry_port


@dataclass
class Installation(InProcessDaemons):
    """Daemons with their backend servers, on a platform stand-in.

    As an async context manager, it starts the stand-in and creates the operators' keys in
    `folder`.
    """

    folder: Path
    extra_settings: str = ""  # more lines of the daemons' settings
    daemon_options: dict[str, Any] = field(default_factory=dict)  # passed to `Daemon`
    nodes: dict[str, Node] = field(default_factory=dict)
    clock: ShiftedClock = field(default_factory=ShiftedClock)
    platform: PlatformStandIn = field(init=False)
    client: ObjectClient = field(init=False)
    session: aiohttp.ClientSession = field(init=False)
    _runner: web.AppRunner = field(init=False)
    _address: str = field(init=False)

    async def __aenter__(self) -> "Installation":
        self._runner, port, self.platform = await serve(HOST, 0)
        self._address = f"{HOST}:{port}"
        self.client = ObjectClient(self._address, Random(SEED))
        self.session = aiohttp.ClientSession()
        for operator in OPERATORS:
            if not (self.folder / f"{operator}.key").exists():
                write_key_pair(operator, self.folder)
        return self

    async def __aexit__(self, *error: object) -> None:
        await self.stop_all()
        for node in self.nodes.values():
            await node.backend.server.stop(0.0)
        await self.client.close()
        await self.session.close()
        await self._runner.cleanup()

    async def add(
        self,
        name: str,
        behaviour: Behaviour | None = None,
        pool: str = "papers",
        zone: str = "one",
        prepare_backend: Callable[[BackendStandIn], object] = lambda backend: None,
        extra_settings: str = "",
    ) -> Node:
        """Start a backend server and its daemon, and list the instance.

        `prepare_backend` is called with the server before it listens. `extra_settings` are more
        sections of the daemon's settings.
        """
        behaviour = behaviour or Behaviour(slots=4, service=0.001)
        backend = BackendStandIn(name, behaviour, Random(SEED))
        prepare_backend(backend)
        await backend.server.listen(HOST, 0)
        settings = parse_settings(
            f"[daemon]\nname = {name}\nzone = {zone}\npool = {pool}\n"
            f"[entry]\nwarm-up = 0s\n"
            f"[peer]\nplain-text = yes\n"
            f"[backend]\nport = {backend.server.port}\n"
            f"[platform]\naddress = {self._address}\n"
            f"[operators]\nkeyring = {self.folder}\n{self.extra_settings}{extra_settings}",
            name,
        ).unwrap()
        daemon = await self.start_daemon(settings, unix=self.clock, **self.daemon_options)
        instance = Instance(name, pool, zone, HOST, **ports_of(daemon))
        node = Node(instance, backend, daemon, self.tasks[name])
        self.nodes[name] = node
        await self.list_instance(node, InstanceState.LIVE)
        return node

    async def start_again(self, name: str) -> Node:
        """Start a stopped daemon again, on other ports, and list its new incarnation once it
        has read the list.
        """
        stopped = self.nodes[name]
        daemon = await self.start_daemon(
            stopped.daemon.settings, unix=self.clock, **self.daemon_options
        )
        incarnation = stopped.instance.incarnation + 1
        instance = msgspec.structs.replace(
            stopped.instance, incarnation=incarnation, **ports_of(daemon)
        )
        node = Node(instance, stopped.backend, daemon, self.tasks[name], stopped.listed_version)
        self.nodes[name] = node

        async def has_read_list() -> bool:
            return bool(daemon.feed.cache.instances)

        await eventually(has_read_list)
        await self.list_instance(node, InstanceState.LIVE)
        return node

    async def list_instance(self, node: Node, state: InstanceState) -> None:
        """Write an instance to the platform's list, in the given state."""
        instance = msgspec.structs.replace(node.instance, state=state)
        name = node.instance.name
        stored = await self.client.put(INSTANCE_KIND, name, instance, node.listed_version)
        node.listed_version = stored.unwrap().version

    async def release(self, proposal: Bundle) -> None:
        """Propose a bundle, sign it by both operators and roll it out."""
        releases = Releases(self.client, load_keyring(self.folder))
        (await releases.propose(proposal)).unwrap()
        for operator in OPERATORS:
            key = load_private_key(self.folder / f"{operator}.key")
            (await releases.sign(proposal.version, proposal.digest(), operator, key)).unwrap()
        (await releases.roll_out(proposal.version, proposal.digest())).unwrap()

    async def ready(self, version: int = 1) -> None:
        """Wait until every daemon has the version in force and knows every instance."""
        await eventually(self._is_ready(version))
        self.clock.offset_seconds = 0.0
        for node in self.nodes.values():
            # The recorded time of the last list check is from before the clock changed; without
            # this, the list would count as outdated.
            node.daemon.feed.cache.checked = time.time()

    def caller(self, workspace: str = "alpha", seed: int = SEED) -> Caller:
        return Caller(self.session, workspace, f"{workspace}-secret", Random(seed))

    def _is_ready(self, version: int) -> Callable[[], Awaitable[bool]]:
        async def check() -> bool:
            statuses = [node.daemon.status() for node in self.nodes.values()]
            count = len(self.nodes)
            return all(s.version == version and s.members == count for s in statuses)

        return check


@contextmanager
def recorded_events() -> Iterator[list[dict[str, Any]]]:
    """Yield a list to which the events logged from now on are added."""
    events: list[dict[str, Any]] = []
    eliot.add_destinations(events.append)
    events.clear()  # eliot also delivers the events before the first destination
    try:
        yield events
    finally:
        eliot.remove_destination(events.append)


def record_heads(server: Server, heads: list[RequestHead]) -> None:
    """Add the head of each request that a server receives to `heads`."""
    handle = server._handler

    async def recorded(exchange: Exchange) -> None:
        heads.append(exchange.head)
        await handle(exchange)

    server._handler = recorded
