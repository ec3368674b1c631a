"""Serves the requests of entries for tokens, on the control port.

The owner of a workspace's limit grants the tokens; `wheatslip.quota.granter` decides how many,
and when an ask is passed on to the former owner instead.
"""

import asyncio
from collections.abc import Callable
from contextlib import suppress

import grpclib.const
from grpclib.exceptions import GRPCError
from grpclib.server import Stream
from result import Err, Ok, Result
from wheatslip.quota.granter import Granter
from wheatslip.quota.messages import (
    AskRefusal,
    NumberedAnswer,
    NumberedAsk,
    RelayedAnswer,
    TokenGrant,
    TokenRequest,
)

from wheatslipd.quota.answerstream import AnswerStream
from wheatslipd.quota.askfailure import AskFailure
from wheatslipd.quota.relaycalls import OTHER_DAEMON_STATUS, RELAY_METHOD, RelayCalls
from wheatslipd.telemetry import logs

ASK_METHOD = "/wheatslip.Quota/Ask"
# Leaves time to grant within an ask, after which an entry leaves the asked daemon out.
RELAY_TIMEOUT_SECONDS = 0.06
# Of a primary that settles. Longer than an ask, after which the entry asks the former primary
# by itself: one that is taken for silent costs most of the limit for some seconds.
SETTLING_RELAY_TIMEOUT_SECONDS = 0.25


class QuotaService:
    """Answers token requests of other entries, and those of this daemon without a call."""

    def __init__(
        self,
        name: str,
        granter: Granter,
        clock: Callable[[], float],
        relay_calls: RelayCalls | None = None,
    ):
        """`name` is this daemon's; `clock` is monotonic, in seconds. Without `relay_calls` no
        ask is passed on.
        """
        self._relay_calls = relay_calls
        self._name = name
        self._granter = granter
        self._clock = clock
        self._listed = asyncio.Event()
        # Workspaces whose requests this daemon has received as their primary.
        self._primary_of: set[str] = set()

    def __mapping__(self) -> dict[str, grpclib.const.Handler]:
        """Return the handlers by method path; grpclib calls this."""
        both = grpclib.const.Cardinality.STREAM_STREAM
        unary = grpclib.const.Cardinality.UNARY_UNARY
        return {
            ASK_METHOD: grpclib.const.Handler(
                self._answer_stream, both, NumberedAsk, NumberedAnswer
            ),
            RELAY_METHOD: grpclib.const.Handler(
                self._answer_relayed, unary, TokenRequest, RelayedAnswer
            ),
        }

    def on_list(self) -> None:
        """This daemon has its first list of daemons."""
        self._listed.set()

    def grant(self, request: TokenRequest) -> TokenGrant:
        """Grant tokens now."""
        return self._granter.grant(request, self._clock())

    async def serve(self, request: TokenRequest) -> TokenGrant:
        """Grant tokens, or pass the ask on to the former primary while that one grants."""
        self._log_primary(request.workspace)
        target = self._granter.relay_target(request, self._clock())
        if target is None or self._relay_calls is None:
            return self.grant(request)
        workspace = request.workspace
        is_settling = self._granter.is_settling(workspace, self._clock())
        seconds = SETTLING_RELAY_TIMEOUT_SECONDS if is_settling else RELAY_TIMEOUT_SECONDS
        match await self._relay_calls.relay(target, request, seconds):
            case Ok(answer) if not answer.primary:
                return answer.grant
            case Ok(answer):
                self._granter.on_declined(workspace, answer, self._clock())
            case Err(AskFailure.SILENT):
                logs.info(
                    "quota-former-silent",
                    workspace=workspace,
                    owner=target,
                    repeat_key=workspace,
                )
                self._granter.on_silent(workspace, self._clock())
            case Err(_):  # its process has ended, or its version grants by its own list only
                self._granter.on_refused(workspace, self._clock())
        return self.grant(request)

    async def answer(self, request: TokenRequest) -> Result[TokenGrant, AskRefusal]:
        """Answer the ask of another entry."""
        if request.owner not in ("", self._name) or not await self._has_list():
            return Err(AskRefusal.OTHER_DAEMON)
        return Ok(await self.serve(request))

    async def _has_list(self) -> bool:
        """Wait for the first list: others may know a daemon that starts before it knows them.

        Without a list it grants as little as one that is not running yet.
        """
        if not self._granter.has_list:
            with suppress(TimeoutError):
                async with asyncio.timeout(RELAY_TIMEOUT_SECONDS):
                    await self._listed.wait()
        return self._granter.has_list

    async def _answer_relayed(self, stream: Stream[TokenRequest, RelayedAnswer]) -> None:
        request = await stream.recv_message()
        if request is None:
            return
        if request.owner != self._name or not self._granter.has_list:
            raise GRPCError(OTHER_DAEMON_STATUS)
        await stream.send_message(self._granter.grant_relayed(request, self._clock()))

    async def _answer_stream(self, stream: Stream[NumberedAsk, NumberedAnswer]) -> None:
        await AnswerStream(stream, self.answer).run()

    def _log_primary(self, workspace: str) -> None:
        """Log the first request for a workspace since this daemon became its primary."""
        is_primary = next(iter(self._granter.candidates_of(workspace)), "") == self._name
        if is_primary and workspace not in self._primary_of:
            self._primary_of.add(workspace)
            logs.info("quota-owner", workspace=workspace, daemon=self._name)
        elif not is_primary:
            self._primary_of.discard(workspace)
