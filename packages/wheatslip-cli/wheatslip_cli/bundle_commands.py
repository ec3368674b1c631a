"""The commands `wheatslip bundle …`: each one object with its arguments and what it does."""

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

from wheatslip_cli.operator import complain_about, run_step, signing_key
from wheatslip_cli.options import DEFAULT_SETTINGS, Output, SettingsFile
from wheatslip_cli.output import ExitCode, Format, complain, show
from wheatslip_cli.settings import Settings

BundleStep = Callable[[Bundle, Releases, Settings], Awaitable[ExitCode]]


class BundleRow(msgspec.Struct, frozen=True):
    """One bundle, as listed."""

    version: int
    digest: str
    state: str
    signed_by: str
    workspaces: int
    services: int
    pools: int


def read_bundle(path: Path) -> Bundle | None:
    """The bundle in a file; None after its problems were printed."""
    try:
        text = path.read_text()
    except OSError as error:
        complain(ExitCode.BAD_USAGE, str(error))
        return None
    match parse_bundle(text, str(path)):
        case Ok(bundle):
            return bundle
        case Err(problems):
            complain(ExitCode.BAD_USAGE, *(str(problem) for problem in problems))
    return None


def run_with_bundle(path: Path, settings_path: Path, step: BundleStep) -> ExitCode:
    """Read a bundle and take one step with it against the platform."""
    bundle = read_bundle(path)
    if bundle is None:
        return ExitCode.BAD_USAGE

    async def with_bundle(releases: Releases, settings: Settings) -> ExitCode:
        return await step(bundle, releases, settings)

    return run_step(settings_path, with_bundle)


@cappa.command(name="check")
@dataclass
class Check:
    """Check a bundle file and print its version and digest."""

    file: Annotated[Path, cappa.Arg(help="The bundle (INI).")]
    output: Output = Format.TABLE

    def __call__(self) -> ExitCode:
        """Carry out the command."""
        bundle = read_bundle(self.file)
        if bundle is None:
            return ExitCode.BAD_USAGE
        show([_row(bundle, "checked", [])], self.output)
        return ExitCode.GOOD


@cappa.command(name="diff")
@dataclass
class Diff:
    """Show what differs between two bundle files."""

    old: Annotated[Path, cappa.Arg(help="The older bundle (INI).")]
    new: Annotated[Path, cappa.Arg(help="The newer bundle (INI).")]
    output: Output = Format.TABLE

    def __call__(self) -> ExitCode:
        """Carry out the command."""
        old, new = read_bundle(self.old), read_bundle(self.new)
        if old is None or new is None:
            return ExitCode.BAD_USAGE
        show(changes_between(old, new), self.output)
        return ExitCode.GOOD


@cappa.command(name="propose")
@dataclass
class Propose:
    """Put a bundle up for sign-off at the platform."""

    file: Annotated[Path, cappa.Arg(help="The bundle (INI).")]
    settings: SettingsFile = DEFAULT_SETTINGS
    output: Output = Format.TABLE

    def __call__(self) -> ExitCode:
        """Carry out the command."""

        async def step(bundle: Bundle, releases: Releases, settings: Settings) -> ExitCode:
            return _show_proposed(await releases.propose(bundle), self.output)

        return run_with_bundle(self.file, self.settings, step)


@cappa.command(name="sign")
@dataclass
class Sign:
    """Sign a proposed bundle, after reviewing it, with your own key."""

    file: Annotated[Path, cappa.Arg(help="The bundle (INI) that you reviewed.")]
    settings: SettingsFile = DEFAULT_SETTINGS
    output: Output = Format.TABLE

    def __call__(self) -> ExitCode:
        """Carry out the command."""

        async def step(bundle: Bundle, releases: Releases, settings: Settings) -> ExitCode:
            key = signing_key(settings, self.settings)
            if isinstance(key, Err):
                return complain(ExitCode.BAD_USAGE, key.err_value)
            answer = await releases.sign(
                bundle.version, bundle.digest(), settings.operator, key.ok_value
            )
            return _show_proposed(answer, self.output)

        return run_with_bundle(self.file, self.settings, step)


@cappa.command(name="rollout")
@dataclass
class Rollout:
    """Bring a signed-off bundle in force."""

    file: Annotated[Path, cappa.Arg(help="The bundle (INI).")]
    settings: SettingsFile = DEFAULT_SETTINGS

    def __call__(self) -> ExitCode:
        """Carry out the command."""

        async def step(bundle: Bundle, releases: Releases, settings: Settings) -> ExitCode:
            match await releases.roll_out(bundle.version, bundle.digest()):
                case Ok(head):
                    print(f"version {head.version} ({head.digest[:12]}) is in force")
                    return ExitCode.GOOD
                case Err(error):
                    return complain_about(error)
            raise AssertionError

        return run_with_bundle(self.file, self.settings, step)


@cappa.command(name="history")
@dataclass
class History:
    """List the bundles at the platform, with the one in force."""

    settings: SettingsFile = DEFAULT_SETTINGS
    output: Output = Format.TABLE

    def __call__(self) -> ExitCode:
        """Carry out the command."""

        async def step(releases: Releases, settings: Settings) -> ExitCode:
            head, proposals = await releases.head(), await releases.proposals()
            if isinstance(head, Err):
                return complain_about(head.err_value)
            if isinstance(proposals, Err):
                return complain_about(proposals.err_value)
            now = head.ok_value
            rows = [_proposal_row(one, _state(one, now)) for one in proposals.ok_value]
            show(rows, self.output)
            return ExitCode.GOOD

        return run_step(self.settings, step)


@cappa.command(name="bundle")
@dataclass
class BundleCommand:
    """Review, sign off and roll out versions of the configuration."""

    command: cappa.Subcommands[Check | Diff | Propose | Sign | Rollout | History]


def _state(proposal: Proposal, head: Head | None) -> str:
    version = proposal.bundle.version
    if head is None or version > head.version:
        return "proposed"
    if version < head.version:
        return "past"
    return "in force" if proposal.bundle.digest() == head.digest else "beaten"


def _show_proposed(answer: Result[Proposal, ReleaseError], output: Format) -> ExitCode:
    """Print the proposal that a step led to, or why the step was not taken."""
    match answer:
        case Ok(proposal):
            show([_proposal_row(proposal, "proposed")], output)
            return ExitCode.GOOD
        case Err(refusal):
            return complain_about(refusal)
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
