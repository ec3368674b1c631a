"""The commands `wheatslip make-keys` and `wheatslip credential-digest`."""

import getpass
import sys
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import cappa
from wheatslip.config.bundle import credential_digest
from wheatslip.config.signing import write_key_pair

from wheatslip_cli.output import ExitCode, print_errors


@cappa.command(name="make-keys")
@dataclass
class MakeKeys:
    """Make an operator's key pair: OPERATOR.key (keep it secret) and OPERATOR.pub."""

    operator: Annotated[str, cappa.Arg(help="The operator's name.")]
    folder: Annotated[Path, cappa.Arg(long=True, help="Where to write the two files.")] = Path(
        "."
    )

    def __call__(self) -> ExitCode:
        if (self.folder / f"{self.operator}.key").exists():
            return print_errors(ExitCode.REFUSED, f"{self.operator}.key already exists")
        for path in write_key_pair(self.operator, self.folder):
            print(path)
        return ExitCode.GOOD


@cappa.command(name="credential-digest")
@dataclass
class CredentialDigest:
    """Read a workspace's credential from standard input and print its digest for a bundle."""

    def __call__(self) -> ExitCode:
        if sys.stdin.isatty():
            credential = getpass.getpass("credential: ")
        else:
            credential = sys.stdin.readline().rstrip("\n")
        if not credential:
            return print_errors(ExitCode.BAD_USAGE, "the credential is empty")
        print(credential_digest(credential))
        return ExitCode.GOOD
