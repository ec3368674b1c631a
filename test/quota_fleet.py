"""Daemons inside the test process with a workspace that has a limit, and load for them."""

import asyncio
import time
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from math import inf
from pathlib import Path
from random import Random
from typing import Any

import msgspec
from wheatslip.config.bundle import Bundle, Kind
from wheatslip.store.instances import Instance, InstanceState

from standins.backend import Behaviour
from standins.caller import Caller, Reported, Request
from standins.cluster import HOST, eventually
from standins.link import ThrottledLink
from test.helper import SEED, Installation, Node, bundle, recorded_events

NAMES = ("a", "b", "c")
WINDOW_SECONDS = 5.0
OVERAGE = 0.1
SLACK = 20.0
TOKEN_LIFETIME_SECONDS = OVERAGE * WINDOW_SECONDS / 2
PART_SECONDS = WINDOW_SECONDS + TOKEN_LIFETIME_SECONDS  # in which a part of the margin counts
OVER_LIMIT = "over-limit"
EXPLAINING_FIELDS = ("message_type", "owner", "why", "workspace", "daemon", "seconds", "late")


@dataclass(slots=True)
class Monotonic:
    """The monotonic clock plus an offset that a test can increase."""

    offset_seconds: float = 0.0

    def __call__(self) -> float:
        return time.monotonic() + self.offset_seconds


def limited_bundle(rate: float, burst: float, version: int = 1) -> Bundle:
    """The usual bundle with a limit of the workspace alpha, and a kind that may be repeated."""
    usual = bundle(version=version)
    workspaces = tuple(
        msgspec.structs.replace(w, rate=rate, burst=burst) if w.name == "alpha" else w
        for w in usual.workspaces
    )
    papers = usual.services[0]
    kinds = (*papers.kinds, Kind("read", repeatable=True))
    services = (msgspec.structs.replace(papers, kinds=kinds),)
    return msgspec.structs.replace(usual, workspaces=workspaces, services=services)


def allowed(rate: float, burst: float, window: float = WINDOW_SECONDS) -> float:
    """The bound of the design page: the most requests that may arrive in a window."""
    return (rate * window + burst) * (1 + OVERAGE) + SLACK


def margin(rate: float, burst: float) -> float:
    """Tokens that the bound leaves beside those of a primary and their late use, by the same
    page; the other candidates share them. For a burst of at least half of the slack.
    """
    return allowed(rate, burst) - rate * PART_SECONDS - burst


@dataclass
class QuotaFleet:
    """An installation of daemons with limits. `monotonic` is the clock of all daemons."""

    installation: Installation
    monotonic: Monotonic
    events: list[dict[str, Any]] = field(default_factory=list)

    def node(self, name: str) -> Node:
        return self.installation.nodes[name]

    def candidates(self) -> tuple[str, ...]:
        """The owners of alpha's limit in their order, as the first daemon knows them."""
        return tuple(self.node(NAMES[0]).daemon.quota.granter.candidates_of("alpha"))

    def entry_beside(self, *owners: str) -> str:
        """A daemon that is none of `owners`."""
        return next(name for name in self.installation.nodes if name not in owners)

    def use(self, entry: str) -> Any:
        return self.node(entry).daemon.quota.client.use_of("alpha")

    def quota_status(self, name: str) -> Any:
        return self.node(name).daemon.status().quotas[0]

    def granted(self, name: str) -> int:
        """Tokens that a daemon has granted to entries, itself included."""
        stats = self.node(name).daemon.quota.granter.stats(self.monotonic())
        return sum(one.granted for one in stats if one.workspace == "alpha")

    def logged(self, event: str, **fields: object) -> list[dict[str, Any]]:
        return [
            e
            for e in self.events
            if e.get("message_type") == event
            and all(e.get(key) == value for key, value in fields.items())
        ]

    def describe_refused(self, requests: list[Request]) -> str:
        """When requests were refused, in seconds after the first one was sent, and what the
        daemons logged about owners and hold-ups.
        """
        first = min(request.sent_at for request in requests)
        times = [round(request.sent_at - first, 3) for request in refused(requests)]
        events = [
            {key: e[key] for key in EXPLAINING_FIELDS if key in e}
            | {"after": round(e["timestamp"] - first, 3)}
            for e in self.events
            if str(e.get("message_type")).startswith(("quota-", "held-up"))
        ]
        return f"refused {len(times)} of {len(requests)}, sent at {times}; {events}"

    def settle(self) -> None:
        """Let every owner refill at its full rate, with a full bucket."""
        self.monotonic.offset_seconds += 10.0

    async def send(self, entry: str, **options: Any) -> Request:
        """Send one request of alpha; a `Caller` option may be given."""
        caller = self.installation.caller(seed=Random().getrandbits(32))
        port = self.node(entry).entry
        return await caller.send(port, "papers", "read", once=False, **options)

    async def send_paced(
        self,
        entries: tuple[str, ...],
        rate: float,
        count: int,
        seed: int = SEED,
        *,
        catches_up: bool = True,
    ) -> list[Request]:
        """Send `count` requests at `rate` a second, in turns to `entries`.

        With `catches_up`, those that are late because the process was held up are sent at once,
        which is a burst above `rate`. Without it they are all sent later.
        """
        caller: Caller = self.installation.caller(seed=seed)
        loop = asyncio.get_running_loop()
        send_at = loop.time()
        sends = []
        for number in range(count):
            await asyncio.sleep(max(0.0, send_at - loop.time()))
            send_at += 1 / rate
            if not catches_up:
                send_at = max(send_at, loop.time())
            node = self.node(entries[number % len(entries)])
            sends.append(
                loop.create_task(
                    caller.send(node.entry, "papers", "read", once=False, deadline_ms=2000)
                )
            )
        return await asyncio.gather(*sends)

    def run_times(self) -> list[float]:
        """Unix times at which requests arrived at backend servers."""
        nodes = self.installation.nodes.values()
        return sorted(run.at for node in nodes for run in node.backend.runs)

    async def relist(self, name: str, **changes: Any) -> None:
        """List a daemon with changed fields, and wait until all daemons know it."""
        node = self.node(name)
        node.instance = msgspec.structs.replace(
            node.instance, incarnation=node.instance.incarnation + 1, **changes
        )
        await self.installation.list_instance(node, InstanceState.LIVE)
        await self.until_listed(name, lambda instance: instance == node.instance)

    async def until_listed(self, name: str, is_met: Callable[[Instance], bool]) -> None:
        """Wait until every running daemon has an entry of `name` in which `is_met`."""

        async def is_known() -> bool:
            running = self.installation.daemons.values()
            entries = [daemon.feed.cache.instances.get(name) for daemon in running]
            return all(entry is not None and is_met(entry) for entry in entries)

        await eventually(is_known)


def most_in_window(times: list[float], window: float = WINDOW_SECONDS) -> int:
    """The largest number of times within any window."""
    most = first = 0
    for last, at in enumerate(times):
        while times[first] < at - window:
            first += 1
        most = max(most, last - first + 1)
    return most


def refused(requests: list[Request]) -> list[Request]:
    """The requests that were refused because of the limit."""
    return [
        r
        for r in requests
        if r.reported is Reported.NOT_RUN and r.reason.startswith(OVER_LIMIT)
    ]


def answered(requests: list[Request]) -> list[Request]:
    return [r for r in requests if r.reported is Reported.ANSWERED]


@asynccontextmanager
async def quota_fleet(
    folder: Path,
    rate: float,
    burst: float,
    names: tuple[str, ...] = NAMES,
    settings: str = "",
) -> AsyncIterator[QuotaFleet]:
    """Run daemons of these names, in which alpha has a limit."""
    clock = Monotonic()
    with recorded_events() as events:
        async with Installation(
            folder, extra_settings=settings, daemon_options={"monotonic": clock}
        ) as installation:
            for name in names:
                await installation.add(name, Behaviour(slots=50, service=0.001))
            await installation.release(limited_bundle(rate, burst))
            await installation.ready()
            yield QuotaFleet(installation, clock, events)


@asynccontextmanager
async def link_before(fleet, name):
    """Put a link before a daemon's control port, and list its port."""
    control_port = fleet.node(name).instance.control_port
    link = ThrottledLink(HOST, control_port, inf)
    await link.open()
    try:
        await fleet.relist(name, control_port=link.port)
        yield link
    finally:
        await link.close()


def record_asks(daemon):
    """Return a list to which the daemon's asks are added, as it answers them."""
    asked, grant = [], daemon.quota.service.grant

    def record_and_grant(request):
        asked.append(request)
        return grant(request)

    daemon.quota.service.grant = record_and_grant
    return asked


async def until(is_met):
    async def check():
        return is_met()

    await eventually(check)
