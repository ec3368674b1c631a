"""Serves the requests of entries for tokens and of other owners for a takeover, on the control
port.

The owner of a workspace's limit grants the tokens; `wheatslip.quota.granter` decides how many.
If it is the first candidate and not active, it takes the limit over before it answers.
"""

import asyncio
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass

import grpclib.const
from grpclib.const import Status
from grpclib.exceptions import GRPCError
from grpclib.server import Stream
from result import Err, Ok, Result
from wheatslip.quota.granter import Granter
from wheatslip.quota.handover import Takeover
from wheatslip.quota.messages import (
    AskRefusal,
    NumberedAnswer,
    NumberedAsk,
    TakeoverAnswer,
    TakeoverRequest,
    TokenGrant,
    TokenRequest,
)

from wheatslipd.quota.answerstream import AnswerStream
from wheatslipd.quota.askerrors import log_takeover_error
from wheatslipd.quota.askfailure import OTHER_DAEMON_STATUS, AskFailure
from wheatslipd.quota.takeovercalls import TAKE_OVER_METHOD, TakeoverCalls
from wheatslipd.telemetry import logs

ASK_METHOD = "/wheatslip.Quota/Ask"
# An ask waits that long for a takeover. Its entry waits 0.1 s for the answer; the rest is for
# the connection and for busy machines.
MAX_WAIT_FOR_TAKEOVER_SECONDS = 0.06
# A takeover asks on after one silent daemon and ends after two. Both calls must end within
# `MAX_TAKEOVER_SECONDS`, else no answer counts.
TAKEOVER_CALL_TIMEOUT_SECONDS = 0.9


@dataclass(frozen=True, slots=True)
class _TakeoverInProgress:
    task: asyncio.Task[None]
    wait_until: float  # by the loop's clock; later asks do not wait


class QuotaService:
    """Answers the asks of entries, also of this daemon's; takes limits over and yields them."""

    def __init__(
        self,
        name: str,
        granter: Granter,
        calls: TakeoverCalls,
        clock: Callable[[], float],
    ):
        """`name` is this daemon's; `clock` is monotonic, in seconds."""
        self._name = name
        self._granter = granter
        self._calls = calls
        self._clock = clock
        self._takeovers: dict[str, _TakeoverInProgress] = {}  # by workspace
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
            TAKE_OVER_METHOD: grpclib.const.Handler(
                self._yield_limit, unary, TakeoverRequest, TakeoverAnswer
            ),
        }

    async def answer(self, request: TokenRequest) -> Result[TokenGrant, AskRefusal]:
        """Answer an ask of another entry or of the own one, after a takeover if one is due."""
        if request.owner not in ("", self._name):
            return Err(AskRefusal.OTHER_DAEMON)
        workspace = request.workspace
        await self._take_over_if_due(workspace)
        if self._granter.is_declining(workspace, self._clock()):
            return Err(AskRefusal.DECLINED)
        return Ok(self.grant(request))

    def grant(self, request: TokenRequest) -> TokenGrant:
        """Grant tokens now."""
        self._log_primary(request.workspace)
        return self._granter.grant(request, self._clock())

    async def _answer_stream(self, stream: Stream[NumberedAsk, NumberedAnswer]) -> None:
        await AnswerStream(stream, self.answer).run()

    async def _yield_limit(self, stream: Stream[TakeoverRequest, TakeoverAnswer]) -> None:
        request = await stream.recv_message()
        if request is None:
            return
        if request.owner != self._name:
            raise GRPCError(OTHER_DAEMON_STATUS)
        try:
            answer = self._granter.answer_takeover(request, self._clock())
        except Exception as error:
            # A bug. Without a status of its own the sender would take this daemon for one of an
            # older version, which is never active.
            log_takeover_error(request.workspace, error)
            raise GRPCError(Status.INTERNAL) from error
        if answer.is_active and answer.seconds <= 0:
            logs.info("quota-yielded", workspace=request.workspace, daemon=request.sender)
        await stream.send_message(answer)

    async def _take_over_if_due(self, workspace: str) -> None:
        """Take over a limit, or wait for the takeover in progress, for a short time.

        The takeover continues after that, or if this ask is cancelled.
        """
        loop = asyncio.get_running_loop()
        in_progress = self._takeovers.get(workspace)
        if in_progress is None:
            takeover = self._granter.begin_takeover(workspace, self._clock())
            if takeover is None:
                return
            in_progress = _TakeoverInProgress(
                loop.create_task(self._take_over(takeover)),
                loop.time() + MAX_WAIT_FOR_TAKEOVER_SECONDS,
            )
            self._takeovers[workspace] = in_progress
        seconds = in_progress.wait_until - loop.time()
        if seconds > 0:
            await asyncio.wait((in_progress.task,), timeout=seconds)

    async def _take_over(self, takeover: Takeover) -> None:
        try:
            while (owner := takeover.next_owner) is not None:
                await self._ask_to_yield(takeover, owner)
        except Exception as error:
            # A bug. A takeover that broke off changes nothing, and is tried again.
            log_takeover_error(takeover.workspace, error)
        finally:
            del self._takeovers[takeover.workspace]
            now = self._clock()
            self._granter.finish_takeover(takeover, now)
            logs.info(
                "quota-takeover",
                workspace=takeover.workspace,
                state=self._granter.state_of(takeover.workspace, now).value,
                repeat_key=takeover.workspace,
            )

    async def _ask_to_yield(self, takeover: Takeover, owner: str) -> None:
        request = self._granter.takeover_request(takeover, owner)
        result: Result[TakeoverAnswer, AskFailure] = Err(AskFailure.SILENT)
        with suppress(TimeoutError):
            async with asyncio.timeout(TAKEOVER_CALL_TIMEOUT_SECONDS):
                result = await self._calls.send(request)
        match result:
            case Ok(answer):
                takeover.on_answer(answer)
            case Err(AskFailure.REFUSED | AskFailure.UNSUPPORTED):
                takeover.on_ended()
            case Err(failure):
                logs.info(
                    "quota-takeover-unanswered",
                    workspace=takeover.workspace,
                    owner=owner,
                    why=failure.name.lower(),
                    repeat_key=owner,
                )
                takeover.on_silence()

    def _log_primary(self, workspace: str) -> None:
        """Log the first request for a workspace since this daemon became its primary."""
        is_primary = next(iter(self._granter.candidates_of(workspace)), "") == self._name
        if is_primary and workspace not in self._primary_of:
            self._primary_of.add(workspace)
            logs.info("quota-owner", workspace=workspace, daemon=self._name)
        elif not is_primary:
            self._primary_of.discard(workspace)
