"""Applies updates from every source to the cache, and fires the events.

This is the only writer of the cache: responses of the platform and updates from other daemons
pass the same checks.
"""

from collections.abc import Callable

from result import Err, Ok
from wheatslip.config.bundle import Bundle
from wheatslip.config.deltas import BundleDelta
from wheatslip.config.head import Head
from wheatslip.config.signedbundle import SignedBundle
from wheatslip.config.zonedrains import ZoneDrain, ZoneDrains, decode_drain, with_changes
from wheatslip.decoding import decode_json
from wheatslip.distribution.feedcache import (
    Confirmation,
    FeedCache,
    ListChange,
    Update,
)
from wheatslip.quarantine import EndReport
from wheatslip.store.instances import decode_instance, find_problem
from wheatslip.store.objects import Listing, StoredObject

from wheatslipd.controllers.bus import Bus
from wheatslipd.controllers.events import (
    bundle_verified,
    end_reports_received,
    instances_updated,
    losses_told,
    zones_drained,
)
from wheatslipd.feed.position import RelayPosition
from wheatslipd.feed.relay import RelayServer
from wheatslipd.feed.verifier import Verifier
from wheatslipd.telemetry import logs


class CacheWriter:
    """Checks updates and applies them to the cache."""

    def __init__(
        self,
        cache: FeedCache,
        relay: RelayServer,
        position: RelayPosition,
        verifier: Verifier,
        bus: Bus,
        unix: Callable[[], float],
        on_delta_mismatch: Callable[[int], None],
    ):
        """`verifier` decides what may be put in force. `unix` returns the Unix time in seconds.
        `on_delta_mismatch` is called with a bundle version when the deltas for it do not apply
        to the cached bundle.
        """
        self.cache = cache
        self._relay = relay
        self._position = position
        self._verifier = verifier
        self._bus = bus
        self._unix = unix
        self._on_delta_mismatch = on_delta_mismatch
        self.unreadable = 0  # entries of the list that could not be used, each time counted
        # Called after new end reports were added.
        self.on_end_reports: Callable[[], None] = lambda: None

    @property
    def version(self) -> int:
        """Version of the cached bundle; 0 if there is none."""
        return self.cache.head.version if self.cache.head else 0

    def confirm_list(self) -> None:
        """Record that the platform confirmed the list just now, or did not answer.

        A list counts as confirmed while the platform does not answer, because nothing can
        change it then.
        """
        self.cache.checked = self._unix()

    def confirm_head(self) -> None:
        """Record that the platform confirmed the head just now."""
        self.cache.as_of = self._unix()

    def confirm_bundle(self, asked_at: float) -> None:
        """Record that the platform had no newer bundle than the cached one at `asked_at`.

        That is the monotonic time before the call, because the response may have been under way
        for long. A bundle that was refused here does not count: the cached one stays in force.
        """
        self.cache.confirm(Confirmation(self.version, asked_at))

    def advance_head_position(self, version: int) -> None:
        """Record that no newer head than the cached one was written up to `version` of the
        store.
        """
        self.cache.head_at = max(self.cache.head_at, version)

    def apply_complete_list(self, listing: Listing) -> None:
        """Apply a complete list; a list that is not stale also confirms the cached one."""
        if not listing.stale:
            self.confirm_list()
        self.apply_listing(listing)

    def apply_listing(self, listing: Listing) -> None:
        """Apply the complete list or changes of it."""
        if listing.version < self.cache.listed:
            return  # another daemon has already sent a newer list
        changes = [self._decode_list_change(item) for item in listing.items]
        self._apply_list(listing.version, changes, whole=listing.whole)

    def apply_drain_listing(self, listing: Listing) -> None:
        """Apply the zone drains, or changes of them, from a response of the platform."""
        changes = [(item.name, self._decode_and_verify_drain(item)) for item in listing.items]
        cached = self.cache.drains
        drains = with_changes(cached, changes, listing.version, whole=listing.whole)
        if drains is not None:
            self._apply_drains(drains)

    def apply_end_reports(self, reports: tuple[EndReport, ...], source: str) -> None:
        """Add end reports received from the daemon `source`; forward those that are new."""
        now = self._unix()
        new_reports = tuple(
            report for report in reports if self.cache.ends.add(report, source, now)
        )
        if new_reports:
            self._relay.notify_followers()
            self.on_end_reports()
            self._bus.fire(end_reports_received(new_reports))

    def apply_update(self, update: Update, source: str) -> None:
        """Apply an update from the daemon `source`."""
        if update.ends:
            self.apply_end_reports(update.ends, source)
        if update.lost:
            self._bus.fire(losses_told(update.lost))
        if update.drains is not None:
            self._apply_drains(update.drains)
        if (update.whole or update.changes) and not self.cache.is_outdated(update):
            self._apply_list(update.listed, list(update.changes), whole=update.whole)
        self.cache.checked = max(self.cache.checked, update.checked)
        if update.as_of > self.cache.as_of:
            # Followers are not notified: they get it with their next heartbeat.
            self.cache.as_of = update.as_of
        if update.head is not None and update.head.version > self.version:
            self._apply_head(update.head, update)
        if update.head is None or update.head.version <= self.version:
            self.advance_head_position(update.head_at)
        if update.confirmed is not None:
            self.cache.confirm(update.confirmed)

    def _apply_head(self, head: Head, update: Update) -> None:
        if update.signed is not None:
            self._apply_signed_bundle(head, update.signed)
        else:
            self.apply_deltas(head, update.deltas)

    def apply_deltas(self, head: Head, deltas: tuple[BundleDelta, ...]) -> None:
        """Apply deltas that should lead from the cached bundle to the bundle of `head`."""
        bundle = self.cache.bundle_after_deltas(deltas)
        if bundle is None:
            logs.warning("delta-does-not-fit", version=head.version)
            self._on_delta_mismatch(head.version)
            return
        body = bundle.canonical().decode()
        self._apply_signed_bundle(head, SignedBundle(body, deltas[-1].signatures))

    def apply_stored_bundle(self, head: Head, stored: StoredObject) -> None:
        """Apply a bundle in the form in which the platform stores it."""
        match decode_json(stored.value, SignedBundle):
            case Ok(signed):
                self._apply_signed_bundle(head, signed)
            case Err(reason):
                logs.error("bundle-refused", version=head.version, why=reason)

    def _apply_list(self, listed: int, changes: list[ListChange], *, whole: bool) -> None:
        changes = [self._without_unusable(change) for change in changes]
        changes = self.cache.apply_list(listed, changes, whole=whole)
        listed_instances = tuple(c.instance for c in changes if c.instance is not None)
        removed = tuple(c.name for c in changes if c.instance is None)
        if whole or changes:
            self._bus.fire(instances_updated(listed_instances, removed, whole))
            self._position.update(self.cache.instances.values())
        self._relay.notify_followers()

    def _without_unusable(self, change: ListChange) -> ListChange:
        """Return the change without its instance if another writer made it unusable.

        Daemons of the version before pass such entries on.
        """
        problem = find_problem(change.name, change.instance) if change.instance else None
        if problem is None:
            return change
        self._record_unreadable(change.name, problem)
        return ListChange(change.version, change.name, None)

    def _decode_list_change(self, item: StoredObject) -> ListChange:
        """Return the change of an entry; one that can't be read names no instance."""
        if item.deleted:
            return ListChange(item.version, item.name, None)
        match decode_instance(item.value):
            case Ok(instance):
                return ListChange(item.version, item.name, instance)
            case Err(reason):
                self._record_unreadable(item.name, reason)
        return ListChange(item.version, item.name, None)

    def _record_unreadable(self, name: str, reason: str) -> None:
        self.unreadable += 1
        logs.error("instance-unreadable", name=name, error=reason, repeat_key=name)

    def _apply_drains(self, drains: ZoneDrains) -> None:
        if self.cache.store_drains(drains):
            self._relay.notify_followers()
            self._bus.fire(zones_drained(drains))

    def _decode_and_verify_drain(self, item: StoredObject) -> ZoneDrain | None:
        """Return the drain in an object; None if the zone is restored or the drain refused."""
        if item.deleted:
            return None
        match decode_drain(item.name, item.value):
            case Ok(drain):
                pass
            case Err(reason):
                # If the platform is trusted, the existence of the object drains the zone.
                logs.warning("zone-drain-unreadable", zone=item.name, error=reason)
                drain = ZoneDrain(item.name)
        if self._verifier.accepts_drain(drain):
            return drain
        logs.error("zone-drain-refused", zone=drain.zone, asked_by=drain.asked_by)
        return None

    def _apply_signed_bundle(self, head: Head, signed: SignedBundle) -> None:
        """Verify a bundle and put it in force."""
        match self._verifier.verify_bundle(signed):
            case Ok(bundle) if _matches_head(bundle, head):
                self.cache.store_bundle(head, signed, bundle)
                self._relay.notify_followers()
                self._bus.fire(bundle_verified(bundle, head))
            case Ok(_):
                reason = "version or digest differs from the head"
                logs.error("bundle-refused", version=head.version, why=reason)
            case Err(reason):
                logs.error("bundle-refused", version=head.version, why=reason)


def _matches_head(bundle: Bundle, head: Head) -> bool:
    return bundle.version == head.version and bundle.digest() == head.digest
