"""Reads what the local backend server announces in its responses.

Only responses of the registered start of the server count. A header with an invalid value is
logged and has no effect.
"""

from collections.abc import Callable
from typing import TypeVar

from result import Err, Result
from wheatslip.servernotice import ServerStart, decode_leaving, decode_rate

from wheatslipd.http.messages import ResponseHead
from wheatslipd.settings import HeaderNames
from wheatslipd.telemetry import logs

T = TypeVar("T")


class NoticeReader:
    """Reads the responses of one backend server."""

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

    def on_registered(self, start: ServerStart, *, leaving: bool) -> None:
        """Forget the announcements of another start once this one has registered."""
        if not start.may_equal(self.start):
            self._set_rate(None)
        self.start = start
        self.leaving = leaving

    def on_response(self, head: ResponseHead) -> None:
        """Read the response to a request. Without a rate in it, the earlier one ends."""
        if not self._is_from_registered(head):
            return
        self._read_rate(head)
        self._read_leaving(head)

    def _is_from_registered(self, head: ResponseHead) -> bool:
        server = head.get(self._names.server) if self._names.server else None
        return server is None or server == self.start.server.encode()

    def _read_rate(self, head: ResponseHead) -> None:
        if not self._names.limit:
            return
        values = head.get_all(self._names.limit)
        self._set_rate(self._accept(decode_rate(values), "limit", values, self.rate))

    def _set_rate(self, rate: float | None) -> None:
        if rate == self.rate:
            return
        if rate is None:
            logs.info("server-limit-ended", server=self.start.server, rate=self.rate)
        else:
            logs.info("server-limit-named", server=self.start.server, rate=rate)
        self.rate = rate
        self._on_rate(rate)

    def _read_leaving(self, head: ResponseHead) -> None:
        if not self._names.leaving or self.leaving:
            return
        values = head.get_all(self._names.leaving)
        if self._accept(decode_leaving(values), "leaving", values, False):
            self.mark_leaving("its responses say so")

    def mark_leaving(self, cause: str) -> None:
        """Record that the server leaves; `cause` is logged."""
        if self.leaving:
            return
        logs.info("server-leaving-said", server=self.start.server, cause=cause)
        self.leaving = True
        self._on_leaving()

    def _accept(
        self, decoded: Result[T, str], header: str, values: list[bytes], current: T
    ) -> T:
        """Return the decoded value, or log why it is invalid and return the current one."""
        if not isinstance(decoded, Err):
            return decoded.ok_value
        logs.warning(
            "server-notice-unreadable",
            server=self.start.server,
            header=header,
            value=b",".join(values).decode("ascii", "backslashreplace"),
            why=decoded.err_value,
            repeat_key=header,
        )
        return current
