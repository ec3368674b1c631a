"""A daemon's copy of what the platform holds for all: the list, the head with its bundle, and
the zone drains; beside it the reports of ends of servers, which pass between daemons.

It also works out what a follower lacks. Pure: the daemon's tasks fill it and give the time. The
platform stays the only store; the copy starts empty with the process.
"""

from collections import deque
from collections.abc import Iterable

import msgspec

from wheatslip.config.bundle import Bundle
from wheatslip.config.deltas import BundleDelta, apply_delta, delta_between
from wheatslip.config.head import Head
from wheatslip.config.signedbundle import SignedBundle
from wheatslip.config.zonedrains import ZoneDrains
from wheatslip.distribution.endlog import EndLog
from wheatslip.quarantine import EndReport
from wheatslip.store.instances import Instance

# Differences of bundles that are kept; a follower that lacks more gets the whole bundle.
KEPT_DELTAS = 64
# Changes of the list that are kept; a follower that lacks more gets the whole list.
KEPT_LIST_CHANGES = 2000
UNKNOWN = -1  # version of zone drains that are not known


class ListChange(msgspec.Struct, frozen=True, array_like=True):
    """One change of the list at a version; `instance` is None when `name` is gone."""

    version: int
    name: str
    instance: Instance | None


class Cursor(msgspec.Struct, frozen=True):
    """What a follower has: versions of the bundle and of the list (0: nothing), and of the
    zone drains.
    """

    follower: str
    bundle: int = 0
    listed: int = 0
    drained: int = UNKNOWN


class Update(msgspec.Struct, frozen=True, omit_defaults=True):
    """What a follower lacks.

    `as_of` is the unix time, by a watcher's clock, at which the platform last told a watcher
    what the head is, or that it has not changed. `checked` is the time at which the platform
    last confirmed the list to a watcher, or did not answer it. `head_at` is the store's version
    up to which no newer head than the sender's was written, 0 if that was sent before.
    `heartbeat` are the seconds in which the sender sends at least one update; it is told with
    the first one.
    """

    as_of: float
    checked: float = 0.0
    listed: int = 0  # version of the list up to which `changes` lead
    changes: tuple[ListChange, ...] = ()
    whole: bool = False  # `changes` are the whole list
    head: Head | None = None  # if the follower's is older
    signed: SignedBundle | None = None  # the bundle of `head`, unless `deltas` lead to it
    deltas: tuple[BundleDelta, ...] = ()
    drains: ZoneDrains | None = None  # if the follower's are older
    ends: tuple[EndReport, ...] = ()  # reports of ends of servers, not sent on this stream yet
    head_at: int = 0
    heartbeat: float = 0.0


class FeedCache:
    """The copy, with the latest changes."""

    def __init__(self) -> None:
        self.as_of = 0.0
        self.checked = 0.0
        self.listed = 0
        self.instances: dict[str, Instance] = {}
        self._versions: dict[str, int] = {}  # of the last change of each instance
        self.head: Head | None = None
        self.head_at = 0  # the store's version up to which no newer head was written
        self.bundle: Bundle | None = None
        self.drains: ZoneDrains | None = None  # None: not known yet
        self.ends = EndLog()
        self._signed: SignedBundle | None = None
        self._deltas: deque[BundleDelta] = deque(maxlen=KEPT_DELTAS)
        self._changes: deque[ListChange] = deque(maxlen=KEPT_LIST_CHANGES)
        self._complete_since = 0

    @property
    def bundle_bytes(self) -> int:
        """Length of the bundle as it is signed; 0 if there is none."""
        return len(self._signed.body) if self._signed is not None else 0

    def take_list(
        self, listed: int, changes: Iterable[ListChange], *, whole: bool
    ) -> list[ListChange]:
        """Take in the whole list or changes of it, up to version `listed`; returns what is new.

        A list that was read in pages may hold later states than its version says. The changes
        that led to them come again, and are left out.
        """
        taken = []
        if whole:
            self.instances.clear()
            self._versions.clear()
            self._changes.clear()
            self._complete_since = listed
        for change in changes:
            if not whole and change.version <= self.listed:
                continue  # came by another way before
            if change.version < self.version_of(change.name):
                continue
            taken.append(change)
            self._apply(change)
            if not whole:
                self._note(change)
        self.listed = listed
        return taken

    def is_late(self, update: Update) -> bool:
        """Whether an update's list is older than this one.

        An update of another daemon than the parent may come after newer ones. Taken in, it
        would set instances back, and the changes between would not be sent again.
        """
        return update.listed < self.listed

    def version_of(self, name: str) -> int:
        """The version of an instance's last change; 0 if it is not listed.

        From a whole list of another daemon it is that of the list, which may be later.
        """
        return self._versions.get(name, 0)

    def take_bundle(self, head: Head, signed: SignedBundle, bundle: Bundle) -> None:
        """Take in a verified bundle; an older one is ignored."""
        if self.head is not None and head.version <= self.head.version:
            return
        if self.bundle is not None:
            delta = delta_between(self.bundle, bundle, head, signed.signatures)
            self._deltas.append(delta)
        self.head = head
        self.bundle = bundle
        self._signed = signed

    def take_drains(self, drains: ZoneDrains) -> bool:
        """Take in the zone drains; whether they differ from before. Older ones are ignored.

        The version is kept where nothing differs, so that nothing is sent to followers.
        """
        known = self.drains
        if known is not None and (
            drains.version <= known.version or drains.drains == known.drains
        ):
            return False
        self.drains = drains
        return True

    def with_deltas(self, deltas: Iterable[BundleDelta]) -> Bundle | None:
        """The bundle that differences lead to from ours; None if they do not fit."""
        bundle = self.bundle
        for delta in deltas:
            if bundle is None or bundle.version != delta.base:
                return None
            bundle = apply_delta(bundle, delta)
        return bundle

    def cursor(self, name: str) -> Cursor:
        """What this daemon has, for the daemon that it follows."""
        drained = UNKNOWN if self.drains is None else self.drains.version
        return Cursor(name, self.head.version if self.head else 0, self.listed, drained)

    def since(self, cursor: Cursor, head_at_sent: int = 0) -> Update:
        """What a follower at `cursor` lacks; `head_at_sent` was sent to it before."""
        changes, whole = self._list_since(cursor.listed)
        drains = self.drains
        if drains is not None and drains.version <= cursor.drained:
            drains = None
        head_at = self.head_at if self.head_at > head_at_sent else 0
        news = Update(
            self.as_of,
            self.checked,
            self.listed,
            changes,
            whole,
            drains=drains,
            head_at=head_at,
        )
        if self.head is None or cursor.bundle >= self.head.version:
            return news
        deltas = self._deltas_since(cursor.bundle)
        signed = None if deltas else self._signed
        return msgspec.structs.replace(news, head=self.head, signed=signed, deltas=deltas)

    def _list_since(self, listed: int) -> tuple[tuple[ListChange, ...], bool]:
        if listed < self._complete_since:
            everything = (
                ListChange(self.listed, name, instance)
                for name, instance in self.instances.items()
            )
            return tuple(everything), True
        return tuple(change for change in self._changes if change.version > listed), False

    def _deltas_since(self, version: int) -> tuple[BundleDelta, ...]:
        chain = [delta for delta in self._deltas if delta.base >= version]
        if not chain or chain[0].base != version:
            return ()
        return tuple(chain)

    def _apply(self, change: ListChange) -> None:
        if change.instance is None:
            self.instances.pop(change.name, None)
            self._versions.pop(change.name, None)
        else:
            self.instances[change.name] = change.instance
            self._versions[change.name] = change.version

    def _note(self, change: ListChange) -> None:
        """Keep a change for followers; the oldest one gives way."""
        if len(self._changes) == self._changes.maxlen:
            self._complete_since = self._changes[0].version
        self._changes.append(change)
