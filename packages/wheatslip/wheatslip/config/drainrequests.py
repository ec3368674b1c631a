"""What operators do with zone drains at the platform: ask for one, take it back, list them."""

import msgspec
from result import Err, Ok, Result

from wheatslip.config.zonedrains import ZONE_DRAIN_KIND, StoredDrain, ZoneDrain, decode_drain
from wheatslip.store.objects import Conflict, ObjectStore, StoredObject, Unavailable


class ZoneDrainRequests:
    """The steps of one operator."""

    def __init__(self, store: ObjectStore):
        self._store = store

    async def drain(self, drain: ZoneDrain) -> Result[ZoneDrain, Unavailable]:
        """Ask for the drain of a zone. One that exists already stays and is returned."""
        value = StoredDrain(drain.asked_by, drain.since, drain.signature)
        answer = await self._store.put(ZONE_DRAIN_KIND, drain.zone, value, expected=0)
        match answer:
            case Ok(_):
                return Ok(drain)
            case Err(Conflict(StoredObject() as found)):
                return Ok(_readable(found))
            case Err(Unavailable() as trouble):
                return Err(trouble)
        return Err(Unavailable(f"the drain of {drain.zone} changed while it was written"))

    async def restore(self, zone: str) -> Result[bool, Unavailable]:
        """Take a zone's drain back; whether there was one."""
        found = await self._store.get(ZONE_DRAIN_KIND, zone)
        if isinstance(found, Err):
            return found
        if found.ok_value is None:
            return Ok(False)
        match await self._store.delete(ZONE_DRAIN_KIND, zone, found.ok_value.version):
            case Ok(_):
                return Ok(True)
            case Err(Unavailable() as trouble):
                return Err(trouble)
        return Err(Unavailable(f"the drain of {zone} changed while it was taken back"))

    async def listed(self) -> Result[list[ZoneDrain], Unavailable]:
        """The drains of all zones."""
        answer = await self._store.list(ZONE_DRAIN_KIND)
        return answer.map(lambda listing: [_readable(item) for item in listing.items])


def _readable(item: StoredObject) -> ZoneDrain:
    """The drain in an object; one with the zone's name alone if it can't be read."""
    return decode_drain(item.name, msgspec.Raw(item.value)).unwrap_or(ZoneDrain(item.name))
