"""Single reads of the platform: the list, the zone drains, the head and its bundle."""

import asyncio

from result import Err, Ok
from wheatslip.config.deltas import BundleDelta
from wheatslip.config.head import (
    BUNDLE_KIND,
    DELTA_KIND,
    HEAD_KIND,
    HEAD_NAME,
    Head,
    bundle_name,
)
from wheatslip.config.zonedrains import ZONE_DRAIN_KIND
from wheatslip.decoding import decode_json
from wheatslip.store.instances import INSTANCE_KIND
from wheatslip.store.objects import Listing, StoredObject, TooOld, Unavailable

from wheatslipd.feed.access import PlatformAccess, log_unavailable
from wheatslipd.telemetry import logs

MAX_STALE_LIST_READS = 3  # before a current list is read, for which some platforms charge more


class PlatformReader:
    """Reads objects from the platform for one daemon and passes them to the cache writer.

    A stale read may lack the latest changes; some platforms charge less for it.
    """

    def __init__(self, name: str, access: PlatformAccess):
        self._name = name
        self._access = access
        self._store = access.store
        self._cache_writer = access.cache_writer

    async def read_initial_state(self) -> None:
        """Retry until the platform has answered a read of the list, which names the parents.

        The configuration is read concurrently, so that requests need not wait for a parent that
        is also starting. Stale answers are enough: the parent or the watch sends the changes.
        """
        backoff = self._access.backoff()
        while not await self.read_all():
            await asyncio.sleep(backoff.next())

    async def read_all(self) -> bool:
        """Read the list, the head and the zone drains; stale answers are accepted.

        If credentials are accepted only with a confirmed head, its read is not stale, so that
        a daemon that starts or finds no parent accepts them at once.

        Returns whether the platform answered the read of the list.
        """
        answered, _, _ = await asyncio.gather(
            self.read_list(stale_ok=True),
            self.read_head(stale_ok=not self._access.settings.max_unconfirmed),
            self.read_drains(stale_ok=True),
        )
        return answered

    async def read_drains(self, *, stale_ok: bool = False) -> bool:
        """Read the zone drains once; return whether the platform answered."""
        match await self._store.list(ZONE_DRAIN_KIND, stale_ok=stale_ok):
            case Ok(listing):
                self._cache_writer.apply_drain_listing(listing)
                return True
            case Err(unavailable):
                log_unavailable(unavailable)
        return False

    async def read_list_until_listed(self) -> None:
        """Read stale lists until one contains the own entry, and else a current list.

        A stale list without it may date from before the daemons of the zone started.
        """
        for _ in range(MAX_STALE_LIST_READS):
            await self.read_list(stale_ok=True)
            if self._name in self._cache_writer.cache.instances:
                return
            await asyncio.sleep(self._access.settings.settle / MAX_STALE_LIST_READS)
        backoff = self._access.backoff()
        while not await self.read_list():
            await asyncio.sleep(backoff.next())

    async def read_list(self, *, stale_ok: bool = False) -> bool:
        """Read the complete list once; return whether the platform answered."""
        match await self._store.list(INSTANCE_KIND, stale_ok=stale_ok):
            case Ok(listing):
                self._cache_writer.apply_complete_list(listing)
                return True
            case Err(unavailable):
                log_unavailable(unavailable)
        return False

    async def refresh_head(self) -> bool:
        """Ask the platform whether the head has changed, and apply the new one if so.

        Returns whether the platform answered. If nothing has changed, the response is short
        regardless of the size of the configuration.
        """
        if not self._cache_writer.cache.head_at:
            return await self._refresh_head_by_reading()
        asked_at = self._access.monotonic()
        match await self._store.changes(HEAD_KIND, self._cache_writer.cache.head_at, 0.0):
            case Ok(listing):
                await self.apply_heads(listing)
                self._cache_writer.confirm_head()
                self._confirm_bundle(asked_at)
                self._cache_writer.advance_head_position(listing.version)
                return True
            case Err(TooOld()):
                return await self._refresh_head_by_reading()
            case Err(Unavailable() as unavailable):
                log_unavailable(unavailable)
        return False

    async def _refresh_head_by_reading(self) -> bool:
        answered = await self.read_head()
        if answered:
            self._cache_writer.confirm_head()
        return answered

    async def read_own_entry(self) -> bool:
        """Read the own (small) entry of the list; return whether the platform answered."""
        entry = await self._store.get(INSTANCE_KIND, self._name, stale_ok=True)
        return isinstance(entry, Ok)

    async def read_head(self, *, stale_ok: bool = False) -> bool:
        """Read the head once, and its bundle if that is newer than the cached one.

        Returns whether the platform answered the read of the head.
        """
        asked_at = self._access.monotonic()
        match await self._store.get(HEAD_KIND, HEAD_NAME, stale_ok=stale_ok):
            case Ok(stored):
                if stored is not None:
                    await self.fetch_newer_bundle(stored)
                    self._cache_writer.advance_head_position(stored.version)
                if not stale_ok:
                    self._confirm_bundle(asked_at)
                return True
            case Err(unavailable):
                log_unavailable(unavailable)
        return False

    def _confirm_bundle(self, asked_at: float) -> None:
        """Record the answer to a call of `asked_at`, if a limit needs it: confirmations make
        each heartbeat to followers longer.
        """
        if self._access.settings.max_unconfirmed:
            self._cache_writer.confirm_bundle(asked_at)

    async def apply_heads(self, listing: Listing) -> None:
        """Fetch the bundle of the latest head in a listing; of an earlier one if it is refused.

        The bundles of heads that were replaced since may not be had any more.
        """
        for item in reversed(listing.items):
            await self.fetch_newer_bundle(item)

    async def fetch_newer_bundle(self, stored: StoredObject) -> None:
        """Fetch the bundle that a stored head names, if it is newer than the cached one.

        Retries until the platform has answered. If it does not have the bundle, its present
        head is asked for, which may be another one.
        """
        head = _decode_head(stored)
        if head is None:
            return
        if head.version == self._cache_writer.version + 1 and await self._fetch_delta(head):
            return
        backoff = self._access.backoff()
        while head.version > self._cache_writer.version:
            name = bundle_name(head.version, head.digest)
            match await self._store.get(BUNDLE_KIND, name):
                case Ok(stored_bundle) if stored_bundle is not None:
                    self._cache_writer.apply_stored_bundle(head, stored_bundle)
                    return
                case Ok(_):
                    logs.error("bundle-missing", version=head.version, repeat_key=name)
                    present = await self._read_present_head()
                    if present is not None and present != head:
                        head = present
                        continue
                case Err(unavailable):
                    log_unavailable(unavailable)
            await asyncio.sleep(backoff.next())

    async def _read_present_head(self) -> Head | None:
        """The head that the platform has now; None if it does not answer or has none."""
        match await self._store.get(HEAD_KIND, HEAD_NAME):
            case Ok(StoredObject() as stored):
                return _decode_head(stored)
            case Err(unavailable):
                log_unavailable(unavailable)
        return None

    async def _fetch_delta(self, head: Head) -> bool:
        """Apply the stored delta for `head`; return whether the cache is current then."""
        name = bundle_name(head.version, head.digest)
        answer = await self._store.get(DELTA_KIND, name)
        stored = answer.ok_value if isinstance(answer, Ok) else None
        if stored is None:
            return False
        decoded = decode_json(stored.value, BundleDelta)
        if isinstance(decoded, Err):
            return False
        self._cache_writer.apply_deltas(head, (decoded.ok_value,))
        return self._cache_writer.version >= head.version


def _decode_head(stored: StoredObject) -> Head | None:
    match decode_json(stored.value, Head):
        case Ok(head):
            return head
        case Err(reason):
            logs.error("head-unreadable", error=reason)
    return None
