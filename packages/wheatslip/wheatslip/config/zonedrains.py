"""Zone drains: availability zones to whose backend servers nothing new may be sent.

Each is an object of its own at the platform, beside the configuration, so that one operator can
drain a zone at once. Daemons pass the whole set on, with the platform's version at which it was
read; a newer set replaces an older one. Pure code.
"""

from collections.abc import Iterable

import msgspec
from result import Err, Ok, Result

ZONE_DRAIN_KIND = "zone-drain"


class ZoneDrain(msgspec.Struct, frozen=True):
    """One drained zone: the operator who asked for it and when (unix seconds; 0: not stated),
    and that operator's signature in hex.
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
    """All zone drains at a version of the platform."""

    version: int
    drains: tuple[ZoneDrain, ...] = ()

    @property
    def zones(self) -> frozenset[str]:
        """The names of the drained zones."""
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
    """The drains after an answer of the platform, read at `version`; None if that is older.

    `changes` names each zone, with None for one that was restored, in the order in which they
    happened. An answer may repeat changes that `known` holds already: applying them again ends
    in the same state. `whole`: it names all drains there are.
    """
    if known is not None and version < known.version:
        return None
    drains = {} if known is None or whole else {drain.zone: drain for drain in known.drains}
    for zone, drain in changes:
        drains.pop(zone, None)
        if drain is not None:
            drains[zone] = drain
    return ZoneDrains(version, tuple(drains[zone] for zone in sorted(drains)))
