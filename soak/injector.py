"""Brings faults about in a cluster and takes them back; records what the daemons report."""

import asyncio
import signal
import time
from collections import defaultdict
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field, replace

import aiohttp
from wheatslip.store.instances import InstanceState

from soak.course import Fault, Step
from soak.history import DrainedZone, History, Observation, Stopped
from standins.backend import Behaviour
from standins.cluster import Cluster, Member, Plan, eventually
from standins.operators import CommandFailed, Operators
from standins.platform import Faults
from standins.verdict import DRAIN_SECONDS

SLOTS = 4
SERVICE = 0.02  # seconds
SLOW = 8.0  # times
DELAY = 0.5  # seconds that a slow platform takes
LOST = 3  # writes in a row whose answers are lost
STATUS_SECONDS = 0.5  # that a status page gets to answer
CALM_SECONDS = 60.0  # in which all must be well again when the faults are over

BUNDLE = """
[bundle]
version = {version}
[workspace alpha]
credential-sha256 = {digest}
[pool papers]
slots = 4
[service papers]
workspace = alpha
pool = papers
[kind papers/view]
repeatable = yes
[kind papers/submit]
repeatable = no
[kind papers/fatal]
repeatable = yes
[kind papers/extra-{version}]
repeatable = yes
"""


@dataclass(slots=True)
class FaultInjector:
    """Plays the steps of a course on one cluster."""

    cluster: Cluster
    desk: Operators
    history: History
    digest: str
    began: float = field(default_factory=time.time)
    version: int = 0
    lives: dict[str, int] = field(default_factory=dict)
    places: defaultdict[str, asyncio.Lock] = field(
        default_factory=lambda: defaultdict(asyncio.Lock)
    )

    @property
    def now(self) -> float:
        """Seconds since the soak began, by the clock that backend servers record runs with."""
        return time.time() - self.began

    async def prepare(self, plans: list[Plan]) -> None:
        """Start everything with the first bundle in force."""
        await self.desk.prepare(self.cluster.platform_address)
        await self.cluster.add(plans)
        self.lives = dict.fromkeys(self.cluster.members, 0)
        await self._release()
        await self.cluster.wait_for_version(1)
        await self.cluster.wait_for_members(len(plans))

    async def begin(self, step: Step) -> None:
        """Bring a fault about."""
        self._print(f"{step.fault} {step.where} for {step.seconds:.1f} s")
        member = self.cluster.members.get(step.where)
        match step.fault:
            case Fault.KILL:
                assert member is not None
                member.daemon.send(signal.SIGKILL)
            case Fault.STOP:
                assert member is not None
                await self._stop(member)
            case Fault.FREEZE:
                assert member is not None
                member.daemon.send(signal.SIGSTOP)
            case Fault.SLOW_SERVER:
                await self._behave(step.where, slow=SLOW)
            case Fault.FAILING_SERVER:
                await self._behave(step.where, fail_fast=True)
            case Fault.DRAIN:
                assert member is not None
                await self._try(lambda: self._list(member, InstanceState.LEAVING))
            case Fault.PLATFORM_DOWN:
                await self.cluster.set_faults(Faults(down=True))
            case Fault.PLATFORM_SLOW:
                await self.cluster.set_faults(Faults(delay=DELAY))
            case Fault.LOST_WRITES:
                await self.cluster.set_faults(Faults(lose_write_answers=LOST))
            case Fault.ROLLOUT:
                await self._try(self._release)
            case Fault.ZONE_DRAIN:
                await self._drain_zone(step)
            case Fault.SILENCE:
                self.cluster.silence_connections()

    async def end(self, step: Step) -> None:
        """Take a fault back."""
        member = self.cluster.members.get(step.where)
        match step.fault:
            case Fault.KILL | Fault.STOP:
                assert member is not None
                await self._start_again(member)
            case Fault.FREEZE:
                assert member is not None
                member.daemon.send(signal.SIGCONT)
            case Fault.SLOW_SERVER | Fault.FAILING_SERVER:
                await self._behave(step.where)
            case Fault.DRAIN:
                assert member is not None
                await self._stop(member)
                await self._start_again(member)
            case Fault.PLATFORM_DOWN | Fault.PLATFORM_SLOW | Fault.LOST_WRITES:
                await self.cluster.set_faults(Faults())
            case Fault.ZONE_DRAIN:
                await self._restore(step.where)

    def use_own_code(self) -> None:
        """Let all daemons that start from now on run the code of this checkout."""
        for member in self.cluster.members.values():
            member.plan = replace(member.plan, checkout=None)

    def _print(self, what: str) -> None:
        print(f"{self.now:6.1f} s  {what}", flush=True)

    async def observe(self) -> None:
        """Note the version that each daemon reports, of those that answer."""
        for name in list(self.cluster.members):
            life = self.lives[name]
            at = self.now
            status = await self._status(name)
            if status is not None and life == self.lives[name]:
                version = _number(status["version"])
                self.history.observations.append(Observation(at, name, life, version))

    async def wait_until_calm(self) -> None:
        """Wait until all faults and their effects are over."""
        await self.cluster.set_faults(Faults())
        try:
            await eventually(self._is_calm, CALM_SECONDS)
        except TimeoutError as error:
            statuses = {name: await self._status(name) for name in self.cluster.members}
            raise AssertionError(f"not calm in {CALM_SECONDS:.0f} s: {statuses}") from error

    async def _is_calm(self) -> bool:
        statuses = [await self._status(name) for name in self.cluster.members]
        count = len(self.cluster.members)
        return all(
            status is not None
            and status["ready"]
            and status["members"] == count
            and status["emptied_zones"] == []
            and _number(status["version"]) >= self.version
            for status in statuses
        )

    async def _status(self, name: str) -> dict[str, object] | None:
        """A daemon's status; None if it gives none soon."""
        try:
            return await self.cluster.status(name, STATUS_SECONDS)
        except (aiohttp.ClientError, TimeoutError):
            return None

    async def _behave(self, name: str, slow: float = 1.0, fail_fast: bool = False) -> None:
        behaviour = Behaviour(SLOTS, SERVICE, slow=slow, fail_fast=fail_fast)
        await self.cluster.set_behaviour(name, behaviour)

    async def _stop(self, member: Member) -> None:
        code = await member.daemon.end()
        self.history.stopped.append(Stopped(member.plan.name, code))

    async def _start_again(self, member: Member) -> None:
        """Start a daemon anew at other ports, and list it as a new start of the instance."""
        await self.cluster.restart_daemon(member)
        self.lives[member.plan.name] += 1
        await self._until_done(lambda: self._list(member, InstanceState.LIVE))

    async def _list(self, member: Member, state: InstanceState) -> None:
        """Write an instance into the list, from whatever version it stands at."""
        await self.cluster.read_listed_version(member)
        await self.cluster.list_instance(member, state)

    async def _release(self) -> None:
        version = self.version + 1
        await self.desk.release(version, BUNDLE.format(version=version, digest=self.digest))
        self.version = version

    async def _drain_zone(self, step: Step) -> None:
        """Drain a zone. It counts as drained once all daemons report it."""
        if not await self._try(lambda: self.desk.drain_zone(step.where)):
            return
        end = self.now + step.seconds
        while self.now < end:
            if await self._all_know(step.where):
                known = self.now + DRAIN_SECONDS
                self.history.drained_zones.append(DrainedZone(step.where, known, known))
                return

    async def _all_know(self, zone: str) -> bool:
        statuses = [await self._status(name) for name in self.cluster.members]
        return all(s is not None and zone in _texts(s["emptied_zones"]) for s in statuses)

    async def _restore(self, zone: str) -> None:
        """Restore a zone, in as many tries as it takes; the promise ends with the first try."""
        drains = self.history.drained_zones
        if drains and drains[-1].zone == zone and drains[-1].end == drains[-1].known:
            known = drains[-1].known
            drains[-1] = DrainedZone(zone, known, max(known, self.now))

        async def restore() -> None:
            try:
                await self.desk.restore_zone(zone)
            except CommandFailed as failed:
                if "is not emptied" not in str(failed):
                    raise

        await self._until_done(restore)

    async def _try(self, command: Callable[[], Awaitable[object]]) -> bool:
        """One try of what may fail while the platform is in trouble."""
        try:
            await command()
        except (CommandFailed, AssertionError, aiohttp.ClientError, TimeoutError) as failed:
            self._print(f"not done: {str(failed).splitlines()[0][:100]}")
            return False
        return True

    async def _until_done(self, command: Callable[[], Awaitable[object]]) -> None:
        async def done() -> bool:
            return await self._try(command)

        await eventually(done, 60.0)


def _number(value: object) -> int:
    assert isinstance(value, int)
    return value


def _texts(value: object) -> list[str]:
    assert isinstance(value, list)
    return [str(item) for item in value]
