"""Identifies the workspaces of requests that entries of the previous version forward.

Those entries do not identify workspaces and pass the credential on. Other entries never do.
"""

from dataclasses import replace

from wheatslip.call import Call
from wheatslip.config.bundle import Route, Workspace
from wheatslip.hop import Hop
from wheatslip.outcome import NotRun, Reason
from wheatslip.retryafter import NOT_CONFIGURED

from wheatslipd.controllers.view import View
from wheatslipd.http.identity import host_of, path_of
from wheatslipd.http.messages import RequestHead
from wheatslipd.identification import HeaderIdentification, classify_identified


class OlderEntryRequests:
    """Looks up the credentials of such requests by this daemon's configuration."""

    def __init__(self, view: View, header: bytes, identification: HeaderIdentification):
        """`header` is the name of the credential's header; empty: there is none."""
        self._view = view
        self._header = header
        self._identification = identification

    def identify(self, hop: Hop, call: Call, head: RequestHead) -> tuple[Call, str] | NotRun:
        """Return the call with the name of its workspace, or empty; or a refusal.

        The call of another entry is returned as it is.
        """
        if hop.workspace or not self._header or head.get(self._header) is None:
            return call, hop.workspace
        configuration = self._view.configuration
        if configuration is None:
            return NOT_CONFIGURED
        route = configuration.routes.find(host_of(head) or "", path_of(head))
        identified = self._identification.identify(head, configuration, route)
        if identified is None:
            return call, ""
        if isinstance(identified, NotRun):
            # The previous version does not know `UNCONFIRMED` and would answer 502.
            is_unconfirmed = identified.reason is Reason.UNCONFIRMED
            return NOT_CONFIGURED if is_unconfirmed else identified
        return _identified_call(call, identified, route), identified.name


def _identified_call(call: Call, workspace: Workspace, route: Route | None) -> Call:
    call_class, rank = classify_identified(workspace, route)
    kind = replace(call.kind, call_class=call_class)
    return replace(call, workspace=workspace.name, kind=kind, rank=rank)
