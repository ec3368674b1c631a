"""Events between the controllers: typed circuits events, named for what has happened."""

from circuits import Event
from wheatslip.config.bundle import Bundle
from wheatslip.config.head import Head
from wheatslip.config.zonedrains import ZoneDrains
from wheatslip.quarantine import EndReport
from wheatslip.runtracker import EndedRuns
from wheatslip.store.instances import Instance
from wheatslip.store.registration import RegisteredServer


class newer_version_seen(Event):
    """The daemon at `address` (an IP number) has a newer bundle version than we."""

    def __init__(self, version: int, address: str):
        super().__init__(version, address)


class bundle_verified(Event):
    """A bundle's signatures and digest were found good."""

    def __init__(self, bundle: Bundle, head: Head):
        super().__init__(bundle, head)


class bundle_in_force(Event):
    """A bundle is in force in this daemon from now on."""

    def __init__(self, bundle: Bundle):
        super().__init__(bundle)


class instances_seen(Event):
    """The platform's list, or changes of it, were read. `gone` holds names."""

    def __init__(self, instances: tuple[Instance, ...], gone: tuple[str, ...], whole: bool):
        super().__init__(instances, gone, whole)


class zones_drained(Event):
    """The zones that operators have emptied are these from now on."""

    def __init__(self, drains: ZoneDrains):
        super().__init__(drains)


class server_ended(Event):
    """The backend server beside us ended without notice, while it ran requests."""

    def __init__(self, exposed: EndedRuns):
        super().__init__(exposed)


class ends_reported(Event):
    """These reports of ends of servers are new here."""

    def __init__(self, reports: tuple[EndReport, ...]):
        super().__init__(reports)


class backend_registered(Event):
    """The backend server beside us registered, or changed what it says of itself."""

    def __init__(self, registered: RegisteredServer):
        super().__init__(registered)


class leaving(Event):
    """This daemon and its backend server leave; `cause` is for the log."""

    def __init__(self, cause: str):
        super().__init__(cause)


class returned(Event):
    """The list shows this daemon as a new start: it was the one before that left."""
