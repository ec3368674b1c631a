"""The commands `wheatslip workspace …`: the limits of workspaces, and how they are used."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import cappa
import msgspec
from result import Err
from wheatslip.config.bundle import Bundle, Workspace
from wheatslip.config.ini import parse_ip_and_port, parse_names
from wheatslip.config.limithistory import limit_since
from wheatslip.config.releases import Releases

from wheatslip_cli.daemonquotas import DaemonQuotas, QuotaFigures, read_quotas
from wheatslip_cli.options import DEFAULT_SETTINGS, Output, SettingsFile
from wheatslip_cli.output import ExitCode, Format, print_errors, print_rows
from wheatslip_cli.runner import print_release_error, run_with_releases
from wheatslip_cli.settings import Settings

Pages = Annotated[
    str,
    cappa.Arg(long="pages", help="Pages of daemons, IP:PORT,…: adds the use of the limits."),
]


class WorkspaceRow(msgspec.Struct, frozen=True):
    """A workspace as printed. Without a limit `rate` is 0.

    `limit_since` is the version since which the limit is as it is; if it equals `known_since`,
    the limit may be older, as the platform does not tell what was in force before.
    """

    workspace: str
    rate: float
    burst: float
    priority: int
    share: float
    credentials: int
    version: int
    limit_since: int
    known_since: int


class UsedWorkspaceRow(WorkspaceRow, frozen=True):
    """A workspace with the sums of the daemons that answered."""

    used: int
    refused: int
    granted: int


class DaemonRow(msgspec.Struct, frozen=True):
    """The figures of one daemon, since its start."""

    daemon: str
    used: int
    refused: int
    granted: int


class ShownWorkspace(UsedWorkspaceRow, frozen=True):
    """What `show` prints as JSON."""

    daemons: tuple[DaemonRow, ...]
    not_answered: tuple[str, ...]


ShowStep = Callable[[Sequence[WorkspaceRow], DaemonQuotas | None], ExitCode]


@cappa.command(name="list")
@dataclass
class ListWorkspaces:
    """List the workspaces of the bundle in force, with their limits."""

    settings: SettingsFile = DEFAULT_SETTINGS
    output: Output = Format.TABLE
    pages: Pages = ""

    def __call__(self) -> ExitCode:
        def show(rows: Sequence[WorkspaceRow], quotas: DaemonQuotas | None) -> ExitCode:
            if quotas is not None:
                rows = [_with_use(row, quotas) for row in rows]
            print_rows(rows, self.output)
            return ExitCode.GOOD

        return _run_with_workspaces(self.settings, self.pages, show)


@cappa.command(name="show")
@dataclass
class ShowWorkspace:
    """Show a workspace of the bundle in force, and with --pages its use by daemon."""

    name: Annotated[str, cappa.Arg(help="Name of the workspace.")]
    settings: SettingsFile = DEFAULT_SETTINGS
    output: Output = Format.TABLE
    pages: Pages = ""

    def __call__(self) -> ExitCode:
        def show(rows: Sequence[WorkspaceRow], quotas: DaemonQuotas | None) -> ExitCode:
            row = next((row for row in rows if row.workspace == self.name), None)
            if row is None:
                names = ", ".join(row.workspace for row in rows) or "none"
                return print_errors(
                    ExitCode.BAD_USAGE, f"no workspace {self.name!r}; workspaces: {names}"
                )
            if quotas is None:
                print_rows([row], self.output)
            elif self.output is Format.JSON:
                print_rows([_with_daemons(row, quotas)], self.output)
            else:
                print_rows([_with_use(row, quotas)], self.output)
                print_rows(_daemon_rows(self.name, quotas), self.output)
            return ExitCode.GOOD

        return _run_with_workspaces(self.settings, self.pages, show)


@cappa.command(name="workspace")
@dataclass
class WorkspaceCommand:
    """Show workspaces, their limits and the use of these."""

    command: cappa.Subcommands[ListWorkspaces | ShowWorkspace]


def _run_with_workspaces(settings_path: Path, pages: str, show: ShowStep) -> ExitCode:
    """Runs `show` with the workspaces in force and, if pages are given, the daemons' figures.

    Daemons that did not answer are named; the exit code does not depend on them.
    """
    try:
        addresses = [parse_ip_and_port(page) for page in parse_names(pages)]
    except ValueError:
        return print_errors(ExitCode.BAD_USAGE, f"--pages {pages}: expected IP:PORT,…")

    async def step(releases: Releases, settings: Settings) -> ExitCode:
        rows = await _workspaces_in_force(releases)
        if isinstance(rows, ExitCode):
            return rows
        quotas = None
        if addresses:
            has_limits = any(row.rate for row in rows)
            quotas = await read_quotas(addresses, has_limits=has_limits)
        code = show(rows, quotas)
        if quotas is not None and quotas.not_answered:
            missing = ", ".join(quotas.not_answered)
            print_errors(code, f"not in the sums, as no quotas came from: {missing}")
        return code

    return run_with_releases(settings_path, step)


async def _workspaces_in_force(releases: Releases) -> list[WorkspaceRow] | ExitCode:
    """Reads the workspaces of the bundle in force, none if there is no bundle. An exit code
    means that this failed; the error is printed then.
    """
    head, proposals = await releases.head(), await releases.proposals()
    if isinstance(head, Err):
        return print_release_error(head.err_value)
    if isinstance(proposals, Err):
        return print_release_error(proposals.err_value)
    current = head.ok_value
    if current is None:
        return []
    bundles = [proposal.bundle for proposal in proposals.ok_value]
    in_force = next((b for b in bundles if b.digest() == current.digest), None)
    if in_force is None:
        error = f"the platform has no bundle of version {current.version} in force"
        return print_errors(ExitCode.REFUSED, error)
    return [_row(one, in_force, bundles) for one in in_force.workspaces]


def _row(workspace: Workspace, in_force: Bundle, proposals: Sequence[Bundle]) -> WorkspaceRow:
    limit = workspace.limit
    since = limit_since(in_force, proposals, workspace.name)
    return WorkspaceRow(
        workspace=workspace.name,
        rate=limit.rate if limit else 0.0,
        burst=limit.burst if limit else 0.0,
        priority=workspace.priority or 0,
        share=workspace.share,
        credentials=len(workspace.credentials),
        version=in_force.version,
        limit_since=since.version,
        known_since=since.oldest_known,
    )


def _with_use(row: WorkspaceRow, quotas: DaemonQuotas) -> UsedWorkspaceRow:
    total = quotas.total(row.workspace)
    return UsedWorkspaceRow(**msgspec.structs.asdict(row), **msgspec.structs.asdict(total))


def _with_daemons(row: WorkspaceRow, quotas: DaemonQuotas) -> ShownWorkspace:
    return ShownWorkspace(
        **msgspec.structs.asdict(_with_use(row, quotas)),
        daemons=tuple(_daemon_rows(row.workspace, quotas)),
        not_answered=tuple(quotas.not_answered),
    )


def _daemon_rows(workspace: str, quotas: DaemonQuotas) -> list[DaemonRow]:
    """The figures of each daemon that answered."""
    return [
        DaemonRow(name, *msgspec.structs.astuple(figures.get(workspace, QuotaFigures())))
        for name, figures in sorted(quotas.by_daemon.items())
    ]
