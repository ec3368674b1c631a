"""The platform's list of instances, typed."""

from enum import StrEnum

import msgspec
from result import Err, Ok, Result

INSTANCE_KIND = "instance"


class InstanceState(StrEnum):
    """What the platform's list says of an instance; the list lags."""

    LIVE = "live"
    LEAVING = "leaving"


class Instance(msgspec.Struct, frozen=True):
    """One instance: a backend server with the daemon beside it.

    `incarnation` grows each time an instance is started anew under the same name.
    """

    name: str
    pool: str
    zone: str
    address: str
    entry_port: int
    peer_port: int
    control_port: int = 0
    incarnation: int = 1
    state: InstanceState = InstanceState.LIVE


def decode_instance(value: bytes | msgspec.Raw) -> Result[Instance, str]:
    """An instance as the list keeps it (JSON); the error is a sentence."""
    try:
        return Ok(msgspec.json.decode(value, type=Instance))
    except msgspec.DecodeError as error:
        return Err(str(error))
