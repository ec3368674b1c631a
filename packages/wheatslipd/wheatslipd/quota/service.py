"""Serves the requests of entries for tokens, on the control port.

The owner of a workspace's limit grants the tokens; `wheatslip.quota.granter` decides how many.
"""

from collections.abc import Callable

import grpclib.const
from grpclib.exceptions import GRPCError
from grpclib.server import Stream
from wheatslip.quota.granter import Granter
from wheatslip.quota.messages import TokenGrant, TokenRequest

from wheatslipd.telemetry import logs

GET_TOKENS_METHOD = "/wheatslip.Quota/GetTokens"
# The answer to an ask for another daemon, which has ended: this one has its address now.
OTHER_DAEMON_STATUS = grpclib.const.Status.NOT_FOUND


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
        unary = grpclib.const.Cardinality.UNARY_UNARY
        return {
            GET_TOKENS_METHOD: grpclib.const.Handler(
                self._get_tokens, unary, TokenRequest, TokenGrant
            )
        }

    def grant(self, request: TokenRequest) -> TokenGrant:
        """Grant tokens now."""
        self._log_primary(request.workspace)
        return self._granter.grant(request, self._clock())

    async def _get_tokens(self, stream: Stream[TokenRequest, TokenGrant]) -> None:
        request = await stream.recv_message()
        if request is None:
            return
        if request.owner not in ("", self._name):
            raise GRPCError(OTHER_DAEMON_STATUS)
        await stream.send_message(self.grant(request))

    def _log_primary(self, workspace: str) -> None:
        """Log the first request for a workspace since this daemon became its primary."""
        is_primary = next(iter(self._granter.candidates_of(workspace)), "") == self._name
        if is_primary and workspace not in self._primary_of:
            self._primary_of.add(workspace)
            logs.info("quota-owner", workspace=workspace, daemon=self._name)
        elif not is_primary:
            self._primary_of.discard(workspace)
