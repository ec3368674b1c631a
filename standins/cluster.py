"""Starts the processes of a small installation on loopback, for the demo and the tests.

Only this starter starts processes; none of the system's own does.
"""

import asyncio
import os
import re
import signal
import sys
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from math import inf
from pathlib import Path

import aiohttp
import msgspec
from wheatslip.store.instances import INSTANCE_KIND, Instance, InstanceState

from standins.backend import Behaviour, Record
from standins.link import NarrowLink
from standins.platform import Faults

HOST = "127.0.0.1"
START_SECONDS = 60.0
STOP_SECONDS = 20.0
_LISTENING = re.compile(r"listening (\d+)")
_DAEMON_PORTS = re.compile(
    r"event=listening .*entry_port=(\d+) peer_port=(\d+) control_port=(\d+) pages_port=(\d+)"
)


class StartFailed(Exception):
    """A process ended before it was ready."""


@dataclass(frozen=True, slots=True)
class Plan:
    """One backend server to start, and the daemon beside it. `checkout` is the root of the
    checkout whose code the daemon runs; None: this one's. Requests of the target `fatal` end
    the server for a moment; empty: none does.
    """

    name: str
    pool: str
    zone: str
    slots: int = 12
    service: float = 0.004
    checkout: Path | None = None
    fatal: str = ""


class Running:
    """One started process, with the lines it wrote."""

    def __init__(self, process: asyncio.subprocess.Process, name: str):
        self.process = process
        self.name = name
        self.lines: list[str] = []
        self._changed = asyncio.Event()
        self._reader = asyncio.create_task(self._read())

    async def wait_for(self, pattern: re.Pattern[str]) -> re.Match[str]:
        """The first line that matches; raises StartFailed if the process ends before."""
        async with asyncio.timeout(START_SECONDS):
            while True:
                for line in self.lines:
                    if found := pattern.search(line):
                        return found
                if self._reader.done():
                    tail = "\n".join(self.lines[-20:])
                    raise StartFailed(f"{self.name} ended before it started:\n{tail}")
                self._changed.clear()
                await self._changed.wait()

    def send(self, number: signal.Signals) -> None:
        """Send a signal, if the process still runs."""
        if self.process.returncode is None:
            self.process.send_signal(number)

    async def end(self) -> int:
        """Ask the process to stop, insist after a while; returns its exit code."""
        self.send(signal.SIGTERM)
        try:
            async with asyncio.timeout(STOP_SECONDS):
                await self.process.wait()
        except TimeoutError:
            self.send(signal.SIGKILL)
            await self.process.wait()
        await self._reader
        assert self.process.returncode is not None
        return self.process.returncode

    async def _read(self) -> None:
        assert self.process.stdout is not None
        async for line in self.process.stdout:
            self.lines.append(line.decode(errors="replace").rstrip("\n"))
            self._changed.set()
        self._changed.set()


def python_path(checkout: Path) -> str:
    """The value of PYTHONPATH with which a process runs the code of another checkout."""
    packages = [str(path) for path in sorted(checkout.resolve().glob("packages/*"))]
    return os.pathsep.join([*packages, *filter(None, [os.environ.get("PYTHONPATH")])])


async def start(name: str, *arguments: str, checkout: Path | None = None) -> Running:
    """Start a Python module with arguments, of another checkout if one is given."""
    environment = {} if checkout is None else {"PYTHONPATH": python_path(checkout)}
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        *arguments,
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.STDOUT,
        env=os.environ | environment,
    )
    return Running(process, name)


@dataclass(slots=True)
class Member:
    """One instance: the backend server and the daemon beside it."""

    plan: Plan
    backend: Running
    backend_port: int
    daemon: Running
    instance: Instance
    pages_port: int
    listed_version: int = 0


@dataclass(slots=True)
class Cluster:
    """The processes of one installation. `folder` holds settings and keys.

    Daemons reach each other's control ports and the platform through links.
    """

    folder: Path
    extra_settings: str = ""
    loop: str = "asyncio"
    session: aiohttp.ClientSession = field(init=False)
    platform: Running = field(init=False)
    platform_address: str = field(init=False)
    members: dict[str, Member] = field(default_factory=dict)
    _links: list[NarrowLink] = field(default_factory=list)
    _daemons_platform: str = field(init=False)  # the platform's address as daemons see it

    async def open(self) -> None:
        """Start the platform's stand-in."""
        self.session = caller_session()
        self.platform = await start("platform", "standins.platform")
        port = (await self.platform.wait_for(_LISTENING)).group(1)
        self.platform_address = f"{HOST}:{port}"
        self._daemons_platform = f"{HOST}:{await self._behind_link(int(port))}"

    def silence_connections(self) -> None:
        """Let open connections between daemons, and to the platform, say nothing more."""
        for link in self._links:
            link.silence()

    async def _behind_link(self, port: int) -> int:
        """The port of a new link to `port`."""
        link = NarrowLink(HOST, port, inf)
        await link.open()
        self._links.append(link)
        return link.port

    async def close(self) -> list[int]:
        """Stop everything; returns the daemons' exit codes."""
        members = list(self.members.values())
        codes = await asyncio.gather(*(member.daemon.end() for member in members))
        rest = [member.backend.end() for member in members] + [self.platform.end()]
        await asyncio.gather(*rest)
        for link in self._links:
            await link.close()
        await self.session.close()
        return codes

    async def add(self, plans: list[Plan]) -> None:
        """Start backend servers with their daemons, and list them."""
        members = await asyncio.gather(*(self._start(plan) for plan in plans))
        for member in members:
            self.members[member.plan.name] = member
            await self.list_instance(member, InstanceState.LIVE)

    async def restart_daemon(self, member: Member) -> None:
        """Start a member's daemon anew, at other ports, when it has ended; not listed yet."""
        await member.daemon.process.wait()
        member.daemon = await self.start_daemon(member.plan, member.backend_port)
        entry, peer, control, member.pages_port = await self.ports_of(member.daemon)
        member.instance = msgspec.structs.replace(
            member.instance,
            entry_port=entry,
            peer_port=peer,
            control_port=control,
            incarnation=member.instance.incarnation + 1,
        )

    async def read_listed_version(self, member: Member) -> None:
        """Read at which version an instance stands in the platform's list."""
        async with self.session.get(self._list_url(member)) as response:
            assert response.status == 200, await response.text()
            member.listed_version = msgspec.json.decode(await response.read())["version"]

    async def list_instance(self, member: Member, state: InstanceState) -> None:
        """Write an instance into the platform's list, as the platform would."""
        instance = msgspec.structs.replace(member.instance, state=state)
        body = {"write_id": "list", "value": instance}
        params = {"expected": str(member.listed_version)}
        data = msgspec.json.encode(body)
        url = self._list_url(member)
        async with self.session.put(url, params=params, data=data) as response:
            assert response.status == 200, await response.text()
            member.listed_version = msgspec.json.decode(await response.read())["version"]

    async def unlist(self, member: Member) -> None:
        """Take an instance off the list."""
        async with self.session.delete(self._list_url(member)) as response:
            assert response.status == 204

    def _list_url(self, member: Member) -> str:
        return f"http://{self.platform_address}/objects/{INSTANCE_KIND}/{member.plan.name}"

    async def set_faults(self, faults: Faults) -> None:
        """Tell the platform's stand-in what to do wrong."""
        url = f"http://{self.platform_address}/stand-in/faults"
        async with self.session.put(url, data=msgspec.json.encode(faults)) as response:
            assert response.status == 204

    async def set_behaviour(self, name: str, behaviour: Behaviour) -> None:
        """Tell a backend server what to do."""
        url = f"http://{HOST}:{self.members[name].backend_port}/stand-in/behaviour"
        async with self.session.put(url, data=msgspec.json.encode(behaviour)) as response:
            assert response.status == 204

    async def record(self, name: str) -> Record:
        """What a backend server ran."""
        url = f"http://{HOST}:{self.members[name].backend_port}/stand-in/record"
        async with self.session.get(url) as response:
            return msgspec.json.decode(await response.read(), type=Record)

    async def status(self, name: str, timeout: float | None = None) -> dict[str, object]:
        """A daemon's status page; raises TimeoutError or aiohttp.ClientError without an answer.

        `timeout` is in seconds; None: that of the session.
        """
        url = f"http://{HOST}:{self.members[name].pages_port}/status"
        limit = aiohttp.ClientTimeout(total=timeout) if timeout else None
        async with self.session.get(url, timeout=limit) as response:
            return msgspec.json.decode(await response.read())

    async def wait_for_version(self, version: int) -> None:
        """Wait until every daemon that runs has the version in force."""
        await self._wait_all(lambda status: status["version"] == version)

    async def wait_for_members(self, count: int) -> None:
        """Wait until every daemon that runs knows so many instances."""
        await self._wait_all(lambda status: status["members"] == count)

    async def wait_for_drained_zones(self, *zones: str) -> None:
        """Wait until every daemon that runs reports exactly these zones as drained."""
        await self._wait_all(lambda status: status["emptied_zones"] == sorted(zones))

    async def _wait_all(self, is_met: Callable[[dict[str, object]], bool]) -> None:
        names = [n for n, m in self.members.items() if m.daemon.process.returncode is None]
        await asyncio.gather(*(self._wait_one(name, is_met) for name in names))

    async def _wait_one(self, name: str, is_met: Callable[[dict[str, object]], bool]) -> None:
        await eventually(lambda: self._is_met(name, is_met))

    async def _is_met(self, name: str, is_met: Callable[[dict[str, object]], bool]) -> bool:
        try:
            return is_met(await self.status(name))
        except aiohttp.ClientError:
            return False

    async def _start(self, plan: Plan) -> Member:
        backend = await start(
            f"backend {plan.name}",
            "standins.backend",
            "--name",
            plan.name,
            "--slots",
            str(plan.slots),
            "--service",
            str(plan.service),
            "--fatal",
            plan.fatal,
        )
        backend_port = int((await backend.wait_for(_LISTENING)).group(1))
        daemon = await self.start_daemon(plan, backend_port)
        *ports, pages_port = await self.ports_of(daemon)
        instance = Instance(plan.name, plan.pool, plan.zone, HOST, *ports)
        return Member(plan, backend, backend_port, daemon, instance, pages_port)

    async def ports_of(self, daemon: Running) -> tuple[int, int, int, int]:
        """A daemon's ports for callers, other daemons, control and pages."""
        found = await daemon.wait_for(_DAEMON_PORTS)
        entry, peer, control, pages = (int(port) for port in found.groups())
        return entry, peer, await self._behind_link(control), pages

    async def start_daemon(self, plan: Plan, backend_port: int) -> Running:
        """Start the daemon beside a backend server."""
        path = self.folder / f"{plan.name}.ini"
        path.write_text(
            f"[daemon]\nname = {plan.name}\nzone = {plan.zone}\npool = {plan.pool}\n"
            f"loop = {self.loop}\n"
            f"[peer]\nplain-text = yes\n"
            f"[backend]\nport = {backend_port}\n"
            f"[platform]\naddress = {self._daemons_platform}\n"
            f"[operators]\nkeyring = {self.folder}\n" + self.extra_settings
        )
        return await start(
            f"daemon {plan.name}",
            "wheatslipd.main",
            "--settings",
            str(path),
            checkout=plan.checkout,
        )


def caller_session() -> aiohttp.ClientSession:
    """A session of callers, each of whose requests is sent once.

    aiohttp sends a GET again by itself when a kept connection breaks. If the second can't
    connect, the first may have run all the same, and the caller would say that it did not.
    """
    session = aiohttp.ClientSession()
    session._retry_connection = False
    return session


async def eventually(is_met: Callable[[], Awaitable[bool]], seconds: float = 30.0) -> None:
    """Wait until a condition is met; raises TimeoutError after `seconds`."""
    async with asyncio.timeout(seconds):
        while not await is_met():
            await asyncio.sleep(0.02)
