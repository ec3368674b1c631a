"""Reads what the local backend server announces in its responses, for its gate.

Only responses of the registered start of the server count.
"""

from collections.abc import Callable

from wheatslip.servernotice import ServerNotice, ServerStart

from wheatslipd.http.messages import ResponseHead
from wheatslipd.noticeheaders import read_notice
from wheatslipd.settings import HeaderNames
from wheatslipd.telemetry import logs


class NoticeReader:
    """The announcements of one backend server."""

    def __init__(
        self,
        names: HeaderNames,
        on_rate: Callable[[float | None], None],
        on_leaving: Callable[[], None],
    ):
        """`on_rate` gets each new rate in requests per second; None: the server names none.
        `on_leaving` is called once for a start of the server that leaves.
        """
        self._names = names
        self._on_rate = on_rate
        self._on_leaving = on_leaving
        self.start = ServerStart()  # the registered start
        self.rate: float | None = None  # requests per second that the server named last
        self.leaving = False
        self._has_responded = False  # whether this start has responded to a request
        self._names_rate_in_health = False

    def on_registered(self, start: ServerStart, *, leaving: bool) -> None:
        """Forget the announcements of another start once this one has registered."""
        if not start.may_equal(self.start):
            self._has_responded = False
            self._names_rate_in_health = False
            self._set_rate(None)
        self.start = start
        self.leaving = leaving

    def on_response(self, head: ResponseHead) -> None:
        """Read the response to a request. Without a rate in it, the earlier one ends."""
        if not self._is_from_registered(head):
            return
        self._has_responded = True
        notice = read_notice(head, self._names, self._current())
        self._set_rate(notice.rate)
        if notice.leaving:
            self.mark_leaving("its responses say so")

    def on_health(self, head: ResponseHead) -> None:
        """Read a response of the health endpoint.

        Without a rate in it, the earlier one ends only if the endpoint has named one before:
        the server may name it in the responses to requests alone.
        """
        if not self._is_from_registered(head):
            return
        notice = read_notice(head, self._names, self._current())
        if notice.rate is not None or self._names_rate_in_health:
            self._set_rate(notice.rate)
        if self._names.limit and head.get(self._names.limit) is not None:
            self._names_rate_in_health = True
        if notice.leaving:
            self.mark_leaving("its health endpoint says so")

    def on_forwarded(self, notice: ServerNotice) -> None:
        """Use the limit that an entry remembers, until this start of the server responds.

        After a restart of this daemon, entries may know the limit earlier than the gate.
        """
        if not self._has_responded and notice.start.may_equal(self.start):
            self._set_rate(notice.rate)

    def mark_leaving(self, cause: str) -> None:
        """Record that the server leaves; `cause` is logged."""
        if self.leaving:
            return
        logs.info("server-leaving-said", server=self.start.server, cause=cause)
        self.leaving = True
        self._on_leaving()

    def notice(self) -> ServerNotice | None:
        """What entries should know; None if there is nothing."""
        return self._current() if self.rate is not None or self.leaving else None

    def _current(self) -> ServerNotice:
        return ServerNotice(self.start, self.rate, self.leaving)

    def _is_from_registered(self, head: ResponseHead) -> bool:
        server = head.get(self._names.server) if self._names.server else None
        return server is None or server == self.start.server.encode()

    def _set_rate(self, rate: float | None) -> None:
        if rate == self.rate:
            return
        if rate is None:
            logs.info("server-limit-ended", server=self.start.server, rate=self.rate)
        else:
            logs.info("server-limit-named", server=self.start.server, rate=rate)
        self.rate = rate
        self._on_rate(rate)
