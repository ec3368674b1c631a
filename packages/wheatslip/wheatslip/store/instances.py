"""Types of the platform's instance list."""

from enum import StrEnum

import msgspec
from msgspec import UNSET, UnsetType
from result import Err, Ok, Result

from wheatslip.servernotice import UNKNOWN_START, ServerStart

INSTANCE_KIND = "instance"
LOST_KIND = "lost-instances"  # see `wheatslip.store.losses`


class InstanceState(StrEnum):
    """State of an instance in the platform's list, which may be out of date."""

    LIVE = "live"
    LEAVING = "leaving"


class Instance(msgspec.Struct, frozen=True):
    """A backend server and the daemon that runs beside it.

    `incarnation` increases each time an instance is restarted under the same name. `server` is
    the id of the backend server, `server_born` its start in Unix milliseconds, if known.
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
    server: str | UnsetType = UNSET
    server_born: int | UnsetType = UNSET

    @property
    def server_start(self) -> ServerStart:
        if not self.server:
            return UNKNOWN_START
        return ServerStart(self.server, self.server_born or 0)


def decode_instance(value: bytes | msgspec.Raw) -> Result[Instance, str]:
    """Decodes an instance from the JSON in the list. The error is the decoder's message."""
    try:
        return Ok(msgspec.json.decode(value, type=Instance))
    except msgspec.DecodeError as error:
        return Err(str(error))
