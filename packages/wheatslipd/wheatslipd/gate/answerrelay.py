"""Reads what a response of the backend server tells, and relays it to the entry."""

from wheatslip.backendload import decode_backend_load
from wheatslip.call import Call
from wheatslip.hop import LOAD_HEADER, NOTICE_HEADER, OUTCOME_HEADER, encode
from wheatslip.ledger import KeptAnswer
from wheatslip.outcome import Answered, Outcome, Reason, Unknown
from wheatslip.retryafter import SHED_BY_SERVER

from wheatslipd.controllers.view import View
from wheatslipd.gate.forwardedrequest import ForwardedRequest
from wheatslipd.gate.gate import Gate
from wheatslipd.gate.noticereader import NoticeReader
from wheatslipd.http.body import BodyTruncated
from wheatslipd.http.client import Response
from wheatslipd.http.messages import Headers, ResponseHead
from wheatslipd.settings import HeaderNames

MISDIRECTED_STATUS = 421  # HTTP 421 Misdirected Request: the server is not the registered one


class AnswerRelay:
    """Relays the responses of one backend server."""

    def __init__(self, names: HeaderNames, view: View, gate: Gate, notices: NoticeReader):
        """`gate` and `notices` get what the responses tell."""
        self._names = names
        self._view = view
        self._gate = gate
        self._notices = notices

    async def relay(
        self, request: ForwardedRequest, response: Response, kept: KeptAnswer | None
    ) -> Outcome:
        """Send the response on, unless it says that the request was not run.

        Its headers and body are added to `kept`, if that is set.
        """
        is_not_run = self._reports_not_run(response.head, request.call)
        if (
            is_not_run
            and self._notices.start.server
            and response.head.status == MISDIRECTED_STATUS
        ):
            # Another server responds, so its load and announcements are not read.
            self._gate.on_server_replaced()
            return SHED_BY_SERVER
        self._update_load(response.head)
        self._notices.on_response(response.head)
        if is_not_run:
            return SHED_BY_SERVER
        headers = [
            (name, value)
            for name, value in response.head.forwarded()
            if name != self._names.load
        ]
        if kept is not None:
            kept.headers = list(headers)
        headers += [(OUTCOME_HEADER, b"answered"), *self.report_headers()]
        request.exchange.start(ResponseHead(response.head.status, headers))
        try:
            await request.exchange.relay(response.body, kept.add if kept is not None else None)
        except BodyTruncated:
            return Unknown(Reason.CONNECTION_LOST)
        if kept is not None:
            kept.status = response.head.status
        return Answered(response.head.status)

    def _update_load(self, head: ResponseHead) -> None:
        load = decode_backend_load(head.get(self._names.load) or b"")
        if load is not None:
            self._gate.update_load(load)
        else:
            self._gate.on_missing_load()

    def _reports_not_run(self, head: ResponseHead, call: Call) -> bool:
        """Whether the backend server reports that it did not run the request."""
        if self._names.not_run and head.get(self._names.not_run) is not None:
            return True
        return head.status == self._shed_status(call.service)

    def _shed_status(self, service_name: str) -> int:
        configuration = self._view.configuration
        service = configuration.services.get(service_name) if configuration else None
        if configuration is None or service is None:
            return 0
        return configuration.pools[service.pool].shed_status

    def report_headers(self) -> Headers:
        """The load at the gate, and what the server has announced, for each response."""
        headers = [(LOAD_HEADER, encode(self._gate.load_report()))]
        notice = self._notices.notice()
        if notice is not None:
            headers.append((NOTICE_HEADER, encode(notice)))
        return headers
