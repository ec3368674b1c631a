"""Operator commands for the zone drains at the platform: drain, restore and list."""

import msgspec
from result import Err, Ok, Result

from wheatslip.config.zonedrains import ZONE_DRAIN_KIND, StoredDrain, ZoneDrain, decode_drain
from wheatslip.store.objects import Conflict, ObjectStore, StoredObject, Unavailable


class ZoneDrainRequests:
    """Writes and reads the objects of zone drains at the platform."""

    def __init__(self, store: ObjectStore):
        self._store = store

    async def drain(self, drain: ZoneDrain) -> Result[ZoneDrain, Unavailable]:
        """Drains a zone. If the zone is already drained, returns the existing drain."""
        value = StoredDrain(drain.asked_by, drain.since, drain.signature)
        answer = await self._store.put(ZONE_DRAIN_KIND, drain.zone, value, expected=0)
        match answer:
            case Ok(_):
                return Ok(drain)
            case Err(Conflict(StoredObject() as existing_object)):
                return Ok(_decode_or_empty(existing_object))
            case Err(Unavailable() as error):
                return Err(error)
        return Err(Unavailable(f"the drain of zone {drain.zone} was changed concurrently"))

    async def restore(self, zone: str) -> Result[bool, Unavailable]:
        """Deletes the drain of a zone; returns false if there was none."""
        answer = await self._store.get(ZONE_DRAIN_KIND, zone)
        if isinstance(answer, Err):
            return answer
        if answer.ok_value is None:
            return Ok(False)
        match await self._store.delete(ZONE_DRAIN_KIND, zone, answer.ok_value.version):
            case Ok(_):
                return Ok(True)
            case Err(Unavailable() as error):
                return Err(error)
        return Err(Unavailable(f"the drain of zone {zone} was changed concurrently"))

    async def list_drains(self) -> Result[list[ZoneDrain], Unavailable]:
        answer = await self._store.list(ZONE_DRAIN_KIND)
        return answer.map(lambda listing: [_decode_or_empty(item) for item in listing.items])


def _decode_or_empty(item: StoredObject) -> ZoneDrain:
    """Returns the drain in an object, or one with only the zone's name if decoding fails."""
    return decode_drain(item.name, msgspec.Raw(item.value)).unwrap_or(ZoneDrain(item.name))
