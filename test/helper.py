"""The shared helper of the tests: daemons inside the test's process, and small makers.

Daemons, backend servers and the platform's stand-in run as tasks of one loop, on ports that
the system picks; every wait is for a condition. `Installation` has wheatslip's own platform,
`test/routed_fleet.py` the one of the adapter.
"""

import asyncio
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from random import Random
from typing import Any

import aiohttp
import msgspec
from aiohttp import web
from wheatslip.config.bundle import Bundle, credential_digest
from wheatslip.config.bundleini import parse_bundle
from wheatslip.config.releases import Releases
from wheatslip.config.signing import load_keyring, load_private_key, write_key_pair
from wheatslip.store.instances import INSTANCE_KIND, Instance, InstanceState
from wheatslip.store.objectclient import ObjectClient
from wheatslipd.daemon import Daemon
from wheatslipd.settings import Settings, parse_settings

from standins.backend import BackendStandIn, Behaviour
from standins.caller import Caller
from standins.cluster import HOST, eventually
from standins.platform import PlatformStandIn, serve

OPERATORS = ("anna", "moussa")
SEED = 11

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
    """A bundle from INI."""
    return parse_bundle(text.replace("version = 1", f"version = {version}"), "test").unwrap()


def run(scenario: Callable[[], Awaitable[None]], seconds: float = 60.0) -> None:
    """Run an async test; the bound only stops one that hangs."""

    async def bounded() -> None:
        async with asyncio.timeout(seconds):
            await scenario()

    asyncio.run(bounded())


@dataclass(slots=True)
class ShiftedClock:
    """Unix time that a test moves; daemons start in its past, so that keys made now are
    surely younger than their records.
    """

    shift: float = -100.0

    def __call__(self) -> float:
        return time.time() + self.shift


def ports_of(daemon: Daemon) -> dict[str, int]:
    """The ports of a daemon that listens, as an `Instance` names them."""
    return {
        "entry_port": daemon.entry_server.port,
        "peer_port": daemon.peer_server.port,
        "control_port": daemon.feed.relay.port,
    }


@dataclass(kw_only=True)
class InProcess:
    """Daemons by name, each a task of this loop."""

    daemons: dict[str, Daemon] = field(default_factory=dict)
    tasks: dict[str, asyncio.Task[int]] = field(default_factory=dict)

    async def start_daemon(self, settings: Settings, seed: int = SEED, **parts: Any) -> Daemon:
        """Start a daemon, in place of one of that name; returns when it listens.

        `parts` are passed on to `Daemon`.
        """
        daemon = self.daemons[settings.name] = Daemon(settings, Random(seed), **parts)
        await self.prepare(daemon)
        self.tasks[settings.name] = asyncio.create_task(daemon.run())
        await daemon.listening.wait()
        return daemon

    async def prepare(self, daemon: Daemon) -> None:
        """Called with each daemon before it runs."""

    async def stop(self, name: str) -> int:
        """Stop a daemon; returns its exit code."""
        self.daemons.pop(name).stop()
        return await self.tasks.pop(name)

    async def stop_all(self) -> None:
        """Stop all daemons at once."""
        await asyncio.gather(*(self.stop(name) for name in list(self.daemons)))


@dataclass(slots=True)
class Node:
    """A backend server with its daemon."""

    instance: Instance
    backend: BackendStandIn
    daemon: Daemon
    task: asyncio.Task[int]
    listed_version: int = 0

    @property
    def entry(self) -> int:
        """The entry's port."""
        return self.instance.entry_port


@dataclass
class Installation(InProcess):
    """Use with `async with`; starts the platform's stand-in and the operators' keys."""

    folder: Path
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
        prepare: Callable[[BackendStandIn], object] = lambda backend: None,
    ) -> Node:
        """Start a backend server and its daemon, and list them. `prepare` gets the server
        before it listens.
        """
        behaviour = behaviour or Behaviour(slots=4, service=0.001)
        backend = BackendStandIn(name, behaviour, Random(SEED))
        prepare(backend)
        await backend.server.listen(HOST, 0)
        settings = parse_settings(
            f"[daemon]\nname = {name}\nzone = {zone}\npool = {pool}\n"
            f"[entry]\nwarm-up = 0s\n"
            f"[peer]\nplain-text = yes\n"
            f"[backend]\nport = {backend.server.port}\n"
            f"[platform]\naddress = {self._address}\n"
            f"[operators]\nkeyring = {self.folder}\n",
            name,
        ).unwrap()
        daemon = await self.start_daemon(settings, unix=self.clock)
        instance = Instance(name, pool, zone, HOST, **ports_of(daemon))
        node = Node(instance, backend, daemon, self.tasks[name])
        self.nodes[name] = node
        await self.list_instance(node, InstanceState.LIVE)
        return node

    async def start_again(self, name: str) -> Node:
        """Start a daemon that was stopped anew, at other ports, and list it as a new start once
        it listens.
        """
        before = self.nodes[name]
        daemon = await self.start_daemon(before.daemon.settings, unix=self.clock)
        incarnation = before.instance.incarnation + 1
        instance = msgspec.structs.replace(
            before.instance, incarnation=incarnation, **ports_of(daemon)
        )
        node = Node(instance, before.backend, daemon, self.tasks[name], before.listed_version)
        self.nodes[name] = node

        async def has_read_the_list() -> bool:
            return bool(daemon.feed.cache.instances)

        await eventually(has_read_the_list)
        await self.list_instance(node, InstanceState.LIVE)
        return node

    async def list_instance(self, node: Node, state: InstanceState) -> None:
        """Write an instance into the platform's list."""
        instance = msgspec.structs.replace(node.instance, state=state)
        name = node.instance.name
        stored = await self.client.put(INSTANCE_KIND, name, instance, node.listed_version)
        node.listed_version = stored.unwrap().version

    async def release(self, new: Bundle) -> None:
        """Propose, sign twice and roll out a bundle."""
        releases = Releases(self.client, load_keyring(self.folder))
        (await releases.propose(new)).unwrap()
        for operator in OPERATORS:
            key = load_private_key(self.folder / f"{operator}.key")
            (await releases.sign(new.version, new.digest(), operator, key)).unwrap()
        (await releases.roll_out(new.version, new.digest())).unwrap()

    async def ready(self, version: int = 1) -> None:
        """Wait until every daemon has the version in force and knows every instance."""
        await eventually(self._is_ready(version))
        self.clock.shift = 0.0
        for node in self.nodes.values():
            # The list was checked by the clock of before; it is as fresh as it was.
            node.daemon.feed.cache.checked = time.time()

    def caller(self, workspace: str = "alpha", seed: int = SEED) -> Caller:
        """A caller of a workspace."""
        return Caller(self.session, workspace, f"{workspace}-secret", Random(seed))

    def _is_ready(self, version: int) -> Callable[[], Awaitable[bool]]:
        async def check() -> bool:
            states = [node.daemon.status() for node in self.nodes.values()]
            count = len(self.nodes)
            return all(s.version == version and s.members == count for s in states)

        return check
