"""The commands `wheatslip bundle …`."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import cappa
import msgspec
from result import Err, Ok, Result
from wheatslip.config.bundle import Bundle
from wheatslip.config.bundleini import parse_bundle
from wheatslip.config.changes import changes_between
from wheatslip.config.head import Head
from wheatslip.config.releases import Proposal, ReleaseError, Releases

from wheatslip_cli.options import DEFAULT_SETTINGS, Output, SettingsFile
from wheatslip_cli.output import ExitCode, Format, print_errors, print_rows
from wheatslip_cli.runner import load_signing_key, print_release_error, run_with_releases
from wheatslip_cli.settings import Settings

BundleStep = Callable[[Bundle, Releases, Settings], Awaitable[ExitCode]]


class BundleRow(msgspec.Struct, frozen=True):
    """A bundle as printed. `digest` is abbreviated; `signed_by` lists the operators."""

    version: int
    digest: str
    state: str
    signed_by: str
    workspaces: int
    services: int
    pools: int


def read_bundle(path: Path) -> Bundle | None:
    """Reads a bundle file. If there are problems, prints them and returns None."""
    try:
        text = path.read_text()
    except OSError as error:
        print_errors(ExitCode.BAD_USAGE, str(error))
        return None
    match parse_bundle(text, str(path)):
        case Ok(bundle):
            return bundle
        case Err(problems):
            print_errors(ExitCode.BAD_USAGE, *(str(problem) for problem in problems))
    return None


def run_with_bundle(path: Path, settings_path: Path, step: BundleStep) -> ExitCode:
    """Reads a bundle file and runs `step` with it and the releases at the platform."""
    bundle = read_bundle(path)
    if bundle is None:
        return ExitCode.BAD_USAGE

    async def with_bundle(releases: Releases, settings: Settings) -> ExitCode:
        return await step(bundle, releases, settings)

    return run_with_releases(settings_path, with_bundle)


@cappa.command(name="check")
@dataclass
class Check:
    """Check a bundle file and print its version and digest."""

    file: Annotated[Path, cappa.Arg(help="The bundle (INI).")]
    output: Output = Format.TABLE

    def __call__(self) -> ExitCode:
        bundle = read_bundle(self.file)
        if bundle is None:
            return ExitCode.BAD_USAGE
        print_rows([_row(bundle, "checked", [])], self.output)
        return ExitCode.GOOD


@cappa.command(name="diff")
@dataclass
class Diff:
    """Show the differences between two bundle files."""

    old: Annotated[Path, cappa.Arg(help="The older bundle (INI).")]
    new: Annotated[Path, cappa.Arg(help="The newer bundle (INI).")]
    output: Output = Format.TABLE

    def __call__(self) -> ExitCode:
        old, new = read_bundle(self.old), read_bundle(self.new)
        if old is None or new is None:
            return ExitCode.BAD_USAGE
        print_rows(changes_between(old, new), self.output)
        return ExitCode.GOOD


@cappa.command(name="propose")
@dataclass
class Propose:
    """Propose a bundle: store it at the platform for signing."""

    file: Annotated[Path, cappa.Arg(help="The bundle (INI).")]
    settings: SettingsFile = DEFAULT_SETTINGS
    output: Output = Format.TABLE

    def __call__(self) -> ExitCode:
        async def step(bundle: Bundle, releases: Releases, settings: Settings) -> ExitCode:
            return _print_proposal(await releases.propose(bundle), self.output)

        return run_with_bundle(self.file, self.settings, step)


@cappa.command(name="sign")
@dataclass
class Sign:
    """Sign a proposed bundle, after reviewing it, with your own key."""

    file: Annotated[Path, cappa.Arg(help="The bundle (INI) that you reviewed.")]
    settings: SettingsFile = DEFAULT_SETTINGS
    output: Output = Format.TABLE

    def __call__(self) -> ExitCode:
        async def step(bundle: Bundle, releases: Releases, settings: Settings) -> ExitCode:
            key = load_signing_key(settings, self.settings)
            if isinstance(key, Err):
                return print_errors(ExitCode.BAD_USAGE, key.err_value)
            answer = await releases.sign(
                bundle.version, bundle.digest(), settings.operator, key.ok_value
            )
            return _print_proposal(answer, self.output)

        return run_with_bundle(self.file, self.settings, step)


@cappa.command(name="rollout")
@dataclass
class Rollout:
    """Put a signed bundle in force."""

    file: Annotated[Path, cappa.Arg(help="The bundle (INI).")]
    settings: SettingsFile = DEFAULT_SETTINGS

    def __call__(self) -> ExitCode:
        async def step(bundle: Bundle, releases: Releases, settings: Settings) -> ExitCode:
            match await releases.roll_out(bundle.version, bundle.digest()):
                case Ok(head):
                    print(f"version {head.version} ({head.digest[:12]}) is in force")
                    return ExitCode.GOOD
                case Err(error):
                    return print_release_error(error)
            raise AssertionError

        return run_with_bundle(self.file, self.settings, step)


@cappa.command(name="history")
@dataclass
class History:
    """List the bundles at the platform and their states."""

    settings: SettingsFile = DEFAULT_SETTINGS
    output: Output = Format.TABLE

    def __call__(self) -> ExitCode:
        async def step(releases: Releases, settings: Settings) -> ExitCode:
            head, proposals = await releases.head(), await releases.proposals()
            if isinstance(head, Err):
                return print_release_error(head.err_value)
            if isinstance(proposals, Err):
                return print_release_error(proposals.err_value)
            current = head.ok_value
            rows = [_proposal_row(p, _state(p, current)) for p in proposals.ok_value]
            print_rows(rows, self.output)
            return ExitCode.GOOD

        return run_with_releases(self.settings, step)


@cappa.command(name="bundle")
@dataclass
class BundleCommand:
    """Review, sign and roll out versions of the configuration."""

    command: cappa.Subcommands[Check | Diff | Propose | Sign | Rollout | History]


def _state(proposal: Proposal, head: Head | None) -> str:
    """Returns the state for display. A bundle is `beaten` if another one of its version is in
    force.
    """
    version = proposal.bundle.version
    if head is None or version > head.version:
        return "proposed"
    if version < head.version:
        return "past"
    return "in force" if proposal.bundle.digest() == head.digest else "beaten"


def _print_proposal(answer: Result[Proposal, ReleaseError], output: Format) -> ExitCode:
    """Prints the proposal, or the error."""
    match answer:
        case Ok(proposal):
            print_rows([_proposal_row(proposal, "proposed")], output)
            return ExitCode.GOOD
        case Err(error):
            return print_release_error(error)
    raise AssertionError(answer)


def _proposal_row(proposal: Proposal, state: str) -> BundleRow:
    return _row(proposal.bundle, state, proposal.signers)


def _row(bundle: Bundle, state: str, signers: list[str]) -> BundleRow:
    return BundleRow(
        version=bundle.version,
        digest=bundle.digest()[:12],
        state=state,
        signed_by=", ".join(signers),
        workspaces=len(bundle.workspaces),
        services=len(bundle.services),
        pools=len(bundle.pools),
    )
