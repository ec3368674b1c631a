"""Asks the owners of a workspace's limit for tokens, one candidate after the other.

An owner that did not answer is left out for a time, for all workspaces. If none of the
candidates answers, this daemon grants the tokens itself, from its own small part of the limit.
"""

from collections.abc import Callable, Mapping
from dataclasses import dataclass

import msgspec
from result import Err, Ok
from wheatslip.quota.messages import TokenGrant, TokenRequest
from wheatslip.store.instances import Instance

from wheatslipd.quota.askfailure import AskFailure
from wheatslipd.quota.channels import OwnerChannels, ended_processes
from wheatslipd.quota.service import QuotaService
from wheatslipd.telemetry import logs

UNREACHABLE_SECONDS = 1.0  # time for which an owner that did not answer is left out
UNSUPPORTED_SECONDS = 30.0  # the same for one of a version that does not know the call


@dataclass(frozen=True, slots=True)
class Answer:
    """The answer to one ask.

    `owner` is the daemon that gave it, `asked_at` when that one was asked (seconds, monotonic).
    """

    grant: TokenGrant
    owner: str
    asked_at: float


@dataclass(frozen=True, slots=True)
class _Unreachable:
    until: float  # seconds, monotonic
    has_refused: bool  # the connection


class OwnerAsker:
    """Asks owners on behalf of one entry."""

    def __init__(
        self,
        name: str,
        service: QuotaService,
        candidates_of: Callable[[str], tuple[str, ...]],
        channels: OwnerChannels,
        clock: Callable[[], float],
    ):
        """`name` and `service` are this daemon's. `candidates_of` returns the daemons to ask
        for a workspace, in this order; `clock` is monotonic, in seconds.
        """
        self._name = name
        self._service = service
        self._candidates_of = candidates_of
        self._channels = channels
        self._clock = clock
        self._instances: Mapping[str, Instance] = {}
        self._unreachable: dict[str, _Unreachable] = {}

    def set_instances(self, instances: Mapping[str, Instance]) -> None:
        """Set the listed daemons by name; a restarted one counts as reachable."""
        before, self._instances = self._instances, instances
        for name in ended_processes(self._unreachable, before, instances):
            del self._unreachable[name]
        self._channels.set_instances(instances)

    async def ask(self, request: TokenRequest) -> Answer:
        """Ask the candidates in their order, then this daemon."""
        have_all_refused = True  # the earlier candidates; so none of them runs
        for position, owner in enumerate(self._candidates_of(request.workspace)):
            unreachable = self._unreachable_now(owner)
            if unreachable is None:
                failover = have_all_refused and position > 0
                owner_request = msgspec.structs.replace(request, failover=failover, owner=owner)
                if owner == self._name:
                    return await self._ask_locally(owner_request)
                asked_at = self._clock()
                match await self._channels.ask(owner, owner_request):
                    case Ok(grant):
                        self._unreachable.pop(owner, None)
                        return Answer(grant, owner, asked_at)
                    case Err(failure):
                        unreachable = self._leave_out(owner, failure)
            have_all_refused &= unreachable.has_refused
        return await self._ask_locally(msgspec.structs.replace(request, failover=False))

    async def _ask_locally(self, request: TokenRequest) -> Answer:
        asked_at = self._clock()
        return Answer(await self._service.serve(request), self._name, asked_at)

    def _unreachable_now(self, owner: str) -> _Unreachable | None:
        unreachable = self._unreachable.get(owner)
        if unreachable is None or unreachable.until <= self._clock():
            return None
        return unreachable

    def _leave_out(self, owner: str, failure: AskFailure) -> _Unreachable:
        is_unsupported = failure is AskFailure.UNSUPPORTED
        seconds = UNSUPPORTED_SECONDS if is_unsupported else UNREACHABLE_SECONDS
        unreachable = _Unreachable(self._clock() + seconds, failure is AskFailure.REFUSED)
        if owner in self._instances:
            self._unreachable[owner] = unreachable
        logs.info(
            "quota-owner-unreachable",
            owner=owner,
            why=failure.name.lower(),
            left_out=seconds,
            repeat_key=owner,
        )
        return unreachable
