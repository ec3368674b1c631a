"""Injects faults into a cluster, ends them, and records what the daemons report."""

import asyncio
import signal
import time
from collections import defaultdict
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field, replace

import aiohttp
import msgspec
from wheatslip.config.bundleini import parse_bundle
from wheatslip.store.instances import InstanceState

from soak.configuration import (
    HOT,
    LOWERED_LIMIT,
    OPEN_KIND,
    SPARE_SECRET,
    Configuration,
    RoutedConfiguration,
)
from soak.history import (
    DrainedZone,
    FrozenServer,
    History,
    NamedLimit,
    Observation,
    PlannedStop,
)
from soak.ranks import Overload
from soak.schedule import Fault, Step
from soak.workspaces import Isolation, Outage, RemovedCredential, WorkspaceLimit
from standins.backend import Behaviour
from standins.caller import ROUTES_HOST
from standins.cluster import (
    HOST,
    Cluster,
    Member,
    Plan,
    StartedProcess,
    eventually,
    start_process,
)
from standins.operators import CommandFailed, Operators
from standins.platform import Faults
from standins.rude import Crowd, rude_arguments, summary_of
from standins.verdict import DRAIN_SECONDS

SLOTS = 4
SERVICE_TIME_SECONDS = 0.02
LIMIT_PER_SECOND = 1.0  # that a limited server names
OVERLOAD_SERVICE_SECONDS = 0.32  # of all servers: 75 requests a second for six of four slots
SLOW_FACTOR = 8.0  # by which a slow server multiplies its service time
PLATFORM_DELAY_SECONDS = 0.5
LOST_WRITE_ANSWERS = 3  # consecutive writes without an answer
STATUS_TIMEOUT_SECONDS = 0.5
CROWD_CONNECTIONS = 100
CROWD_END_SECONDS = 15.0  # for a crowd to end after its time
RECOVERY_TIMEOUT_SECONDS = 60.0  # for the recovery after the last fault

# Faults in which a daemon does not run or does not reach the platform, or no daemon does.
OUTAGE_FAULTS = frozenset(
    {
        Fault.KILL,
        Fault.STOP,
        Fault.FREEZE,
        Fault.DRAIN,
        Fault.PLATFORM_DOWN,
        Fault.PARTITION,
        Fault.LOWER_LIMIT,
        Fault.ISOLATE,
        Fault.REMOVE_CREDENTIAL,
    }
)
# Faults during which some connection must have withheld chunks, else they had no effect.
WITHHOLDING_FAULTS = frozenset({Fault.LOWER_LIMIT, Fault.REMOVE_CREDENTIAL})


def _do_nothing() -> None:
    pass


@dataclass(slots=True)
class FaultInjector:
    """Starts and ends the faults of a schedule in one cluster."""

    cluster: Cluster
    operators: Operators
    history: History
    configuration: Configuration
    started_at: float = field(default_factory=time.time)  # unix seconds
    version: int = 0  # of the last bundle rolled out
    is_overloaded: bool = False  # the requests of an overload are sent while it is true
    restarts: dict[str, int] = field(default_factory=dict)  # of each daemon
    # Serialize the faults of one instance or zone, and other faults of one type.
    locks: defaultdict[str, asyncio.Lock] = field(
        default_factory=lambda: defaultdict(asyncio.Lock)
    )

    _behaviours: dict[str, Behaviour] = field(default_factory=dict)  # that differ or did
    _texts: dict[int, str] = field(default_factory=dict)  # of bundles, by version
    _release_lock: asyncio.Lock = field(default_factory=asyncio.Lock)
    _withheld_before: dict[Step, int] = field(default_factory=dict)
    _withheld_by_port: dict[Step, dict[str, int]] = field(default_factory=dict)
    _began_at: dict[Step, float] = field(default_factory=dict)
    _crowds: dict[Step, StartedProcess] = field(default_factory=dict)

    @property
    def now(self) -> float:
        """Seconds since the start of the soak, by the clock with which servers record runs."""
        return time.time() - self.started_at

    async def prepare(self, plans: list[Plan]) -> None:
        """Start all processes and roll out the first bundle."""
        await self.operators.prepare(self.cluster.platform_address)
        await self.cluster.add(plans)
        self.restarts = dict.fromkeys(self.cluster.members, 0)
        await self._release_bundle()
        await self.cluster.wait_for_version(1)
        await self.cluster.wait_for_members(len(plans))

    async def begin(self, step: Step) -> None:
        """Start the fault of a step."""
        self._print(f"{step.fault} {step.where} for {step.seconds:.1f} s")
        self._began_at[step] = self.now
        if step.fault in WITHHOLDING_FAULTS:
            self._withheld_before[step] = self._withheld_count(step)
        member = self.cluster.members.get(step.where)
        match step.fault:
            case Fault.KILL:
                assert member is not None
                member.daemon.send(signal.SIGKILL)
                await self.cluster.refuse_connections(step.where)
            case Fault.STOP:
                assert member is not None
                await self._stop_daemon(member)
            case Fault.FREEZE:
                assert member is not None
                member.daemon.send(signal.SIGSTOP)
            case Fault.SLOW_SERVER:
                await self._change_behaviour(step.where, slow=SLOW_FACTOR)
            case Fault.FAILING_SERVER:
                await self._change_behaviour(step.where, fail_fast=True)
            case Fault.LIMITED_SERVER:
                await self._change_behaviour(step.where, limit=LIMIT_PER_SECOND)
                self.history.limits.append(
                    NamedLimit(step.where, LIMIT_PER_SECOND, self.now, self.now + step.seconds)
                )
            case Fault.DRAIN:
                assert member is not None
                await self._try_once(lambda: self._list_instance(member, InstanceState.LEAVING))
            case Fault.PLATFORM_DOWN:
                await self.cluster.set_faults(Faults(down=True))
            case Fault.PLATFORM_SLOW:
                await self.cluster.set_faults(Faults(delay=PLATFORM_DELAY_SECONDS))
            case Fault.LOST_WRITES:
                await self.cluster.set_faults(Faults(lose_write_answers=LOST_WRITE_ANSWERS))
            case Fault.ROLLOUT:
                await self._try_once(self._release_bundle)
            case Fault.ZONE_DRAIN:
                await self._drain_zone(step)
            case Fault.SILENCE:
                self.cluster.silence_connections()
            case Fault.PARTITION:
                self.cluster.block(step.where)
            case Fault.ISOLATE:
                self._withheld_by_port[step] = self.cluster.withheld_by_port(step.where)
                self.cluster.isolate(step.where)
            case Fault.FREEZE_SERVER:
                assert member is not None
                member.backend.send(signal.SIGSTOP)
            case Fault.RUDE_CLIENTS:
                await self._send_crowd(step)
            case Fault.OVERLOAD:
                await self._change_all_service_times(OVERLOAD_SERVICE_SECONDS)
                self.is_overloaded = True
            case Fault.LOWER_LIMIT:
                self.cluster.block(step.where)
                self._routed.limits[HOT] = LOWERED_LIMIT
                await self._retry_until_done(self._release_bundle)
            case Fault.REMOVE_CREDENTIAL:
                self._routed.remove(SPARE_SECRET)
                await self._retry_until_done(
                    lambda: self._release_bundle(lambda: self._silence_and_cut_off(step))
                )
                self.history.removals.append(RemovedCredential(SPARE_SECRET, self.now))
                self._print("removal acknowledged")

    async def end(self, step: Step) -> None:
        """End the fault of a step."""
        member = self.cluster.members.get(step.where)
        match step.fault:
            case Fault.KILL | Fault.STOP:
                assert member is not None
                await self._restart_daemon(member)
            case Fault.FREEZE:
                assert member is not None
                member.daemon.send(signal.SIGCONT)
            case Fault.SLOW_SERVER | Fault.FAILING_SERVER:
                await self._change_behaviour(step.where, slow=1.0, fail_fast=False)
            case Fault.LIMITED_SERVER:
                await self._change_behaviour(step.where, limit=0.0)
            case Fault.DRAIN:
                assert member is not None
                await self._stop_daemon(member)
                await self._restart_daemon(member)
            case Fault.PLATFORM_DOWN | Fault.PLATFORM_SLOW | Fault.LOST_WRITES:
                await self.cluster.set_faults(Faults())
            case Fault.ZONE_DRAIN:
                await self._restore_zone(step.where)
            case Fault.PARTITION | Fault.LOWER_LIMIT:
                self.cluster.unblock(step.where)
            case Fault.ISOLATE | Fault.REMOVE_CREDENTIAL:
                self.cluster.reconnect(step.where)
            case Fault.FREEZE_SERVER:
                assert member is not None
                frozen = FrozenServer(step.where, self._began_at[step], self.now)
                self.history.frozen_servers.append(frozen)
                member.backend.send(signal.SIGCONT)
            case Fault.RUDE_CLIENTS:
                await self._end_crowd(step)
            case Fault.OVERLOAD:
                self.is_overloaded = False
                await self._change_all_service_times(SERVICE_TIME_SECONDS)
        self._record_effect(step)

    def _record_effect(self, step: Step) -> None:
        """Record the outage of a step, and whether connections were silent because of it."""
        if step.fault in OUTAGE_FAULTS:
            outage = Outage(step.where, self._began_at[step], self.now)
            self.history.outages.append(outage)
            if step.fault is Fault.REMOVE_CREDENTIAL:
                self.history.unconfirmed.append(outage)
        if step.fault is Fault.OVERLOAD:
            self.history.overloads.append(Overload(self._began_at[step], self.now))
        before = self._withheld_before.get(step)
        if before is not None and before == self._withheld_count(step):
            self.history.ineffective_faults.append(f"{step.fault} at {step.at:.1f} s")
        if step in self._withheld_by_port:
            self._record_isolation(step)

    def _withheld_count(self, step: Step) -> int:
        """What connections withheld that the fault of a step silences, in chunks."""
        silences_all = step.fault is Fault.REMOVE_CREDENTIAL
        return self.cluster.withheld_count("" if silences_all else step.where)

    def _record_isolation(self, step: Step) -> None:
        """Record what the links of an isolated daemon withheld."""
        before = self._withheld_by_port[step]
        counts = self.cluster.withheld_by_port(step.where)
        self.history.isolations.append(
            Isolation(step.where, step.at, {p: counts[p] - before[p] for p in counts})
        )

    async def _send_crowd(self, step: Step) -> None:
        """Let a crowd come to the port of a daemon's entry, without a link between."""
        assert step.conduct is not None
        status = await self._status(step.where)
        if status is None:
            return  # the daemon has another fault
        crowd = Crowd(
            step.conduct,
            HOST,
            _as_int(status["entry_port"]),
            CROWD_CONNECTIONS,
            f"/papers/{OPEN_KIND}/",
            f"Host: {ROUTES_HOST}",
        )
        arguments = rude_arguments(crowd, step.seconds)
        self._crowds[step] = await start_process("crowd", *arguments)

    async def _end_crowd(self, step: Step) -> None:
        process = self._crowds.pop(step, None)
        if process is None:
            return
        async with asyncio.timeout(CROWD_END_SECONDS):
            summary = await summary_of(process)
        if not summary.connected:
            self.history.ineffective_faults.append(f"{step.conduct} at {step.at:.1f} s")

    def _silence_and_cut_off(self, step: Step) -> None:
        """Silence the open control connections, and cut off the control of a step's daemon."""
        self.cluster.silence_connections()
        self.cluster.cut_off_control(step.where)
        self._began_at[step] = self.now

    @property
    def _routed(self) -> RoutedConfiguration:
        assert isinstance(self.configuration, RoutedConfiguration)
        return self.configuration

    def use_this_checkout(self) -> None:
        """Make all daemons run the code of this checkout from their next start."""
        for member in self.cluster.members.values():
            member.plan = replace(member.plan, checkout=None)

    def _print(self, message: str) -> None:
        print(f"{self.now:6.1f} s  {message}", flush=True)

    async def record_versions(self) -> None:
        """Record the version that each daemon reports, for daemons that answer."""
        for name in list(self.cluster.members):
            restarts = self.restarts[name]
            at = self.now
            status = await self._status(name)
            # A status read during a restart can't be attributed to either process.
            if status is not None and restarts == self.restarts[name]:
                version = _as_int(status["version"])
                self.history.observations.append(Observation(at, name, restarts, version))

    async def wait_until_recovered(self) -> None:
        """Clear the platform's faults and wait until all daemons report a healthy cluster."""
        await self.cluster.set_faults(Faults())
        try:
            await eventually(self._is_recovered, RECOVERY_TIMEOUT_SECONDS)
        except TimeoutError as error:
            statuses = {name: await self._status(name) for name in self.cluster.members}
            raise AssertionError(
                f"cluster not recovered after {RECOVERY_TIMEOUT_SECONDS:.0f} s: {statuses}"
            ) from error

    async def _is_recovered(self) -> bool:
        statuses = [await self._status(name) for name in self.cluster.members]
        count = len(self.cluster.members)
        return all(
            status is not None
            and status["ready"]
            and status["members"] == count
            and status["emptied_zones"] == []
            and _as_int(status["version"]) >= self.version
            for status in statuses
        )

    async def _status(self, name: str) -> dict[str, object] | None:
        """A daemon's status; None if it does not answer within the timeout."""
        try:
            return await self.cluster.status(name, STATUS_TIMEOUT_SECONDS)
        except (aiohttp.ClientError, TimeoutError):
            return None

    async def _change_behaviour(self, name: str, **changes: float) -> None:
        """Change fields of the behaviour of a backend server."""
        usual = Behaviour(SLOTS, SERVICE_TIME_SECONDS)
        behaviour = msgspec.structs.replace(self._behaviours.get(name, usual), **changes)
        self._behaviours[name] = behaviour
        await self.cluster.set_behaviour(name, behaviour)

    async def _change_all_service_times(self, seconds: float) -> None:
        for name in self.cluster.members:
            await self._change_behaviour(name, service=seconds)

    async def _stop_daemon(self, member: Member) -> None:
        code = await member.daemon.end()
        await self.cluster.refuse_connections(member.plan.name)
        self.history.planned_stops.append(PlannedStop(member.plan.name, code))

    async def _restart_daemon(self, member: Member) -> None:
        """Restart a daemon on other ports, and list it as a new start of the instance."""
        await self.cluster.restart_daemon(member)
        self.restarts[member.plan.name] += 1
        await self._retry_until_done(lambda: self._list_instance(member, InstanceState.LIVE))

    async def _list_instance(self, member: Member, state: InstanceState) -> None:
        """Write an instance to the platform's list over whichever version is stored there."""
        await self.cluster.read_listed_version(member)
        await self.cluster.list_instance(member, state)

    async def _release_bundle(self, before_rollout: Callable[[], None] = _do_nothing) -> None:
        """Release the configuration as it is now.

        A release that failed may have taken effect, so the next one begins with the same text.
        """
        async with self._release_lock:
            is_current = False
            while not is_current:
                version = self.version + 1
                text = self._texts.setdefault(version, self.configuration.text(version))
                await self.operators.prepare_release(version, text)
                before_rollout()
                self._record_limits(version, text)
                await self.operators.roll_out(version)
                self.version = version
                is_current = text == self.configuration.text(version)

    def _record_limits(self, version: int, text: str) -> None:
        """Record the limits of a version that is about to be rolled out."""
        if not isinstance(self.configuration, RoutedConfiguration):
            return
        limits = self.history.workspace_limits
        for workspace in parse_bundle(text, "soak").unwrap().workspaces:
            if workspace.limit is None or any(
                limit.workspace == workspace.name and limit.version == version
                for limit in limits
            ):
                continue
            rate, burst = workspace.limit.rate, workspace.limit.burst
            limits.append(WorkspaceLimit(workspace.name, rate, burst, version, self.now))

    async def _drain_zone(self, step: Step) -> None:
        """Drain a zone. The drain is recorded only if all daemons report it in time."""
        if not await self._try_once(lambda: self.operators.drain_zone(step.where)):
            return
        end = self.now + step.seconds
        while self.now < end:
            if await self._all_report_drain(step.where):
                effective_at = self.now + DRAIN_SECONDS
                # `_restore_zone` sets the end.
                self.history.drained_zones.append(
                    DrainedZone(step.where, effective_at, effective_at)
                )
                return

    async def _all_report_drain(self, zone: str) -> bool:
        statuses = [await self._status(name) for name in self.cluster.members]
        return all(s is not None and zone in _as_strings(s["emptied_zones"]) for s in statuses)

    async def _restore_zone(self, zone: str) -> None:
        """Restore a zone, with retries. The recorded drain ends before the first try, because
        a try that fails may still have been applied.
        """
        drains = self.history.drained_zones
        if (
            drains
            and drains[-1].zone == zone
            and drains[-1].restored_at == drains[-1].effective_at
        ):
            effective_at = drains[-1].effective_at
            drains[-1] = DrainedZone(zone, effective_at, max(effective_at, self.now))

        async def restore() -> None:
            try:
                await self.operators.restore_zone(zone)
            except CommandFailed as error:
                if "is not emptied" not in str(error):
                    raise

        await self._retry_until_done(restore)

    async def _try_once(self, command: Callable[[], Awaitable[object]]) -> bool:
        """Run a command that may fail during a platform fault. Returns whether it succeeded."""
        try:
            await command()
        except (CommandFailed, AssertionError, aiohttp.ClientError, TimeoutError) as error:
            self._print(f"command failed: {str(error).splitlines()[0][:100]}")
            return False
        return True

    async def _retry_until_done(self, command: Callable[[], Awaitable[object]]) -> None:
        async def is_done() -> bool:
            return await self._try_once(command)

        await eventually(is_done, 60.0)  # seconds


def _as_int(value: object) -> int:
    assert isinstance(value, int)
    return value


def _as_strings(value: object) -> list[str]:
    assert isinstance(value, list)
    return [str(item) for item in value]
