"""Starts the processes of a small installation on loopback, for the demo and the tests.

The daemons and stand-ins do not start processes themselves.
"""

import asyncio
import os
import re
import resource
import signal
import sys
from collections.abc import Awaitable, Callable, Iterable
from dataclasses import dataclass, field
from math import inf
from pathlib import Path

import aiohttp
import msgspec
from wheatslip.store.instances import INSTANCE_KIND, Instance, InstanceState

from standins.backend import Behaviour, Record
from standins.link import ThrottledLink
from standins.platform import Faults

HOST = "127.0.0.1"
START_TIMEOUT_SECONDS = 60.0
STOP_TIMEOUT_SECONDS = 20.0
_LISTENING_PATTERN = re.compile(r"listening (\d+)")
_DAEMON_PORTS_PATTERN = re.compile(
    r"event=listening .*entry_port=(\d+) peer_port=(\d+) control_port=(\d+) pages_port=(\d+)"
)


class StartFailed(Exception):
    """A process exited before it was ready."""


@dataclass(frozen=True, slots=True)
class Plan:
    """A backend server to start, with the daemon beside it.

    `service` is the mean service time in seconds. `checkout` is the root of the checkout whose
    code the daemon runs; None for this one. Requests of the target `fatal` end the server, and
    it restarts; empty for none.
    """

    name: str
    pool: str
    zone: str
    slots: int = 12
    service: float = 0.004
    checkout: Path | None = None
    fatal: str = ""


class StartedProcess:
    """A started process and the lines of its output."""

    def __init__(self, process: asyncio.subprocess.Process, name: str):
        self.process = process
        self.name = name
        self.lines: list[str] = []
        self._output_changed = asyncio.Event()
        self._output_reader = asyncio.create_task(self._read_output())

    async def wait_for(self, pattern: re.Pattern[str]) -> re.Match[str]:
        """Wait for a matching line of output; raises StartFailed if the process exits first."""
        async with asyncio.timeout(START_TIMEOUT_SECONDS):
            while True:
                for line in self.lines:
                    if match := pattern.search(line):
                        return match
                if self._output_reader.done():
                    tail = "\n".join(self.lines[-20:])
                    raise StartFailed(f"{self.name} exited before it was ready:\n{tail}")
                self._output_changed.clear()
                await self._output_changed.wait()

    def send(self, signal_number: signal.Signals) -> None:
        """Send a signal if the process is running."""
        if self.process.returncode is None:
            self.process.send_signal(signal_number)

    async def end(self) -> int:
        """Terminate the process, or kill it after a timeout; returns its exit code."""
        self.send(signal.SIGTERM)
        try:
            async with asyncio.timeout(STOP_TIMEOUT_SECONDS):
                await self.process.wait()
        except TimeoutError:
            self.send(signal.SIGKILL)
            await self.process.wait()
        await self._output_reader
        assert self.process.returncode is not None
        return self.process.returncode

    async def _read_output(self) -> None:
        assert self.process.stdout is not None
        async for line in self.process.stdout:
            self.lines.append(line.decode(errors="replace").rstrip("\n"))
            self._output_changed.set()
        self._output_changed.set()


def python_path(checkout: Path) -> str:
    """The value of PYTHONPATH for a process that runs the code of another checkout."""
    packages = [str(path) for path in sorted(checkout.resolve().glob("packages/*"))]
    return os.pathsep.join([*packages, *filter(None, [os.environ.get("PYTHONPATH")])])


async def start_process(
    name: str, *arguments: str, checkout: Path | None = None, descriptors: int = 0
) -> StartedProcess:
    """Run a Python module with arguments, from another checkout if one is given.

    `descriptors` is the most that it may have open; 0: as many as this process.
    """
    environment = {} if checkout is None else {"PYTHONPATH": python_path(checkout)}

    def limit_descriptors() -> None:
        if descriptors:
            resource.setrlimit(resource.RLIMIT_NOFILE, (descriptors, descriptors))

    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        *arguments,
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.STDOUT,
        env=os.environ | environment,
        preexec_fn=limit_descriptors,
    )
    return StartedProcess(process, name)


@dataclass(slots=True)
class DaemonLinks:
    """The links to the ports of one daemon and from it to the platform, and the address that it
    connects to other daemons from (empty: the same as all others).

    `entry` and `peer` are None if those ports are reached directly.
    """

    platform: ThrottledLink
    source: str = ""
    control: ThrottledLink | None = None  # None until the daemon listens
    entry: ThrottledLink | None = None
    peer: ThrottledLink | None = None

    @property
    def to_ports(self) -> list[ThrottledLink]:
        """The links to the daemon's ports."""
        return [link for link in (self.control, self.entry, self.peer) if link is not None]


@dataclass(slots=True)
class Member:
    """One instance: the backend server and the daemon beside it."""

    plan: Plan
    backend: StartedProcess
    backend_port: int
    daemon: StartedProcess
    instance: Instance
    pages_port: int
    listed_version: int = 0


@dataclass(slots=True)
class Cluster:
    """The processes of one installation. `folder` has the settings and keys.

    Daemons connect to each other's control ports and to the platform through links, unless
    `has_links` is False. With `has_request_links`, the ports for requests are reached through
    links too, and each daemon connects to the others from an address of its own.
    """

    folder: Path
    extra_settings: str = ""
    own_settings: str = ""  # of the daemons that run the code of this checkout
    loop: str = "asyncio"
    has_links: bool = True
    has_request_links: bool = False
    descriptors: int = 0  # that each daemon may have open; 0: no limit of its own
    session: aiohttp.ClientSession = field(init=False)
    platform: StartedProcess = field(init=False)
    platform_address: str = field(init=False)
    members: dict[str, Member] = field(default_factory=dict)
    _links: list[ThrottledLink] = field(default_factory=list)
    # Those to control ports and to the platform.
    _control_plane_links: list[ThrottledLink] = field(default_factory=list)
    _daemon_links: dict[str, DaemonLinks] = field(default_factory=dict)  # by instance
    # Addresses of daemons that are cut off from the other daemons' control ports, or from all
    # their ports.
    _cut_off_control: set[str] = field(default_factory=set)
    _isolated: set[str] = field(default_factory=set)

    async def open(self) -> None:
        """Start the stand-in for the platform."""
        self.session = caller_session()
        self.platform = await start_process("platform", "standins.platform")
        port = (await self.platform.wait_for(_LISTENING_PATTERN)).group(1)
        self.platform_address = f"{HOST}:{port}"

    def silence_connections(self) -> None:
        """Stop forwarding on the open connections between daemons and to the platform."""
        for link in self._control_plane_links:
            link.silence()

    def withheld_count(self, name: str = "") -> int:
        """What silenced and blocked connections to control ports and to the platform did not
        forward, in chunks; of one instance if it is named.
        """
        links = self._control_plane(name) if name else self._control_plane_links
        return sum(link.withheld_count for link in links)

    def withheld_by_port(self, name: str) -> dict[str, int]:
        """What the links of an instance's daemon did not forward, in chunks, by the names of
        the ports.
        """
        own = self._daemon_links[name]
        counts = {"platform": own.platform.withheld_count}
        for port in ("control", "entry", "peer"):
            link = getattr(own, port)
            counts[port] = link.withheld_count if link is not None else 0
        return counts

    def withheld_sources(self, name: str) -> set[str]:
        """The addresses from which links of an instance's daemon have withheld something."""
        own = self._daemon_links[name]
        links = (own.platform, *own.to_ports)
        return {address for link in links for address in link.withheld_by_source}

    def block(self, name: str) -> None:
        """Cut an instance's daemon off the platform, and others off its control port."""
        for link in self._control_plane(name):
            link.block()

    def unblock(self, name: str) -> None:
        """End what `block` did."""
        for link in self._control_plane(name):
            link.unblock()

    def cut_off_control(self, name: str) -> None:
        """Cut an instance's daemon off the platform, and it and others off each other's control
        ports. Needs `has_request_links`.
        """
        self.block(name)
        self._cut_off_control.add(self.source(name))
        for links in self._links_of_others(name):
            if links.control is not None:
                links.control.block_source(self.source(name))

    def isolate(self, name: str) -> None:
        """Let nothing pass to or from an instance's daemon, but to and from its server. Needs
        `has_request_links`.
        """
        own = self._daemon_links[name]
        for link in (own.platform, *own.to_ports):
            link.block()
        self._isolated.add(self.source(name))
        for links in self._links_of_others(name):
            for link in links.to_ports:
                link.block_source(self.source(name))

    def reconnect(self, name: str) -> None:
        """End what `cut_off_control` or `isolate` did."""
        own = self._daemon_links[name]
        for link in (own.platform, *own.to_ports):
            link.unblock()
        self._cut_off_control.discard(own.source)
        self._isolated.discard(own.source)
        for link in self._links:
            link.unblock_source(own.source)

    def _control_plane(self, name: str) -> list[ThrottledLink]:
        own = self._daemon_links[name]
        assert own.control is not None
        return [own.platform, own.control]

    def _links_of_others(self, name: str) -> list[DaemonLinks]:
        return [links for other, links in self._daemon_links.items() if other != name]

    def source(self, name: str) -> str:
        """The address that an instance's daemon connects to other daemons from."""
        source = self._daemon_links[name].source
        assert source, "the daemon's connections come from the same address as all others'"
        return source

    async def refuse_connections(self, name: str) -> None:
        """Make connections to the ports of a daemon that has ended be refused."""
        for link in self._daemon_links[name].to_ports:
            await link.close()

    async def _open_link(self, port: int, blocked_sources: Iterable[str] = ()) -> ThrottledLink:
        """Open a link to `port`."""
        link = ThrottledLink(HOST, port, inf, blocked_sources=set(blocked_sources))
        await link.open()
        self._links.append(link)
        return link

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
        """Start backend servers with their daemons and list them as instances."""
        members = await asyncio.gather(*(self._start_member(plan) for plan in plans))
        for member in members:
            self.members[member.plan.name] = member
            await self.list_instance(member, InstanceState.LIVE)

    async def restart_daemon(self, member: Member) -> None:
        """Wait until a member's daemon has exited and start it again on other ports.

        The instance in the platform's list is not updated.
        """
        await member.daemon.process.wait()
        member.daemon = await self.start_daemon(member.plan, member.backend_port)
        ports = await self.wait_for_ports(member.plan.name, member.daemon)
        entry, peer, control, member.pages_port = ports
        member.instance = msgspec.structs.replace(
            member.instance,
            entry_port=entry,
            peer_port=peer,
            control_port=control,
            incarnation=member.instance.incarnation + 1,
        )

    async def read_listed_version(self, member: Member) -> None:
        """Read the version of an instance in the platform's list into `listed_version`."""
        async with self.session.get(self._list_url(member)) as response:
            assert response.status == 200, await response.text()
            member.listed_version = msgspec.json.decode(await response.read())["version"]

    async def list_instance(self, member: Member, state: InstanceState) -> None:
        """Write an instance to the platform's list, as the platform would."""
        instance = msgspec.structs.replace(member.instance, state=state)
        body = {"write_id": "list", "value": instance}
        params = {"expected": str(member.listed_version)}
        data = msgspec.json.encode(body)
        url = self._list_url(member)
        async with self.session.put(url, params=params, data=data) as response:
            assert response.status == 200, await response.text()
            member.listed_version = msgspec.json.decode(await response.read())["version"]

    async def unlist(self, member: Member) -> None:
        """Delete an instance from the platform's list."""
        async with self.session.delete(self._list_url(member)) as response:
            assert response.status == 204

    def _list_url(self, member: Member) -> str:
        return f"http://{self.platform_address}/objects/{INSTANCE_KIND}/{member.plan.name}"

    async def set_faults(self, faults: Faults) -> None:
        """Set the faults of the stand-in for the platform."""
        url = f"http://{self.platform_address}/stand-in/faults"
        async with self.session.put(url, data=msgspec.json.encode(faults)) as response:
            assert response.status == 204

    async def set_behaviour(self, name: str, behaviour: Behaviour) -> None:
        """Set the behaviour of a backend server."""
        url = f"http://{HOST}:{self.members[name].backend_port}/stand-in/behaviour"
        async with self.session.put(url, data=msgspec.json.encode(behaviour)) as response:
            assert response.status == 204

    async def record(self, name: str) -> Record:
        """Read the record of a backend server."""
        url = f"http://{HOST}:{self.members[name].backend_port}/stand-in/record"
        async with self.session.get(url) as response:
            return msgspec.json.decode(await response.read(), type=Record)

    async def status(self, name: str, timeout: float | None = None) -> dict[str, object]:
        """Read a daemon's status page; raises TimeoutError or aiohttp.ClientError on failure.

        `timeout` is in seconds; None for the session's timeout.
        """
        url = f"http://{HOST}:{self.members[name].pages_port}/status"
        limit = aiohttp.ClientTimeout(total=timeout) if timeout else None
        async with self.session.get(url, timeout=limit) as response:
            return msgspec.json.decode(await response.read())

    async def wait_for_version(self, version: int) -> None:
        """Wait until every running daemon reports this bundle version as in force."""
        await self._wait_for_all(lambda status: status["version"] == version)

    async def wait_for_members(self, count: int) -> None:
        """Wait until every running daemon reports this number of instances."""
        await self._wait_for_all(lambda status: status["members"] == count)

    async def wait_for_drained_zones(self, *zones: str) -> None:
        """Wait until every running daemon reports exactly these zones as drained."""
        await self._wait_for_all(lambda status: status["emptied_zones"] == sorted(zones))

    async def _wait_for_all(self, is_met: Callable[[dict[str, object]], bool]) -> None:
        names = [
            name
            for name, member in self.members.items()
            if member.daemon.process.returncode is None
        ]
        await asyncio.gather(*(self._wait_for_one(name, is_met) for name in names))

    async def _wait_for_one(
        self, name: str, is_met: Callable[[dict[str, object]], bool]
    ) -> None:
        await eventually(lambda: self._is_met(name, is_met))

    async def _is_met(self, name: str, is_met: Callable[[dict[str, object]], bool]) -> bool:
        try:
            return is_met(await self.status(name))
        except aiohttp.ClientError:
            return False

    async def _start_member(self, plan: Plan) -> Member:
        backend = await start_process(
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
        backend_port = int((await backend.wait_for(_LISTENING_PATTERN)).group(1))
        daemon = await self.start_daemon(plan, backend_port)
        *ports, pages_port = await self.wait_for_ports(plan.name, daemon)
        instance = Instance(plan.name, plan.pool, plan.zone, HOST, *ports)
        return Member(plan, backend, backend_port, daemon, instance, pages_port)

    async def wait_for_ports(
        self, name: str, daemon: StartedProcess
    ) -> tuple[int, int, int, int]:
        """Wait until a daemon listens; returns its entry, peer, control and pages ports.

        The ports that are reached through links are those of new links to the daemon.
        """
        match = await daemon.wait_for(_DAEMON_PORTS_PATTERN)
        entry, peer, control, pages = (int(port) for port in match.groups())
        if self.has_links:
            links = self._daemon_links[name]
            links.control = await self._open_link(
                control, self._isolated | self._cut_off_control
            )
            self._control_plane_links.append(links.control)
            control = links.control.port
            if self.has_request_links:
                links.entry = await self._open_link(entry, self._isolated)
                links.peer = await self._open_link(peer, self._isolated)
                entry, peer = links.entry.port, links.peer.port
        return entry, peer, control, pages

    async def start_daemon(self, plan: Plan, backend_port: int) -> StartedProcess:
        """Start the daemon beside a backend server."""
        platform_port = int(self.platform_address.rpartition(":")[2])
        source = ""
        if self.has_links:
            links = self._daemon_links.get(plan.name)
            if links is None:
                links = DaemonLinks(await self._open_link(platform_port))
                self._control_plane_links.append(links.platform)
                self._daemon_links[plan.name] = links
                if self.has_request_links:
                    links.source = f"127.0.0.{len(self._daemon_links) + 1}"
            platform_port, source = links.platform.port, links.source
        path = self.folder / f"{plan.name}.ini"
        path.write_text(
            f"[daemon]\nname = {plan.name}\nzone = {plan.zone}\npool = {plan.pool}\n"
            f"loop = {self.loop}\n"
            f"[peer]\nplain-text = yes\n"
            f"[backend]\nport = {backend_port}\n"
            f"[platform]\naddress = {HOST}:{platform_port}\n"
            f"[operators]\nkeyring = {self.folder}\n"
            + self.extra_settings
            + (self.own_settings if plan.checkout is None else "")
        )
        module = ["standins.sourceddaemon", source] if source else ["wheatslipd.main"]
        return await start_process(
            f"daemon {plan.name}",
            *module,
            "--settings",
            str(path),
            checkout=plan.checkout,
            descriptors=self.descriptors,
        )


def caller_session() -> aiohttp.ClientSession:
    """A client session that sends each request only once.

    By default aiohttp resends a GET when a reused connection breaks. If the resend can't
    connect, the caller would report the request as not run, although it may have run.
    """
    # By default a session has 100 connections, which those to a daemon that is cut off use up.
    session = aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0))
    session._retry_connection = False
    return session


async def eventually(is_met: Callable[[], Awaitable[bool]], seconds: float = 30.0) -> None:
    """Poll a condition until it is met; raises TimeoutError after `seconds`."""
    async with asyncio.timeout(seconds):
        while not await is_met():
            await asyncio.sleep(0.02)
