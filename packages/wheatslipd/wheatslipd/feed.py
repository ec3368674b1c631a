"""The task that keeps the daemon's copy of the platform's objects: a watcher reads the
platform, every other daemon follows another one.

It owns the platform's client and the cache; controllers hear of news by events on the bus.
"""

import asyncio
from collections.abc import Callable
from contextlib import aclosing, suppress
from dataclasses import dataclass
from random import Random

import msgspec
from result import Err, Ok
from wheatslip import head as heads
from wheatslip import instances as lists
from wheatslip.bundle import Bundle
from wheatslip.deltas import BundleDelta
from wheatslip.feedcache import FeedCache, ListChange, Update
from wheatslip.head import Head
from wheatslip.headage import AgeChange, HeadAge
from wheatslip.instances import Instance
from wheatslip.objects import (
    BACKOFF_LAST,
    WATCH_SECONDS,
    Backoff,
    Listing,
    ObjectStore,
    StoredObject,
    Unavailable,
    follow,
)
from wheatslip.relaytree import (
    WATCHERS,
    is_watcher,
    parents_of,
    relay_order,
    ring_parents_of,
    watcher_ring,
    watches_list,
)
from wheatslip.signedbundle import SignedBundle

from wheatslipd import logs
from wheatslipd.bus import Bus
from wheatslipd.events import bundle_verified, instances_seen
from wheatslipd.proof import Proof
from wheatslipd.relay import HEARTBEAT_SECONDS, RelayServer, follow_parent
from wheatslipd.tls import PeerTls

HINT_PATIENCE = 0.25  # seconds that the relay gets before a hint is followed
ASK_SECONDS = 1.5  # that the daemon which gave a hint gets before the platform is read
HINT_SPACING = 1.0  # seconds between reads of the platform that hints give rise to
STALE_SECONDS = 15.0  # a parent whose news are not confirmed for so long is left
# Stale lists that are read in search of the own entry before a present one is read, which the
# users' platform charges ten times as much for.
SETTLE_READS = 3
# Share of the time that the check of a watch may spend on reading the head. On a link of
# 650 kB/s a head of 700 kB, read on each check, took half of the link for good.
HEAD_READ_SHARE = 0.05
AGE_LOOK_SECONDS = 1.0  # between looks at how long ago the head was confirmed
TURN_SECONDS = 0.2  # pause before the next parent is tried
# Pause before the parents are tried again that all failed; the platform was read instead, which
# bounds what a zone without its first daemons costs.
IN_VAIN_SECONDS = 1.0


@dataclass(frozen=True, slots=True)
class FeedPace:
    """How many daemons of a zone read the platform, and how long their watches wait (s)."""

    watchers: int = WATCHERS
    watch: float = WATCH_SECONDS
    watch_check: float = 0.0  # between stale reads of the head beside its watch; 0: none
    list_watch: float = WATCH_SECONDS
    list_pause: float = 0.0  # between two changes of the list
    retry_last: float = BACKOFF_LAST  # longest wait after a failed call
    settle: float = 0.0  # before an empty list of the own zone is read again, at the start


class Feed:
    """Keeps one daemon's copy up to date."""

    def __init__(
        self,
        name: str,
        zone: str,
        store: ObjectStore,
        prove: Proof,
        bus: Bus,
        tls: PeerTls,
        rng: Random,
        unix: Callable[[], float],
        pace: FeedPace,
    ):
        """`prove` tells whether a bundle may be believed."""
        self.client = store
        self._prove = prove
        self._pace = pace
        self.cache = FeedCache()
        self.relay = RelayServer(self.cache, tls)
        self._name = name
        self._zone = zone
        self._bus = bus
        self._tls = tls
        self._rng = rng
        self._unix = unix
        self._order: list[str] = []
        self._ring: tuple[str, ...] = ()  # known to watchers only
        self._role_changed = asyncio.Event()
        self._parents_changed = asyncio.Event()
        self._hint = asyncio.Event()
        self._hinted_version = 0
        self._hinted_by = ""
        self._head_known = 0  # the store's version up to which the head is known
        self._is_head_watched = False  # whether the last call on it was answered
        self._head_read_at = 0.0  # the loop's time at which the check reads the head again
        self.parent = ""  # the daemon that is followed now

    @property
    def watches(self) -> bool:
        """Whether this daemon reads the platform for others."""
        return is_watcher(self._name, self._order, self._pace.watchers)

    def removal_turn(self, zone: str) -> int | None:
        """How many daemons are to remove dead entries of `zone` before this one; None if it
        does not read the platform.
        """
        if not self.watches or self._name not in self._order:
            return None
        place = self._order.index(self._name)
        return place if zone == self._zone else self._pace.watchers + place

    def check_head(self, version: int, address: str = "") -> None:
        """Message: the daemon at `address` knows this newer version."""
        self._hinted_version = max(self._hinted_version, version)
        self._hinted_by = address or self._hinted_by
        self._hint.set()

    async def run(self) -> None:
        """Run until cancelled."""
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self._keep_up())
                group.create_task(self.follow_hints())
                group.create_task(self._tell_age())
        finally:
            await self.client.close()

    @property
    def head_age(self) -> float | None:
        """Seconds since a daemon that reads the platform last had an answer on the head, as far
        as it was told here and by that daemon's clock; None if it never was.
        """
        seen = self.cache.as_of
        return self._unix() - seen if seen else None

    async def _tell_age(self) -> None:
        """Log when the way to the newest head is lost and when it is found again."""
        pace = self._pace
        watch = HeadAge(2 * (pace.watch_check or pace.watch) + 2 * HEARTBEAT_SECONDS)
        while True:
            await asyncio.sleep(AGE_LOOK_SECONDS)
            age = self.head_age
            if age is None:
                continue
            way = self.parent or "platform"
            match watch.look(age):
                case AgeChange.LOST:
                    logs.warning("head-unconfirmed", age=round(age, 1), way=way)
                case AgeChange.FOUND:
                    logs.info("head-confirmed", version=self._version, way=way)

    # The two roles.

    async def _keep_up(self) -> None:
        await self._read_first()
        if self._pace.settle and not self._order:
            # All of the zone may be starting now. Once they are listed, most follow others.
            await asyncio.sleep(self._pace.settle * (0.75 + 0.5 * self._rng.random()))
            await self._read_settled_list()
        while True:
            self._role_changed.clear()
            if self.watches:
                await self._watch_platform()
            else:
                await self._follow_parents()

    async def _follow_parents(self) -> None:
        """Follow one parent after the other until this daemon's role changes.

        When none of them has news, those that read the platform for this zone may all be
        gone, and the list with whom to follow instead comes from the platform alone. A watcher
        reads that anyway.
        """
        in_vain = 0
        turn = 0
        while not self._role_changed.is_set():
            if self._parents_changed.is_set():
                self._parents_changed.clear()
                in_vain = 0
                turn = 0
            parents = self._parents()
            if in_vain >= len(parents):
                if not self.watches:
                    await self._read_both()
                await self._rest(IN_VAIN_SECONDS)
                in_vain = 0
                continue
            had_news = await self._follow(parents[turn % len(parents)])
            in_vain = 0 if had_news else in_vain + 1
            turn += 1
            await self._rest(TURN_SECONDS)

    async def _rest(self, seconds: float) -> None:
        """Sleep for about so long, or until there are other parents."""
        with suppress(TimeoutError):
            async with asyncio.timeout(seconds * (0.5 + self._rng.random())):
                await self._parents_changed.wait()

    async def _read_first(self) -> None:
        """The first list comes from the platform: before it there is no one to follow.

        The configuration is read beside it, so that requests need not wait for a parent that
        starts too. Both may be stale: the parent, or the watch, tells what has changed.
        """
        backoff = Backoff(self._rng, last=self._pace.retry_last)
        while not await self._read_both():
            await asyncio.sleep(backoff.next())

    async def _read_both(self) -> bool:
        """Read the list and the head, which may be stale; whether the list was answered."""
        answered, _ = await asyncio.gather(
            self._read_list(stale_ok=True), self._read_head(stale_ok=True)
        )
        return answered

    async def _read_settled_list(self) -> None:
        """Read the list after the zone has settled, so that the own entry shows that it is not
        one from before.
        """
        for _ in range(SETTLE_READS):
            await self._read_list(stale_ok=True)
            if self._name in self.cache.instances:
                return
            await asyncio.sleep(self._pace.settle / SETTLE_READS)
        backoff = Backoff(self._rng, last=self._pace.retry_last)
        while not await self._read_list():
            await asyncio.sleep(backoff.next())

    async def _read_list(self, *, stale_ok: bool = False) -> bool:
        """Read the whole list from the platform once; whether it answered."""
        match await self.client.list(lists.KIND, stale_ok=stale_ok):
            case Ok(listing):
                self._take_read_list(listing)
                return True
            case Err(trouble):
                _log_trouble(trouble)
        return False

    def _take_read_list(self, listing: Listing) -> None:
        if not listing.stale:
            self._confirm()
        elif listing.version < self.cache.listed:
            return
        self._take_listing(listing)

    async def _read_head(self, *, stale_ok: bool = False) -> bool:
        """Read the head from the platform once; whether it answered."""
        match await self.client.get(heads.KIND, heads.NAME, stale_ok=stale_ok):
            case Ok(found):
                if found is not None:
                    await self._fetch_newer(found)
                    self._know_head(found.version)
                return True
            case Err(trouble):
                _log_trouble(trouble)
        return False

    async def _watch_platform(self) -> None:
        """Watch the head until this daemon's role changes, and the list if no other of the zone
        does; follow the watchers before this one besides.
        """
        has_list = watches_list(self._name, self._order)
        logs.info("watching-platform", has_list=has_list)
        async with asyncio.TaskGroup() as group:
            tasks = [
                group.create_task(self._watch_head()),
                group.create_task(self._follow_parents()),
            ]
            if has_list:
                tasks.append(group.create_task(self._watch_list()))
            await self._role_changed.wait()
            for task in tasks:
                task.cancel()

    async def _watch_list(self) -> None:
        # What was read or followed so far is complete up to its version.
        since = self.cache.listed or None
        wait = self._pace.list_watch
        async for listing in follow(
            self.client,
            lists.KIND,
            self._rng,
            self._on_trouble,
            wait,
            self._pace.list_pause,
            self._pace.retry_last,
            since,
        ):
            self._confirm()
            if listing.whole or listing.items:
                self._take_listing(listing)

    async def _watch_head(self) -> None:
        """Watch the head, and begin anew where the platform was silent for a while.

        A watch that was made before the silence hears nothing after it.
        """
        if not self._pace.watch_check:
            await self._follow_head()
            return
        while True:
            tasks = [
                asyncio.ensure_future(self._follow_head()),
                asyncio.ensure_future(self._check_head()),
            ]
            try:
                done, _ = await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
            finally:
                for task in tasks:
                    task.cancel()
                await asyncio.gather(*tasks, return_exceptions=True)
            for task in done:
                task.result()

    async def _check_head(self) -> None:
        """Read the head now and then, until the platform is back from not answering."""
        was_silent = False
        while True:
            await asyncio.sleep(self._pace.watch_check)
            if not await self._is_answered():
                was_silent = True
                continue
            if self._is_head_watched:
                self.cache.as_of = self._unix()
            if was_silent:
                return

    async def _is_answered(self) -> bool:
        """Whether the platform answers this daemon: by reading the head, unless that took long
        a short while ago, and the own entry in the list otherwise.
        """
        loop = asyncio.get_running_loop()
        began = loop.time()
        if began < self._head_read_at:
            entry = await self.client.get(lists.KIND, self._name, stale_ok=True)
            return isinstance(entry, Ok)
        answered = await self._read_head(stale_ok=True)
        ended = loop.time()
        self._head_read_at = ended + (ended - began) / HEAD_READ_SHARE
        return answered

    def _know_head(self, version: int) -> None:
        """The head is in force here as the store has it at `version`."""
        self._head_known = max(self._head_known, version)

    async def _follow_head(self) -> None:
        async for listing in follow(
            self.client,
            heads.KIND,
            self._rng,
            self._on_head_trouble,
            self._pace.watch,
            backoff_last=self._pace.retry_last,
            since=self._head_known or None,
        ):
            for item in listing.items:
                await self._fetch_newer(item)
            self._is_head_watched = True
            self.cache.as_of = self._unix()
            # Not before they are in force: a watch that begins anew would pass them over.
            self._know_head(listing.version)

    async def _follow(self, parent: str) -> bool:
        """Follow one parent until it fails or there are others; whether it had news."""
        instance = self.cache.instances.get(parent)
        if instance is None or not instance.control_port:
            return False
        logs.info("following", parent=parent)
        self.parent = parent
        reading = asyncio.ensure_future(self._read_parent(instance))
        moving = asyncio.ensure_future(self._parents_changed.wait())
        try:
            await asyncio.wait({reading, moving}, return_when=asyncio.FIRST_COMPLETED)
        finally:
            self.parent = ""
            for task in (reading, moving):
                task.cancel()
            await asyncio.gather(reading, moving, return_exceptions=True)
        return reading.result() if not reading.cancelled() else False

    async def _read_parent(self, parent: Instance) -> bool:
        """Take a parent's updates until it fails, or the platform has not answered it, or those
        that it follows, for long; whether it had news.
        """
        loop = asyncio.get_running_loop()
        had_news = False
        heard = 0.0  # the latest `as_of` of the parent
        heard_at = loop.time()
        before = self.cache.as_of
        cursor = self.cache.cursor(self._name)
        async with aclosing(follow_parent(parent, cursor, self._tls)) as updates:
            async for update in updates:
                had_news |= update.as_of > before or update.listed > cursor.listed
                if update.as_of > heard:
                    heard = update.as_of
                    heard_at = loop.time()
                self._take_update(update)
                if loop.time() - heard_at > STALE_SECONDS:
                    break
        return had_news

    async def follow_hints(self) -> None:
        """Ask the daemon that gave a hint, if the relay did not bring the version in time, and
        read the platform only if that one does not bring it either.

        The platform sends the whole configuration, and to all daemons of a zone at once when
        they hear of it in the same moment: 44 such reads of 235 kB were seen in one second.
        """
        while True:
            await self._hint.wait()
            self._hint.clear()
            await asyncio.sleep(HINT_PATIENCE * (0.5 + self._rng.random()))
            if self._version >= self._hinted_version:
                continue
            with suppress(TimeoutError):
                async with asyncio.timeout(ASK_SECONDS):
                    await self._ask_daemon(self._hinted_by)
            if self._version < self._hinted_version:
                await self._read_head()
            await asyncio.sleep(HINT_SPACING)

    async def _ask_daemon(self, address: str) -> None:
        """Take one update from another daemon."""
        if not address:
            return
        known = (i for i in self.cache.instances.values() if i.address == address)
        # One that has just started knows no list; daemons commonly share their ports.
        stranger = Instance("", "", "", address, 0, 0, self.relay.port)
        instance = next(known, stranger)
        logs.info("asking-daemon", address=address, hinted_version=self._hinted_version)
        cursor = self.cache.cursor(self._name)
        async with aclosing(follow_parent(instance, cursor, self._tls)) as updates:
            async for update in updates:
                self._take_update(update)
                return

    # What comes in.

    @property
    def _version(self) -> int:
        return self.cache.head.version if self.cache.head else 0

    def _confirm(self) -> None:
        """The platform has just confirmed the list."""
        self.cache.checked = self._unix()

    def _on_trouble(self, trouble: Unavailable) -> None:
        """The platform is down: no one can change the list now, as far as we can tell."""
        _log_trouble(trouble)
        self.cache.checked = self._unix()

    def _on_head_trouble(self, trouble: Unavailable) -> None:
        _log_trouble(trouble)
        self._is_head_watched = False

    def _take_listing(self, listing: Listing) -> None:
        if listing.version < self.cache.listed:
            return  # another daemon has brought a later one
        changes = [change for change in map(_as_change, listing.items) if change is not None]
        self._take_list(listing.version, changes, whole=listing.whole)

    def _take_list(self, listed: int, changes: list[ListChange], *, whole: bool) -> None:
        changes = self.cache.take_list(listed, changes, whole=whole)
        present = tuple(c.instance for c in changes if c.instance is not None)
        gone = tuple(c.name for c in changes if c.instance is None)
        if whole or changes:
            self._bus.fire(instances_seen(present, gone, whole))
            self._reorder()
        self.relay.announce()

    def _reorder(self) -> None:
        """Take the present list for the tree; a changed place ends the present role."""
        zones: dict[str, set[str]] = {}
        for instance in self.cache.instances.values():
            zones.setdefault(instance.zone, set()).add(instance.name)
        in_zone = zones.get(self._zone)
        if in_zone:
            # One that is not listed yet takes the place that it will have.
            in_zone.add(self._name)
        role_before = self._role()
        parents_before = self._parents()
        self._order = relay_order(in_zone or ())
        # Where all of this zone is new there is no order yet, and all read.
        is_placed = self._name in self._order[: self._pace.watchers]
        self._ring = self._ring_of(zones) if is_placed else ()
        if self._role() != role_before:
            self._role_changed.set()
        if self._role_changed.is_set() or self._parents() != parents_before:
            self._parents_changed.set()

    def _ring_of(self, zones: dict[str, set[str]]) -> tuple[str, ...]:
        orders = {zone: relay_order(names) for zone, names in zones.items()}
        return watcher_ring(orders, self._pace.watchers)

    def _role(self) -> tuple[bool, bool]:
        """Whether this daemon watches the platform, and the list there."""
        return self.watches, watches_list(self._name, self._order)

    def _parents(self) -> list[str]:
        if self.watches:
            return ring_parents_of(self._name, self._ring)
        return parents_of(self._name, self._order, self._pace.watchers)

    def _take_update(self, update: Update) -> None:
        if (update.whole or update.changes) and not self.cache.is_late(update):
            self._take_list(update.listed, list(update.changes), whole=update.whole)
        self.cache.checked = max(self.cache.checked, update.checked)
        if update.as_of > self.cache.as_of:
            # Not announced: followers hear of it with their next heartbeat.
            self.cache.as_of = update.as_of
        if update.head is None or update.head.version <= self._version:
            return
        if update.signed is not None:
            self._take_signed(update.head, update.signed)
            return
        self._take_deltas(update.head, update.deltas)

    async def _fetch_newer(self, stored: StoredObject) -> None:
        """Fetch the bundle that a stored head names, if it is newer than ours."""
        try:
            head = msgspec.json.decode(stored.value, type=Head)
        except msgspec.DecodeError as error:
            logs.error("head-unreadable", error=str(error))
            return
        if head.version == self._version + 1 and await self._fetch_delta(head):
            return
        backoff = Backoff(self._rng, last=self._pace.retry_last)
        while head.version > self._version:
            name = heads.bundle_name(head.version, head.digest)
            match await self.client.get(heads.BUNDLE_KIND, name):
                case Ok(found) if found is not None:
                    self._take_stored_bundle(head, found)
                    return
                case Ok(_):
                    logs.error("bundle-missing", version=head.version)
                case Err(trouble):
                    _log_trouble(trouble)
            await asyncio.sleep(backoff.next())

    async def _fetch_delta(self, head: Head) -> bool:
        """Whether the head's bundle could be had from ours and a stored difference."""
        name = heads.bundle_name(head.version, head.digest)
        answer = await self.client.get(heads.DELTA_KIND, name)
        stored = answer.ok_value if isinstance(answer, Ok) else None
        if stored is None:
            return False
        try:
            delta = msgspec.json.decode(stored.value, type=BundleDelta)
        except msgspec.DecodeError:
            return False
        self._take_deltas(head, (delta,))
        return self._version >= head.version

    def _take_deltas(self, head: Head, deltas: tuple[BundleDelta, ...]) -> None:
        bundle = self.cache.with_deltas(deltas)
        if bundle is None:
            logs.warning("delta-does-not-fit", version=head.version)
            self.check_head(head.version)
            return
        body = bundle.canonical().decode()
        self._take_signed(head, SignedBundle(body, deltas[-1].signatures))

    def _take_stored_bundle(self, head: Head, stored: StoredObject) -> None:
        try:
            signed = msgspec.json.decode(stored.value, type=SignedBundle)
        except msgspec.DecodeError as error:
            logs.error("bundle-refused", version=head.version, why=str(error))
            return
        self._take_signed(head, signed)

    def _take_signed(self, head: Head, signed: SignedBundle) -> None:
        """Prove a bundle, whoever sent it, and put it to use."""
        match self._prove(signed):
            case Ok(bundle) if _is_named_by(bundle, head):
                self.cache.take_bundle(head, signed, bundle)
                self.relay.announce()
                self._bus.fire(bundle_verified(bundle, head))
            case Ok(_):
                why = "not what the head names"
                logs.error("bundle-refused", version=head.version, why=why)
            case Err(why):
                logs.error("bundle-refused", version=head.version, why=why)


def _is_named_by(bundle: Bundle, head: Head) -> bool:
    return bundle.version == head.version and bundle.digest() == head.digest


def _as_change(item: StoredObject) -> ListChange | None:
    if item.deleted:
        return ListChange(item.version, item.name, None)
    match lists.decode_instance(item.value):
        case Ok(instance):
            return ListChange(item.version, item.name, instance)
        case Err(why):
            logs.error("instance-unreadable", name=item.name, error=why)
    return None


def _log_trouble(trouble: Unavailable) -> None:
    key = f"platform {trouble.call}"
    logs.warning("platform-unavailable", detail=trouble.detail, repeat_key=key)
