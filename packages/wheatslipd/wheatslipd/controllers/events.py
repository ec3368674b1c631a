"""Typed circuits events, which the parts of the daemon fire and the controllers handle."""

from circuits import Event
from wheatslip.config.bundle import Bundle
from wheatslip.config.head import Head
from wheatslip.config.zonedrains import ZoneDrains
from wheatslip.distribution.feedcache import LostInstance
from wheatslip.quarantine import EndReport
from wheatslip.runtracker import EndedRuns
from wheatslip.store.instances import Instance
from wheatslip.store.registration import RegisteredServer


class newer_version_seen(Event):
    """The daemon at `address` (an IP address) has a newer bundle version than this one."""

    def __init__(self, version: int, address: str):
        super().__init__(version, address)


class bundle_verified(Event):
    """A bundle has passed the checks of its source and its digest."""

    def __init__(self, bundle: Bundle, head: Head):
        super().__init__(bundle, head)


class bundle_in_force(Event):
    """A bundle was put in force in this daemon."""

    def __init__(self, bundle: Bundle):
        super().__init__(bundle)


class instances_updated(Event):
    """The instance list, or changes of it, arrived.

    `removed` contains names. `whole` tells whether `instances` is the complete list.
    """

    def __init__(self, instances: tuple[Instance, ...], removed: tuple[str, ...], whole: bool):
        super().__init__(instances, removed, whole)


class members_changed(Event):
    """The members that requests see were published, in any order; an entry that lapsed is still
    among them during its grace period.
    """

    def __init__(self, members: tuple[Instance, ...]):
        super().__init__(members)


class losses_told(Event):
    """A parent named instances that left the list without having been listed as leaving."""

    def __init__(self, lost: tuple[LostInstance, ...]):
        super().__init__(lost)


class zones_drained(Event):
    """A new set of zone drains arrived."""

    def __init__(self, drains: ZoneDrains):
        super().__init__(drains)


class server_ended(Event):
    """The local backend server ended without notice while it ran requests."""

    def __init__(self, exposed: EndedRuns):
        super().__init__(exposed)


class end_reports_received(Event):
    """End reports arrived that this daemon did not have."""

    def __init__(self, reports: tuple[EndReport, ...]):
        super().__init__(reports)


class backend_registered(Event):
    """The local backend server registered or changed its registration."""

    def __init__(self, registered: RegisteredServer):
        super().__init__(registered)


class backend_leaving(Event):
    """The local backend server has said that it leaves; `server` is its id, or empty."""

    def __init__(self, server: str):
        super().__init__(server)


class leaving(Event):
    """This daemon and its backend server must drain; `cause` is logged."""

    def __init__(self, cause: str):
        super().__init__(cause)


class rejoined(Event):
    """The list contains the entry of this process: only an earlier process was leaving."""
