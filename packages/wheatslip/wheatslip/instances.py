"""The platform's list of instances, typed."""

from enum import StrEnum

import msgspec

KIND = "instance"


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
