"""Entry point of the operators' command `wheatslip`."""

import sys
from dataclasses import dataclass

import cappa

from wheatslip_cli import __version__
from wheatslip_cli.bundle_commands import BundleCommand
from wheatslip_cli.key_commands import CredentialDigest, MakeKeys
from wheatslip_cli.workspace_commands import WorkspaceCommand
from wheatslip_cli.zone_commands import ZoneCommand


@cappa.command(
    name="wheatslip",
    description=(
        "Operates the wheatslip load balancer. Exit codes: 0 done, 1 refused, 2 bad usage or "
        "input, 3 the platform is unavailable, 4 another version came into force first."
    ),
)
@dataclass
class Wheatslip:
    """Operate the wheatslip load balancer."""

    command: cappa.Subcommands[
        BundleCommand | ZoneCommand | WorkspaceCommand | MakeKeys | CredentialDigest
    ]


def main() -> None:
    parsed = cappa.parse(Wheatslip, version=__version__, completion=False)
    chosen = parsed.command
    groups = BundleCommand | ZoneCommand | WorkspaceCommand
    command = chosen.command if isinstance(chosen, groups) else chosen
    sys.exit(int(command()))


if __name__ == "__main__":
    main()
