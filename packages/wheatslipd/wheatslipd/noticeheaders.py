"""Reads the headers in which a backend server announces a limit and that it leaves."""

from typing import TypeVar

from result import Err, Result
from wheatslip.servernotice import ServerNotice, decode_leaving, decode_rate

from wheatslipd.http.messages import ResponseHead
from wheatslipd.settings import HeaderNames
from wheatslipd.telemetry import logs

T = TypeVar("T")


def read_notice(head: ResponseHead, names: HeaderNames, previous: ServerNotice) -> ServerNotice:
    """Return what a response announces.

    An invalid value is logged, and the one in `previous`, of the same start, holds instead.
    """
    server = previous.start.server
    rate = previous.rate
    leaving = previous.leaving
    if names.limit:
        values = head.get_all(names.limit)
        rate = _accept(decode_rate(values), "limit", values, server, rate)
    if names.leaving:
        values = head.get_all(names.leaving)
        leaving = _accept(decode_leaving(values), "leaving", values, server, leaving)
    return ServerNotice(previous.start, rate, leaving)


def _accept(
    decoded: Result[T, str], header: str, values: list[bytes], server: str, previous: T
) -> T:
    """Return the decoded value, or log why it is invalid and return the previous one."""
    if not isinstance(decoded, Err):
        return decoded.ok_value
    logs.warning(
        "server-notice-unreadable",
        server=server,
        header=header,
        value=b",".join(values).decode("ascii", "backslashreplace"),
        why=decoded.err_value,
        repeat_key=f"{server} {header}",
    )
    return previous
