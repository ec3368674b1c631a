"""Takes news into the daemon's copy, whichever way they came, and fires the events.

The only writer of the cache: answers of the platform and updates of other daemons go through
the same checks.
"""

from collections.abc import Callable

import msgspec
from result import Err, Ok
from wheatslip.config.bundle import Bundle
from wheatslip.config.deltas import BundleDelta
from wheatslip.config.head import Head
from wheatslip.config.signedbundle import SignedBundle
from wheatslip.config.zonedrains import ZoneDrain, ZoneDrains, decode_drain, with_changes
from wheatslip.distribution.feedcache import FeedCache, ListChange, Update
from wheatslip.quarantine import EndReport
from wheatslip.store.instances import decode_instance
from wheatslip.store.objects import Listing, StoredObject

from wheatslipd.controllers.bus import Bus
from wheatslipd.controllers.events import (
    bundle_verified,
    ends_reported,
    instances_seen,
    zones_drained,
)
from wheatslipd.feed.place import Place
from wheatslipd.feed.proof import Proof
from wheatslipd.feed.relay import RelayServer
from wheatslipd.telemetry import logs


class Intake:
    """Owns what goes into the cache."""

    def __init__(
        self,
        cache: FeedCache,
        relay: RelayServer,
        place: Place,
        proof: Proof,
        bus: Bus,
        unix: Callable[[], float],
        on_gap: Callable[[int], None],
    ):
        """`proof` decides what may be put in force. `unix` gives the time in seconds. `on_gap`
        is called with a version when the differences sent for it do not lead to it.
        """
        self.cache = cache
        self._relay = relay
        self._place = place
        self._proof = proof
        self._bus = bus
        self._unix = unix
        self._on_gap = on_gap
        # Called when reports of ends of servers came that are new here.
        self.on_ends: Callable[[], None] = lambda: None

    @property
    def version(self) -> int:
        """Version of the bundle in the cache; 0: none."""
        return self.cache.head.version if self.cache.head else 0

    def confirm(self) -> None:
        """Message: the platform has just confirmed the list, or did not answer.

        Without an answer the list counts as confirmed, because then no one can change it.
        """
        self.cache.checked = self._unix()

    def confirm_head(self) -> None:
        """Message: the platform has just confirmed the head."""
        self.cache.as_of = self._unix()

    def know_head(self, version: int) -> None:
        """Message: up to the store's `version`, no newer head than ours was written."""
        self.cache.head_at = max(self.cache.head_at, version)

    def take_read_list(self, listing: Listing) -> None:
        """Take a whole list that was read."""
        if not listing.stale:
            self.confirm()
        self.take_listing(listing)

    def take_listing(self, listing: Listing) -> None:
        """Take the list, or changes of it."""
        if listing.version < self.cache.listed:
            return  # another daemon has brought a later one
        changes = [change for change in map(_as_change, listing.items) if change is not None]
        self._take_list(listing.version, changes, whole=listing.whole)

    def take_drain_listing(self, listing: Listing) -> None:
        """Take the zone drains, or changes of them, that the platform answered."""
        changes = [(item.name, self._as_drain(item)) for item in listing.items]
        known = self.cache.drains
        drains = with_changes(known, changes, listing.version, whole=listing.whole)
        if drains is not None:
            self._take_drains(drains)

    def take_ends(self, reports: tuple[EndReport, ...], source: str) -> None:
        """Take reports of ends of servers that came from the daemon `source`."""
        now = self._unix()
        new = tuple(one for one in reports if self.cache.ends.add(one, source, now))
        if new:
            self._relay.announce()
            self.on_ends()
            self._bus.fire(ends_reported(new))

    def take_update(self, update: Update, source: str) -> None:
        """Take what the daemon `source` sent."""
        if update.ends:
            self.take_ends(update.ends, source)
        if update.drains is not None:
            self._take_drains(update.drains)
        if (update.whole or update.changes) and not self.cache.is_outdated(update):
            self._take_list(update.listed, list(update.changes), whole=update.whole)
        self.cache.checked = max(self.cache.checked, update.checked)
        if update.as_of > self.cache.as_of:
            # Not announced: followers get it with their next heartbeat.
            self.cache.as_of = update.as_of
        if update.head is not None and update.head.version > self.version:
            self._take_head(update.head, update)
        if update.head is None or update.head.version <= self.version:
            self.know_head(update.head_at)

    def _take_head(self, head: Head, update: Update) -> None:
        if update.signed is not None:
            self._take_signed(head, update.signed)
        else:
            self.take_deltas(head, update.deltas)

    def take_deltas(self, head: Head, deltas: tuple[BundleDelta, ...]) -> None:
        """Take differences that should lead to the bundle of `head`."""
        bundle = self.cache.bundle_after_deltas(deltas)
        if bundle is None:
            logs.warning("delta-does-not-fit", version=head.version)
            self._on_gap(head.version)
            return
        body = bundle.canonical().decode()
        self._take_signed(head, SignedBundle(body, deltas[-1].signatures))

    def take_stored_bundle(self, head: Head, stored: StoredObject) -> None:
        """Take a bundle as the platform keeps it."""
        try:
            signed = msgspec.json.decode(stored.value, type=SignedBundle)
        except msgspec.DecodeError as error:
            logs.error("bundle-refused", version=head.version, why=str(error))
            return
        self._take_signed(head, signed)

    def _take_list(self, listed: int, changes: list[ListChange], *, whole: bool) -> None:
        changes = self.cache.apply_list(listed, changes, whole=whole)
        present = tuple(c.instance for c in changes if c.instance is not None)
        gone = tuple(c.name for c in changes if c.instance is None)
        if whole or changes:
            self._bus.fire(instances_seen(present, gone, whole))
            self._place.reorder(self.cache.instances.values())
        self._relay.announce()

    def _take_drains(self, drains: ZoneDrains) -> None:
        if self.cache.store_drains(drains):
            self._relay.announce()
            self._bus.fire(zones_drained(drains))

    def _as_drain(self, item: StoredObject) -> ZoneDrain | None:
        """The drain in an object; None: the zone is restored, or the drain is refused."""
        if item.deleted:
            return None
        match decode_drain(item.name, item.value):
            case Ok(drain):
                pass
            case Err(why):
                # Where the platform is trusted, the object's existence alone drains the zone.
                logs.warning("zone-drain-unreadable", zone=item.name, error=why)
                drain = ZoneDrain(item.name)
        if self._proof.drain(drain):
            return drain
        logs.error("zone-drain-refused", zone=drain.zone, asked_by=drain.asked_by)
        return None

    def _take_signed(self, head: Head, signed: SignedBundle) -> None:
        """Check a bundle, whichever way it came, and put it in force."""
        match self._proof.bundle(signed):
            case Ok(bundle) if _is_named_by(bundle, head):
                self.cache.store_bundle(head, signed, bundle)
                self._relay.announce()
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
    match decode_instance(item.value):
        case Ok(instance):
            return ListChange(item.version, item.name, instance)
        case Err(why):
            logs.error("instance-unreadable", name=item.name, error=why)
    return None
