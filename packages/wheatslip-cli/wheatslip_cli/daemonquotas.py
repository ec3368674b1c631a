"""Reads from daemons' status pages how many requests workspaces used of their limits."""

import asyncio
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field

import aiohttp
import msgspec
from wheatslip.decoding import decode_json

PAGE_TIMEOUT_SECONDS = 3.0  # for the answer of one daemon


class QuotaFigures(msgspec.Struct, frozen=True):
    """Requests of a workspace since the start of a daemon: those it let through as an entry,
    those it refused as an entry, and the tokens that it granted as an owner of the limit.
    """

    used: int = 0
    refused: int = 0
    granted: int = 0

    def __add__(self, other: "QuotaFigures") -> "QuotaFigures":
        return QuotaFigures(
            self.used + other.used,
            self.refused + other.refused,
            self.granted + other.granted,
        )


class _WorkspaceQuota(msgspec.Struct, frozen=True):
    """One entry of `quotas` on the status page."""

    workspace: str
    used: int
    refused: int
    granted: int


class _StatusPage(msgspec.Struct, frozen=True):
    """The part of the status page that is read here. A daemon has no `quotas` if it knows of no
    workspace with a limit, or is of a version before.
    """

    name: str
    quotas: tuple[_WorkspaceQuota, ...] | None = None


@dataclass(slots=True)
class DaemonQuotas:
    """The figures by daemon and workspace, and the addresses that did not answer."""

    by_daemon: dict[str, dict[str, QuotaFigures]] = field(default_factory=dict)
    not_answered: list[str] = field(default_factory=list)

    def total(self, workspace: str) -> QuotaFigures:
        """Returns the sum over the daemons that answered."""
        figures = (quotas.get(workspace) for quotas in self.by_daemon.values())
        return sum_figures(one for one in figures if one is not None)


def sum_figures(figures: Iterable[QuotaFigures]) -> QuotaFigures:
    return sum(figures, start=QuotaFigures())


async def read_quotas(pages: Sequence[str], *, has_limits: bool) -> DaemonQuotas:
    """Reads the status pages at the addresses `IP:PORT`, at the same time.

    If the bundle in force has limits, a daemon without `quotas` counts as not answered: it does
    not know of them.
    """
    result = DaemonQuotas()
    timeout = aiohttp.ClientTimeout(total=PAGE_TIMEOUT_SECONDS)
    async with aiohttp.ClientSession(timeout=timeout) as session:
        answers = await asyncio.gather(*(_read_page(session, page) for page in pages))
    for page, answer in zip(pages, answers, strict=True):
        if answer is None or (answer.quotas is None and has_limits):
            result.not_answered.append(page)
            continue
        result.by_daemon[answer.name] = {
            quota.workspace: QuotaFigures(quota.used, quota.refused, quota.granted)
            for quota in answer.quotas or ()
        }
    return result


async def _read_page(session: aiohttp.ClientSession, page: str) -> _StatusPage | None:
    try:
        async with session.get(f"http://{page}/status") as response:
            if response.status != 200:
                return None
            return decode_json(await response.read(), _StatusPage).ok()
    except (aiohttp.ClientError, TimeoutError):
        return None
