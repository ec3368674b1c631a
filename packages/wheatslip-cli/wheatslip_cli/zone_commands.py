"""The commands `wheatslip zone …`: drain, restore and list availability zones."""

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

from wheatslip_cli.options import DEFAULT_SETTINGS, Output, SettingsFile
from wheatslip_cli.output import ExitCode, Format, print_errors, print_rows
from wheatslip_cli.runner import load_signing_key, print_release_error, run_with_client
from wheatslip_cli.settings import Settings

InstanceCounts = Counter[str]  # number of instances by zone
CountsStep = Callable[[ObjectClient, Settings, InstanceCounts], Awaitable[ExitCode]]
Zone = Annotated[str, cappa.Arg(help="Name of the availability zone.")]


class ZoneRow(msgspec.Struct, frozen=True):
    """A drained zone as printed. `instances` is the number of instances that the platform lists
    in the zone.
    """

    zone: str
    asked_by: str
    since: str
    instances: int


@cappa.command(name="drain")
@dataclass
class DrainZone:
    """Stop sending new requests to the backend servers of an availability zone."""

    zone: Zone
    settings: SettingsFile = DEFAULT_SETTINGS
    output: Output = Format.TABLE

    def __call__(self) -> ExitCode:
        async def step(
            client: ObjectClient, settings: Settings, counts: InstanceCounts
        ) -> ExitCode:
            if self.zone not in counts:
                zones = ", ".join(sorted(counts)) or "none"
                return print_errors(
                    ExitCode.BAD_USAGE, f"no instance in zone {self.zone!r}; zones: {zones}"
                )
            key = load_signing_key(settings, self.settings)
            if isinstance(key, Err):
                return print_errors(ExitCode.BAD_USAGE, key.err_value)
            unsigned = ZoneDrain(self.zone, settings.operator, time.time())
            drain = sign_drain(unsigned, key.ok_value)
            match await ZoneDrainRequests(client).drain(drain):
                case Ok(stored):
                    print_rows([_row(stored, counts)], self.output)
                    return ExitCode.GOOD
                case Err(error):
                    return print_release_error(error)
            raise AssertionError

        return _run_with_instance_counts(self.settings, step)


@cappa.command(name="restore")
@dataclass
class RestoreZone:
    """Restore a drained availability zone."""

    zone: Zone
    settings: SettingsFile = DEFAULT_SETTINGS

    def __call__(self) -> ExitCode:
        async def step(client: ObjectClient, settings: Settings) -> ExitCode:
            match await ZoneDrainRequests(client).restore(self.zone):
                case Ok(True):
                    print(f"zone {self.zone} is restored")
                    return ExitCode.GOOD
                case Ok(_):
                    return print_errors(ExitCode.REFUSED, f"zone {self.zone} is not emptied")
                case Err(error):
                    return print_release_error(error)
            raise AssertionError

        return run_with_client(self.settings, step)


@cappa.command(name="list")
@dataclass
class ListZones:
    """List the drained availability zones, who drained them and since when."""

    settings: SettingsFile = DEFAULT_SETTINGS
    output: Output = Format.TABLE

    def __call__(self) -> ExitCode:
        async def step(
            client: ObjectClient, settings: Settings, counts: InstanceCounts
        ) -> ExitCode:
            match await ZoneDrainRequests(client).list_drains():
                case Ok(drains):
                    print_rows([_row(drain, counts) for drain in drains], self.output)
                    return ExitCode.GOOD
                case Err(error):
                    return print_release_error(error)
            raise AssertionError

        return _run_with_instance_counts(self.settings, step)


@cappa.command(name="zone")
@dataclass
class ZoneCommand:
    """Drain and restore availability zones."""

    command: cappa.Subcommands[DrainZone | RestoreZone | ListZones]


def _run_with_instance_counts(settings_path: Path, step: CountsStep) -> ExitCode:
    """Runs `step` with the number of instances that the platform lists in each zone."""

    async def with_counts(client: ObjectClient, settings: Settings) -> ExitCode:
        answer = await client.list(INSTANCE_KIND)
        if isinstance(answer, Err):
            return print_release_error(answer.err_value)
        decoded = (decode_instance(item.value) for item in answer.ok_value.items)
        counts = Counter(d.ok_value.zone for d in decoded if isinstance(d, Ok))
        return await step(client, settings, counts)

    return run_with_client(settings_path, with_counts)


def _row(drain: ZoneDrain, counts: InstanceCounts) -> ZoneRow:
    since = datetime.fromtimestamp(drain.since, UTC).isoformat(timespec="seconds")
    return ZoneRow(
        zone=drain.zone,
        asked_by=drain.asked_by or "-",
        since=since if drain.since else "-",
        instances=counts[drain.zone],
    )
