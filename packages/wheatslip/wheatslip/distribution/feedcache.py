"""A daemon's copy of the shared state, and the updates that bring a follower up to date.

The state is the instance list, the head with its bundle, the zone drains and the end reports.
All but the end reports come from the platform, which is the only persistent store; the copy is
empty at process start. This module does no I/O: the daemon's tasks fill the cache and pass the
time.
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

MAX_DELTAS = 64  # a follower that needs older bundle deltas gets the whole bundle
MAX_LIST_CHANGES = 2000  # a follower that needs older changes gets the whole instance list
UNKNOWN_VERSION = -1  # no zone drains received yet


class ListChange(msgspec.Struct, frozen=True, array_like=True):
    """A change of the instance list at `version`; `instance` is None if `name` was removed."""

    version: int
    name: str
    instance: Instance | None


class Cursor(msgspec.Struct, frozen=True):
    """The versions that a follower has of the bundle and the instance list (0: none), and of
    the zone drains (`UNKNOWN_VERSION`: none).
    """

    follower: str
    bundle: int = 0
    listed: int = 0
    drained: int = UNKNOWN_VERSION


class LostInstance(msgspec.Struct, frozen=True, array_like=True):
    """An instance that left the list `ago` seconds ago without having been listed as leaving.

    `share` is its part of the list in which it was: 1 / number of instances.
    """

    instance: Instance
    ago: float
    share: float


class Confirmation(msgspec.Struct, frozen=True, array_like=True):
    """At `at` (seconds, monotonic) the platform had no newer head than that of `version`."""

    version: int
    at: float


class Update(msgspec.Struct, frozen=True, omit_defaults=True):
    """The state that a follower does not have yet.

    `as_of` is the unix time, by a watcher's clock, at which the platform last reported the head
    to a watcher or confirmed that it is unchanged. `checked` is the time at which the platform
    last confirmed the instance list to a watcher, or did not answer it. `head_at` is the store
    version up to which no newer head than the sender's was written, or 0 if it was sent before.
    `heartbeat` is the longest time between two updates of the sender, in seconds; only the
    first update of a stream has it.

    `confirmed` is the latest confirmation that the sender knows. Its time is on the monotonic
    clock of the sender; `clock` is its time at the start of the stream, in the first such
    update; the receiver converts it to its own clock. Unlike `as_of` it does not depend on wall
    clocks. Daemons without a limit on its age and those of the previous version send neither.

    `lost` are instances that the follower does not know of if it started after they left. The
    first update of a stream has those that the sender knows, and a later one all of them again
    when the sender was told of more.
    """

    as_of: float
    checked: float = 0.0
    listed: int = 0  # version of the instance list after `changes`
    changes: tuple[ListChange, ...] = ()
    whole: bool = False  # `changes` is the whole list
    head: Head | None = None  # set if the follower's head is older
    signed: SignedBundle | None = None  # the bundle of `head`; None if `deltas` are sent
    deltas: tuple[BundleDelta, ...] = ()
    drains: ZoneDrains | None = None  # set if the follower's drains are older
    ends: tuple[EndReport, ...] = ()  # end reports not yet sent on this stream
    head_at: int = 0
    heartbeat: float = 0.0
    confirmed: Confirmation | None = None
    clock: float | None = None
    lost: tuple[LostInstance, ...] = ()


class FeedCache:
    """The daemon's copy of the shared state, and its latest changes."""

    def __init__(self) -> None:
        self.as_of = 0.0
        self.confirmation: Confirmation | None = None
        self._earlier_confirmation: Confirmation | None = None  # the last of an older version
        self.checked = 0.0
        self.listed = 0  # version of the instance list
        self.instances: dict[str, Instance] = {}
        self._versions: dict[str, int] = {}  # version of the last change, by instance name
        self.head: Head | None = None
        self.head_at = 0  # store version up to which no newer head was written
        self.bundle: Bundle | None = None
        self.drains: ZoneDrains | None = None  # None: not received yet
        self.ends = EndLog()
        self._signed: SignedBundle | None = None
        self._deltas: deque[BundleDelta] = deque(maxlen=MAX_DELTAS)
        self._changes: deque[ListChange] = deque(maxlen=MAX_LIST_CHANGES)
        self._changes_complete_since = 0

    @property
    def bundle_bytes(self) -> int:
        """Length of the signed bundle body; 0 if there is no bundle."""
        return len(self._signed.body) if self._signed is not None else 0

    def confirm(self, confirmation: Confirmation) -> None:
        """Records a confirmation, unless it is about a newer head than the cached one.

        A newer head than a confirmed one was written after that confirmation, so it needs none
        for the time until then.
        """
        version = self.head.version if self.head is not None else 0
        if confirmation.version > version:
            return
        current = self.confirmation
        at = confirmation.at if current is None else max(confirmation.at, current.at)
        if current is not None and version > current.version:
            self._earlier_confirmation = current
        self.confirmation = Confirmation(version, at)

    def confirmed_at(self, version: int) -> float | None:
        """When the bundle `version` was last known to be the newest; None if it never was.

        The bundle in force may be older than the cached one for a moment.
        """
        for confirmation in (self.confirmation, self._earlier_confirmation):
            if confirmation is not None and version >= confirmation.version:
                return confirmation.at
        return None

    def apply_list(
        self, listed: int, changes: Iterable[ListChange], *, whole: bool
    ) -> list[ListChange]:
        """Applies the whole list, or changes up to version `listed`; returns those applied.

        A list that was read in pages may contain states later than its version. The changes
        to those states arrive again later and are skipped.
        """
        applied_changes = []
        if whole:
            self.instances.clear()
            self._versions.clear()
            self._changes.clear()
            self._changes_complete_since = listed
        for change in changes:
            if not whole and change.version <= self.listed:
                continue  # already received from another source
            if change.version < self.version_of(change.name):
                continue
            applied_changes.append(change)
            self._apply_change(change)
            if not whole:
                self._keep_change(change)
        self.listed = listed
        return applied_changes

    def is_outdated(self, update: Update) -> bool:
        """Whether the update's list is older than this one.

        An update from a daemon other than the parent may arrive after newer ones. Applying it
        would revert instances, and the changes in between would not be sent again.
        """
        return update.listed < self.listed

    def version_of(self, name: str) -> int:
        """The version of an instance's last change; 0 if it is not listed.

        After a whole list from another daemon it is the version of that list, which may be
        later than the change.
        """
        return self._versions.get(name, 0)

    def store_bundle(self, head: Head, signed: SignedBundle, bundle: Bundle) -> None:
        """Stores a verified bundle, unless it is older than the current one."""
        if self.head is not None and head.version <= self.head.version:
            return
        if self.bundle is not None:
            delta = delta_between(self.bundle, bundle, head, signed.signatures)
            self._deltas.append(delta)
        self.head = head
        self.bundle = bundle
        self._signed = signed

    def store_drains(self, drains: ZoneDrains) -> bool:
        """Stores the zone drains and returns true if they are newer and differ from before.

        If only the version is new, the old version is kept, so that followers get no update.
        """
        current = self.drains
        if current is not None and (
            drains.version <= current.version or drains.drains == current.drains
        ):
            return False
        self.drains = drains
        return True

    def bundle_after_deltas(self, deltas: Iterable[BundleDelta]) -> Bundle | None:
        """The current bundle with `deltas` applied; None if they do not apply to it."""
        bundle = self.bundle
        for delta in deltas:
            if bundle is None or bundle.version != delta.base:
                return None
            bundle = apply_delta(bundle, delta)
        return bundle

    def cursor(self, name: str) -> Cursor:
        """This daemon's own cursor, which it sends to its parent."""
        drained = UNKNOWN_VERSION if self.drains is None else self.drains.version
        return Cursor(name, self.head.version if self.head else 0, self.listed, drained)

    def since(self, cursor: Cursor, head_at_sent: int = 0) -> Update:
        """The update for a follower at `cursor`. `head_at_sent` is the last `head_at` sent."""
        changes, whole = self._list_since(cursor.listed)
        drains = self.drains
        if drains is not None and drains.version <= cursor.drained:
            drains = None
        head_at = self.head_at if self.head_at > head_at_sent else 0
        update = Update(
            self.as_of,
            self.checked,
            self.listed,
            changes,
            whole,
            drains=drains,
            head_at=head_at,
            confirmed=self.confirmation,
        )
        if self.head is None or cursor.bundle >= self.head.version:
            return update
        deltas = self._deltas_since(cursor.bundle)
        signed = None if deltas else self._signed
        return msgspec.structs.replace(update, head=self.head, signed=signed, deltas=deltas)

    def _list_since(self, listed: int) -> tuple[tuple[ListChange, ...], bool]:
        if listed < self._changes_complete_since:
            whole_list = (
                ListChange(self.listed, name, instance)
                for name, instance in self.instances.items()
            )
            return tuple(whole_list), True
        return tuple(change for change in self._changes if change.version > listed), False

    def _deltas_since(self, version: int) -> tuple[BundleDelta, ...]:
        chain = [delta for delta in self._deltas if delta.base >= version]
        if not chain or chain[0].base != version:
            return ()
        return tuple(chain)

    def _apply_change(self, change: ListChange) -> None:
        if change.instance is None:
            self.instances.pop(change.name, None)
            self._versions.pop(change.name, None)
        else:
            self.instances[change.name] = change.instance
            self._versions[change.name] = change.version

    def _keep_change(self, change: ListChange) -> None:
        """Keeps a change for followers. If the queue is full, this evicts the oldest change."""
        if len(self._changes) == self._changes.maxlen:
            self._changes_complete_since = self._changes[0].version
        self._changes.append(change)
