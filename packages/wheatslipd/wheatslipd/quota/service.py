"""Serves the requests of entries for tokens, on the control port.

The owner of a workspace's limit grants the tokens; `wheatslip.quota.granter` decides how many.
"""

from collections.abc import Callable

import grpclib.const
from grpclib.server import Stream
from result import Err, Ok, Result
from wheatslip.quota.granter import Granter
from wheatslip.quota.messages import (
    AskRefusal,
    NumberedAnswer,
    NumberedAsk,
    TokenGrant,
    TokenRequest,
)

from wheatslipd.quota.answerstream import AnswerStream
from wheatslipd.telemetry import logs

ASK_METHOD = "/wheatslip.Quota/Ask"


class QuotaService:
    """Answers token requests of other entries, and those of this daemon without a call."""

    def __init__(
        self,
        name: str,
        granter: Granter,
        clock: Callable[[], float],
    ):
        """`name` is this daemon's; `clock` is monotonic, in seconds."""
        self._name = name
        self._granter = granter
        self._clock = clock
        # Workspaces whose requests this daemon has received as their primary.
        self._primary_of: set[str] = set()

    def __mapping__(self) -> dict[str, grpclib.const.Handler]:
        """Return the handlers by method path; grpclib calls this."""
        both = grpclib.const.Cardinality.STREAM_STREAM
        return {
            ASK_METHOD: grpclib.const.Handler(
                self._answer_stream, both, NumberedAsk, NumberedAnswer
            )
        }

    def grant(self, request: TokenRequest) -> TokenGrant:
        """Grant tokens now."""
        self._log_primary(request.workspace)
        return self._granter.grant(request, self._clock())

    async def answer(self, request: TokenRequest) -> Result[TokenGrant, AskRefusal]:
        """Answer the ask of another entry."""
        if request.owner not in ("", self._name):
            return Err(AskRefusal.OTHER_DAEMON)
        return Ok(self.grant(request))

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
