"""The objects that name instances which were removed from the list without having left it."""

import msgspec

from wheatslip.store.instances import Instance

MAX_STORED_LOSSES = 2000  # in one object, some 250 bytes each


class StoredLoss(msgspec.Struct, frozen=True):
    """`instance` was removed at `at` (Unix time); `share`: 1 / number of listed instances."""

    instance: Instance
    at: float
    share: float


class StoredLosses(msgspec.Struct, frozen=True):
    """The value of the object that has the name of the daemon which removed the instances."""

    losses: tuple[StoredLoss, ...] = ()
