"""Types of the platform's instance list."""

import ipaddress
from enum import StrEnum

import msgspec
from msgspec import UNSET, UnsetType
from result import Err, Ok, Result

from wheatslip.decoding import MAX_INT64, MAX_PORT, decode_json
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
    """Decodes an instance from the JSON in the list. The error is the decoder's message.

    Any program may write to the list; see `find_problem`.
    """
    return decode_json(value, Instance)


def find_problem(name: str, instance: Instance) -> str | None:
    """Why the entry of the object `name` can't be used, though it has the form of one."""
    if instance.name != name:
        return "it has another name than its object"
    try:
        ipaddress.ip_address(instance.address)
    except ValueError:
        return "its address is no IP address"
    ports = (instance.entry_port, instance.peer_port, instance.control_port)
    if not all(0 <= port <= MAX_PORT for port in ports):
        return f"a port is not from 0 to {MAX_PORT}"
    if max(abs(instance.incarnation), abs(instance.server_born or 0)) > MAX_INT64:
        return "a number needs more than 64 bits"
    return None


def decode_usable(name: str, value: bytes | msgspec.Raw) -> Result[Instance, str]:
    """Decodes the entry of the object `name`; the error says why it can't be used."""
    match decode_instance(value):
        case Ok(instance):
            problem = find_problem(name, instance)
            return Ok(instance) if problem is None else Err(problem)
        case Err(reason):
            return Err(reason)
    raise AssertionError
