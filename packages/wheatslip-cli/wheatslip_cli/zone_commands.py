"""The commands `wheatslip zone …`: empty an availability zone, take it back, list them."""

import time
from collections import Counter
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from datetime import UTC, datetime
from pathlib import Path
from typing import Annotated

import cappa
import msgspec
from result import Err, Ok
from wheatslip.config.drainrequests import ZoneDrainRequests
from wheatslip.config.signing import sign_drain
from wheatslip.config.zonedrains import ZoneDrain
from wheatslip.store.instances import INSTANCE_KIND, decode_instance
from wheatslip.store.objectclient import ObjectClient

from wheatslip_cli.operator import complain_about, run_with_client, signing_key
from wheatslip_cli.options import DEFAULT_SETTINGS, Output, SettingsFile
from wheatslip_cli.output import ExitCode, Format, complain, show
from wheatslip_cli.settings import Settings

Counts = Counter[str]  # instances by zone
CountsStep = Callable[[ObjectClient, Settings, Counts], Awaitable[ExitCode]]
Zone = Annotated[str, cappa.Arg(help="Name of the availability zone.")]


class ZoneRow(msgspec.Struct, frozen=True):
    """One emptied zone, as listed. `instances` counts those that the platform lists there."""

    zone: str
    asked_by: str
    since: str
    instances: int


@cappa.command(name="drain")
@dataclass
class DrainZone:
    """Ask that nothing new be sent to the backend servers of a zone, at once."""

    zone: Zone
    settings: SettingsFile = DEFAULT_SETTINGS
    output: Output = Format.TABLE

    def __call__(self) -> ExitCode:
        """Carry out the command."""

        async def step(client: ObjectClient, settings: Settings, counts: Counts) -> ExitCode:
            if self.zone not in counts:
                known = ", ".join(sorted(counts)) or "none"
                return complain(
                    ExitCode.BAD_USAGE, f"no instance in zone {self.zone!r}; zones: {known}"
                )
            key = signing_key(settings, self.settings)
            if isinstance(key, Err):
                return complain(ExitCode.BAD_USAGE, key.err_value)
            request = ZoneDrain(self.zone, settings.operator, time.time())
            drain = sign_drain(request, key.ok_value)
            match await ZoneDrainRequests(client).drain(drain):
                case Ok(found):
                    show([_row(found, counts)], self.output)
                    return ExitCode.GOOD
                case Err(trouble):
                    return complain_about(trouble)
            raise AssertionError

        return _run_with_counts(self.settings, step)


@cappa.command(name="restore")
@dataclass
class RestoreZone:
    """Take the request to empty a zone back."""

    zone: Zone
    settings: SettingsFile = DEFAULT_SETTINGS

    def __call__(self) -> ExitCode:
        """Carry out the command."""

        async def step(client: ObjectClient, settings: Settings) -> ExitCode:
            match await ZoneDrainRequests(client).restore(self.zone):
                case Ok(True):
                    print(f"zone {self.zone} is taken back")
                    return ExitCode.GOOD
                case Ok(_):
                    return complain(ExitCode.REFUSED, f"zone {self.zone} is not emptied")
                case Err(trouble):
                    return complain_about(trouble)
            raise AssertionError

        return run_with_client(self.settings, step)


@cappa.command(name="list")
@dataclass
class ListZones:
    """List the zones that are emptied, who asked for it and since when."""

    settings: SettingsFile = DEFAULT_SETTINGS
    output: Output = Format.TABLE

    def __call__(self) -> ExitCode:
        """Carry out the command."""

        async def step(client: ObjectClient, settings: Settings, counts: Counts) -> ExitCode:
            match await ZoneDrainRequests(client).list_drains():
                case Ok(drains):
                    show([_row(drain, counts) for drain in drains], self.output)
                    return ExitCode.GOOD
                case Err(trouble):
                    return complain_about(trouble)
            raise AssertionError

        return _run_with_counts(self.settings, step)


@cappa.command(name="zone")
@dataclass
class ZoneCommand:
    """Empty availability zones and take them back."""

    command: cappa.Subcommands[DrainZone | RestoreZone | ListZones]


def _run_with_counts(settings_path: Path, step: CountsStep) -> ExitCode:
    """Run one step that needs to know how many instances the platform lists in each zone."""

    async def with_counts(client: ObjectClient, settings: Settings) -> ExitCode:
        answer = await client.list(INSTANCE_KIND)
        if isinstance(answer, Err):
            return complain_about(answer.err_value)
        found = (decode_instance(item.value) for item in answer.ok_value.items)
        counts = Counter(one.ok_value.zone for one in found if isinstance(one, Ok))
        return await step(client, settings, counts)

    return run_with_client(settings_path, with_counts)


def _row(drain: ZoneDrain, counts: Counts) -> ZoneRow:
    since = datetime.fromtimestamp(drain.since, UTC).isoformat(timespec="seconds")
    return ZoneRow(
        zone=drain.zone,
        asked_by=drain.asked_by or "-",
        since=since if drain.since else "-",
        instances=counts[drain.zone],
    )
