"""Availability zones that operators have emptied: nothing new may reach their backend servers.

Each is an object of its own at the platform, beside the configuration, so that one operator can
empty a zone at once. The set of them travels whole, with the platform's version at which it
held; a newer version replaces an older one. Pure code.
"""

from collections.abc import Iterable

import msgspec
from result import Err, Ok, Result

ZONE_DRAIN_KIND = "zone-drain"


class ZoneDrain(msgspec.Struct, frozen=True):
    """One emptied zone: who asked for it and when (unix seconds), as far as that was written
    down, and that operator's signature in hex.
    """

    zone: str
    asked_by: str = ""
    since: float = 0.0
    signature: str = ""

    def signed_bytes(self) -> bytes:
        """What the signature is made over."""
        return msgspec.json.encode((self.zone, self.asked_by, self.since))


class StoredDrain(msgspec.Struct, frozen=True):
    """The value of a drain's object at the platform. The zone is the object's name, and a field
    of that name in the value, which others than wheatslip may write, is not read.
    """

    asked_by: str = ""
    since: float = 0.0
    signature: str = ""


class ZoneDrains(msgspec.Struct, frozen=True):
    """All emptied zones at a version of the platform."""

    version: int
    drains: tuple[ZoneDrain, ...] = ()

    @property
    def zones(self) -> frozenset[str]:
        """Their names."""
        return frozenset(drain.zone for drain in self.drains)


def decode_drain(zone: str, value: bytes | msgspec.Raw) -> Result[ZoneDrain, str]:
    """The drain of a zone as the platform keeps it (JSON); the error is a sentence."""
    try:
        stored = msgspec.json.decode(value, type=StoredDrain)
    except msgspec.DecodeError as error:
        return Err(str(error))
    return Ok(ZoneDrain(zone, stored.asked_by, stored.since, stored.signature))


def with_changes(
    known: ZoneDrains | None,
    changes: Iterable[tuple[str, ZoneDrain | None]],
    version: int,
    *,
    whole: bool,
) -> ZoneDrains | None:
    """What the platform's answer at `version` makes of what is known; None if it is older.

    `changes` names each zone, with None for one that was restored, in the order in which they
    happened. An answer may begin before `known`: all of it is taken again, which ends in the
    same state. `whole`: it names all emptied zones there are.
    """
    if known is not None and version < known.version:
        return None
    drains = {} if known is None or whole else {drain.zone: drain for drain in known.drains}
    for zone, drain in changes:
        drains.pop(zone, None)
        if drain is not None:
            drains[zone] = drain
    return ZoneDrains(version, tuple(drains[zone] for zone in sorted(drains)))
