"""Zone drains: availability zones whose backend servers get no new requests.

Each drain is a separate object at the platform and not part of the bundle, so that a single
operator can drain a zone at once. Daemons forward the whole set with the platform's version at
which it was read; a newer set replaces an older one. This module does no I/O.
"""

from collections.abc import Iterable

import msgspec
from result import Result

from wheatslip.decoding import decode_json

ZONE_DRAIN_KIND = "zone-drain"


class ZoneDrain(msgspec.Struct, frozen=True):
    """A drained zone. `asked_by` is the operator who requested the drain, `since` the time of
    the request (unix seconds; 0: unknown) and `signature` that operator's signature in hex.
    """

    zone: str
    asked_by: str = ""
    since: float = 0.0
    signature: str = ""

    def signed_bytes(self) -> bytes:
        """Returns the bytes that the signature covers, without their context prefix."""
        return msgspec.json.encode((self.zone, self.asked_by, self.since))


class StoredDrain(msgspec.Struct, frozen=True):
    """The value of a drain's object at the platform.

    The zone is the object's name. A field `zone` in the value, which other programs may write,
    is ignored.
    """

    asked_by: str = ""
    since: float = 0.0
    signature: str = ""


class ZoneDrains(msgspec.Struct, frozen=True):
    """The set of all zone drains at a version of the platform."""

    version: int
    drains: tuple[ZoneDrain, ...] = ()

    @property
    def zones(self) -> frozenset[str]:
        return frozenset(drain.zone for drain in self.drains)


def decode_drain(zone: str, value: bytes | msgspec.Raw) -> Result[ZoneDrain, str]:
    """Decodes the JSON value of a drain's object. The error is the decoder's message."""
    return decode_json(value, StoredDrain).map(
        lambda stored: ZoneDrain(zone, stored.asked_by, stored.since, stored.signature)
    )


def with_changes(
    current: ZoneDrains | None,
    changes: Iterable[tuple[str, ZoneDrain | None]],
    version: int,
    *,
    whole: bool,
) -> ZoneDrains | None:
    """Returns the drains after a response of the platform, or None if `version`, at which it
    was read, is older than that of `current`.

    `changes` lists zones in the order of their changes; the drain is None if the zone was
    restored. A response may repeat changes that `current` already contains; they are
    idempotent. `whole`: the response contains all drains, not only the changed ones.
    """
    if current is not None and version < current.version:
        return None
    drains = {} if current is None or whole else {drain.zone: drain for drain in current.drains}
    for zone, drain in changes:
        drains.pop(zone, None)
        if drain is not None:
            drains[zone] = drain
    return ZoneDrains(version, tuple(drains[zone] for zone in sorted(drains)))
