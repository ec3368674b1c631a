"""Two daemons as processes with the memory of the smallest machine, and ordinary traffic beside
a crowd of clients that do not behave.
"""

import asyncio
import time
from collections import Counter
from contextlib import asynccontextmanager
from dataclasses import dataclass, field

import aiohttp
from wheatslip.config.bundle import credential_digest

from standins.backend import Behaviour
from standins.caller import ROUTES_HOST
from standins.childmemory import MemoryWatch
from standins.cluster import HOST, Cluster, Member, Plan, start_process
from standins.operators import running
from standins.rude import Conduct, Crowd, Summary, rude_arguments, summary_of

SMALLEST_MACHINE_MB = 200
DESCRIPTORS = 4100
SLOTS = 18
SERVICE_SECONDS = 0.02
ORDINARY_PER_SECOND = 30.0
ORDINARY_SECONDS = 2.0  # for which an ordinary caller waits
READY_INTERVAL_SECONDS = 1.0
READY_SECONDS = 1.0  # for which the platform waits for an answer of the health page
CROWD_END_SECONDS = 20.0  # for a crowd to end after its time
NO_ROUTE = "/nowhere/"
READ_PATH, WRITE_PATH = "/papers/view/", "/papers/submit/"

SETTINGS = (
    "[control]\nwatch = 1s\nwatch-check = 1s\nlist-watch = 1s\n"
    "[entry]\nwarm-up = 0s\ninterface = routes\nanswer-hold = 262144\n"
    "[headers]\nrequest-id = x-request-id\n"
)
LIMITS = """
[limits]
header-bytes = 16384
body-bytes = 67108864
header-timeout = 3s
idle-timeout = 15s
"""
BUNDLE = f"""
[bundle]
version = 1
[workspace alpha]
credential-sha256 = {credential_digest("alpha-secret")}
[pool papers]
slots = {SLOTS}
[service papers]
workspace = alpha
pool = papers
[route view]
host = {ROUTES_HOST}
prefix = {READ_PATH}
services = papers
repeatable = yes
timeout = 5s
max-attempts = 2
[route submit]
host = {ROUTES_HOST}
prefix = {WRITE_PATH}
services = papers
timeout = 5s
max-attempts = 2
"""


@dataclass(slots=True)
class Ordinary:
    """The ordinary requests to one daemon and their outcomes."""

    entry_port: int
    outcomes: Counter[str] = field(default_factory=Counter)
    longest_seconds: float = 0.0
    _pending: set[asyncio.Task[None]] = field(default_factory=set)

    async def send(self, seconds: float) -> None:
        """Send requests at a steady rate, two thirds GET and one third PUT."""
        started_at = time.perf_counter()
        timeout = aiohttp.ClientTimeout(total=ORDINARY_SECONDS)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            for number in range(round(seconds * ORDINARY_PER_SECOND)):
                due = started_at + number / ORDINARY_PER_SECOND
                await asyncio.sleep(max(0.0, due - time.perf_counter()))
                task = asyncio.create_task(self._send_one(session, number))
                self._pending.add(task)
                task.add_done_callback(self._pending.discard)
            await asyncio.gather(*self._pending)

    async def _send_one(self, session: aiohttp.ClientSession, number: int) -> None:
        is_write = number % 3 == 0
        path, method = (WRITE_PATH, "PUT") if is_write else (READ_PATH, "GET")
        headers = {"host": ROUTES_HOST, "x-request-id": f"{self.entry_port}-{number}"}
        body = b"y" * 200 if is_write else None
        sent_at = time.perf_counter()
        url = f"http://{HOST}:{self.entry_port}{path}"
        try:
            async with session.request(method, url, headers=headers, data=body) as answer:
                await answer.read()
                outcome = str(answer.status)
        except (aiohttp.ClientError, TimeoutError) as error:
            outcome = type(error).__name__
        self.outcomes[outcome] += 1
        self.longest_seconds = max(self.longest_seconds, time.perf_counter() - sent_at)

    @property
    def served_share(self) -> float:
        return self.outcomes["200"] / max(1, self.outcomes.total())


@dataclass(slots=True)
class Readiness:
    """Asks a health page once a second, as a platform does."""

    pages_port: int
    misses_in_a_row: int = 0
    most_misses: int = 0
    asked: int = 0

    async def run(self) -> None:
        """Ask until cancelled; each time on a new connection."""
        while True:
            started_at = time.perf_counter()
            self.asked += 1
            is_ready = await self._ask()
            self.misses_in_a_row = 0 if is_ready else self.misses_in_a_row + 1
            self.most_misses = max(self.most_misses, self.misses_in_a_row)
            elapsed = time.perf_counter() - started_at
            await asyncio.sleep(max(0.0, READY_INTERVAL_SECONDS - elapsed))

    async def _ask(self) -> bool:
        try:
            async with asyncio.timeout(READY_SECONDS):
                reader, writer = await asyncio.open_connection(HOST, self.pages_port)
                try:
                    writer.write(b"GET /health HTTP/1.1\r\nHost: x\r\n\r\n")
                    line = await reader.readline()
                finally:
                    writer.close()
        except (OSError, TimeoutError):
            return False
        return b" 200 " in line


@dataclass(slots=True)
class Result:
    """What came of a play; lists have the attacked daemon first."""

    served: list[float]
    outcomes: list[Counter[str]]
    longest_seconds: list[float]
    most_misses: int
    peaks_mb: dict[str, float]
    killed: dict[str, float]
    ended: list[str]
    crowds: list[Summary]


@dataclass(slots=True)
class RudeFleet:
    """The daemons; the crowd comes to the first one."""

    cluster: Cluster

    @property
    def members(self) -> list[Member]:
        return list(self.cluster.members.values())

    def port(self, name: str) -> int:
        """The port of that name at the daemon that the crowd comes to."""
        member = self.members[0]
        ports = {
            "entry": member.instance.entry_port,
            "peer": member.instance.peer_port,
            "pages": member.pages_port,
            "control": member.instance.control_port,
        }
        return ports[name]

    def crowd(
        self, conduct: Conduct, connections: int, path: str = READ_PATH, port: str = "entry"
    ) -> Crowd:
        """A crowd that comes to a port of the first daemon."""
        headers = f"Host: {ROUTES_HOST}\nx-padding: usual"
        return Crowd(conduct, HOST, self.port(port), connections, path, headers)

    async def play(
        self,
        *crowds: Crowd,
        seconds: float,
        memory_mb: float = SMALLEST_MACHINE_MB,
        answer_bytes: int = 0,
    ) -> Result:
        """Let crowds come beside ordinary traffic to both daemons, whose servers' answers have
        `answer_bytes` more.
        """
        behaviour = Behaviour(SLOTS, SERVICE_SECONDS, answer_bytes=answer_bytes)
        for member in self.members:
            await self.cluster.set_behaviour(member.plan.name, behaviour)
        watch = MemoryWatch(
            memory_mb, {m.plan.name: m.daemon.process.pid for m in self.members}
        )
        readiness = Readiness(self.port("pages"))
        ordinary = [Ordinary(m.instance.entry_port) for m in self.members]
        watch.start()
        asking = asyncio.create_task(readiness.run())
        processes = [
            await start_process("crowd", *rude_arguments(crowd, seconds)) for crowd in crowds
        ]
        await asyncio.gather(*(traffic.send(seconds) for traffic in ordinary))
        async with asyncio.timeout(CROWD_END_SECONDS):
            summaries = [await summary_of(process) for process in processes]
        asking.cancel()
        await watch.stop()
        return Result(
            [traffic.served_share for traffic in ordinary],
            [traffic.outcomes for traffic in ordinary],
            [round(traffic.longest_seconds, 2) for traffic in ordinary],
            readiness.most_misses,
            {name: round(peak) for name, peak in watch.peaks.items()},
            watch.killed,
            [m.plan.name for m in self.members if m.daemon.process.returncode is not None],
            summaries,
        )


@asynccontextmanager
async def rude_fleet(folder, bundle=BUNDLE + LIMITS, checkout=None):
    """Two daemons of one pool, `papers-1` and `papers-2`."""
    cluster = Cluster(folder, SETTINGS, has_links=False, descriptors=DESCRIPTORS)
    plans = [
        Plan(f"papers-{number}", "papers", "one", SLOTS, SERVICE_SECONDS, checkout)
        for number in (1, 2)
    ]
    async with running(cluster, plans, bundle):
        yield RudeFleet(cluster)
