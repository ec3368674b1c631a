"""The task that talks to the platform: follows the head and the list, fetches bundles.

It owns the client and its connections; controllers reach it by messages on a queue, and it
reaches them by events on the bus.
"""

import asyncio
from pathlib import Path
from random import Random

import msgspec
from result import Err, Ok
from wheatslip import head as heads
from wheatslip import instances as lists
from wheatslip.head import Head
from wheatslip.instances import Instance
from wheatslip.objects import Backoff, Listing, ObjectClient, Unavailable, follow
from wheatslip.signing import SignedBundle, load_keyring, verify

from wheatslipd import logs
from wheatslipd.bus import Bus
from wheatslipd.events import bundle_verified, head_seen, instances_seen

HEAD_CHECK_SPACING = 0.2  # seconds between reads of the head that peers give rise to


class PlatformFeed:
    """Follows the platform for one daemon."""

    def __init__(self, address: str, keyring: Path, bus: Bus, rng: Random):
        self.client = ObjectClient(address, rng)
        self._keyring = keyring
        self._bus = bus
        self._rng = rng
        self._wanted: asyncio.Queue[Head] = asyncio.Queue()
        self._head_check = asyncio.Event()

    def fetch(self, head: Head) -> None:
        """Message: the bundle of `head` is wanted."""
        self._wanted.put_nowait(head)

    def check_head(self) -> None:
        """Message: a peer knows a newer version."""
        self._head_check.set()

    async def run(self) -> None:
        """Run until cancelled."""
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self._follow_head())
                group.create_task(self._follow_instances())
                group.create_task(self._fetch_bundles())
                group.create_task(self._check_heads())
        finally:
            await self.client.close()

    async def _follow_head(self) -> None:
        async for listing in follow(self.client, heads.KIND, self._rng, _log_trouble):
            for item in listing.items:
                self._see_head(item.value)

    async def _check_heads(self) -> None:
        while True:
            await self._head_check.wait()
            self._head_check.clear()
            match await self.client.get(heads.KIND, heads.NAME):
                case Ok(found) if found is not None:
                    self._see_head(found.value)
            await asyncio.sleep(HEAD_CHECK_SPACING)

    def _see_head(self, value: msgspec.Raw) -> None:
        try:
            head = msgspec.json.decode(value, type=Head)
        except msgspec.DecodeError as error:
            logs.error("head-unreadable", error=str(error))
            return
        self._bus.fire(head_seen(head))

    async def _follow_instances(self) -> None:
        whole = True
        async for listing in follow(self.client, lists.KIND, self._rng, _log_trouble):
            if whole or listing.items:
                self._bus.fire(_as_event(listing, whole))
            whole = False

    async def _fetch_bundles(self) -> None:
        backoff = Backoff(self._rng)
        while True:
            head = await self._wanted.get()
            while not await self._fetch_one(head) and self._wanted.empty():
                await asyncio.sleep(backoff.next())
            backoff.reset()

    async def _fetch_one(self, head: Head) -> bool:
        """Whether the fetch is settled, for good or bad."""
        match await self.client.get(
            heads.BUNDLE_KIND, heads.bundle_name(head.version, head.digest)
        ):
            case Err(trouble):
                _log_trouble(trouble)
                return False
            case Ok(None):
                logs.error("bundle-missing", version=head.version)
                return False
            case Ok(found):
                self._verify(found.value, head)
        return True

    def _verify(self, value: msgspec.Raw, head: Head) -> None:
        try:
            signed = msgspec.json.decode(value, type=SignedBundle)
        except msgspec.DecodeError as error:
            logs.error("bundle-refused", version=head.version, why=str(error))
            return
        # The keyring is read each time, so that a new operator's key needs no restart.
        match verify(signed, load_keyring(self._keyring)):
            case Ok(bundle):
                self._bus.fire(bundle_verified(bundle, head))
            case Err(why):
                logs.error("bundle-refused", version=head.version, why=why)


def _as_event(listing: Listing, whole: bool) -> instances_seen:
    present = []
    gone = []
    for item in listing.items:
        if item.deleted:
            gone.append(item.name)
            continue
        try:
            present.append(msgspec.json.decode(item.value, type=Instance))
        except msgspec.DecodeError as error:
            logs.error("instance-unreadable", name=item.name, error=str(error))
    return instances_seen(tuple(present), tuple(gone), whole)


def _log_trouble(trouble: Unavailable) -> None:
    logs.warning("platform-unavailable", detail=trouble.detail, repeat_key="platform")
