"""Single reads of the platform: the list, the zone drains, the head and its bundle."""

import asyncio

import msgspec
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
from wheatslip.store.instances import INSTANCE_KIND
from wheatslip.store.objects import StoredObject, TooOld, Unavailable

from wheatslipd.feed.access import PlatformAccess, log_trouble
from wheatslipd.telemetry import logs

# Stale lists that are read in search of the own entry before a present one is read, which the
# users' platform charges ten times as much for.
SETTLE_READS = 3


class PlatformReader:
    """Reads for one daemon; the intake gets what it finds.

    A stale read may lack the latest changes; some platforms answer it at a lower price.
    """

    def __init__(self, name: str, access: PlatformAccess):
        self._name = name
        self._access = access
        self._store = access.store
        self._intake = access.intake

    async def read_first(self) -> None:
        """Read until the platform has answered the first list, which names whom to follow.

        The configuration is read beside it, so that requests need not wait for a parent that
        starts too. All may be stale: the parent, or the watch, brings what has changed.
        """
        backoff = self._access.backoff()
        while not await self.read_all():
            await asyncio.sleep(backoff.next())

    async def read_all(self) -> bool:
        """Read the list, the head and the zone drains, which may be stale.

        Returns whether the list was answered.
        """
        answered, _, _ = await asyncio.gather(
            self.read_list(stale_ok=True),
            self.read_head(stale_ok=True),
            self.read_drains(stale_ok=True),
        )
        return answered

    async def read_drains(self, *, stale_ok: bool = False) -> bool:
        """Read the zone drains once; whether the platform answered."""
        match await self._store.list(ZONE_DRAIN_KIND, stale_ok=stale_ok):
            case Ok(listing):
                self._intake.take_drain_listing(listing)
                return True
            case Err(trouble):
                log_trouble(trouble)
        return False

    async def read_settled_list(self) -> None:
        """Read the list until it holds the own entry, so that it is not one from before the
        daemons of the zone started.
        """
        for _ in range(SETTLE_READS):
            await self.read_list(stale_ok=True)
            if self._name in self._intake.cache.instances:
                return
            await asyncio.sleep(self._access.pace.settle / SETTLE_READS)
        backoff = self._access.backoff()
        while not await self.read_list():
            await asyncio.sleep(backoff.next())

    async def read_list(self, *, stale_ok: bool = False) -> bool:
        """Read the whole list once; whether the platform answered."""
        match await self._store.list(INSTANCE_KIND, stale_ok=stale_ok):
            case Ok(listing):
                self._intake.take_read_list(listing)
                return True
            case Err(trouble):
                log_trouble(trouble)
        return False

    async def prove_head(self) -> bool:
        """Ask the platform whether the head has changed since it was put in force here.

        Takes it if so; returns whether the platform answered.

        The answer is short while nothing has changed, however long the configuration is.
        """
        if not self._intake.cache.head_at:
            return await self._prove_head_by_reading()
        match await self._store.changes(HEAD_KIND, self._intake.cache.head_at, 0.0):
            case Ok(listing):
                for item in listing.items:
                    await self.fetch_newer(item)
                self._intake.confirm_head()
                self._intake.know_head(listing.version)
                return True
            case Err(TooOld()):
                return await self._prove_head_by_reading()
            case Err(Unavailable() as trouble):
                log_trouble(trouble)
        return False

    async def _prove_head_by_reading(self) -> bool:
        answered = await self.read_head()
        if answered:
            self._intake.confirm_head()
        return answered

    async def read_own_entry(self) -> bool:
        """Read the own entry in the list, which is short; whether the platform answered."""
        entry = await self._store.get(INSTANCE_KIND, self._name, stale_ok=True)
        return isinstance(entry, Ok)

    async def read_head(self, *, stale_ok: bool = False) -> bool:
        """Read the head once, and the bundle that it names; whether the platform answered."""
        match await self._store.get(HEAD_KIND, HEAD_NAME, stale_ok=stale_ok):
            case Ok(found):
                if found is not None:
                    await self.fetch_newer(found)
                    self._intake.know_head(found.version)
                return True
            case Err(trouble):
                log_trouble(trouble)
        return False

    async def fetch_newer(self, stored: StoredObject) -> None:
        """Fetch the bundle that a stored head names, if it is newer than ours."""
        try:
            head = msgspec.json.decode(stored.value, type=Head)
        except msgspec.DecodeError as error:
            logs.error("head-unreadable", error=str(error))
            return
        if head.version == self._intake.version + 1 and await self._fetch_delta(head):
            return
        backoff = self._access.backoff()
        while head.version > self._intake.version:
            name = bundle_name(head.version, head.digest)
            match await self._store.get(BUNDLE_KIND, name):
                case Ok(found) if found is not None:
                    self._intake.take_stored_bundle(head, found)
                    return
                case Ok(_):
                    logs.error("bundle-missing", version=head.version)
                case Err(trouble):
                    log_trouble(trouble)
            await asyncio.sleep(backoff.next())

    async def _fetch_delta(self, head: Head) -> bool:
        """Whether a stored difference leads from our bundle to that of the head."""
        name = bundle_name(head.version, head.digest)
        answer = await self._store.get(DELTA_KIND, name)
        stored = answer.ok_value if isinstance(answer, Ok) else None
        if stored is None:
            return False
        try:
            delta = msgspec.json.decode(stored.value, type=BundleDelta)
        except msgspec.DecodeError:
            return False
        self._intake.take_deltas(head, (delta,))
        return self._intake.version >= head.version
