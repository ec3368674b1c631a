"""Counts and logs responses of the backend server that answer no request of this daemon."""

from wheatslipd.http.matching import Match, UnmatchedResponse
from wheatslipd.telemetry import logs
from wheatslipd.telemetry.metrics import Metrics

MAX_LOGGED_NAME_BYTES = 64  # the server chooses the length


class UnmatchedResponseLog:
    """The counter and the log line of one backend server."""

    def __init__(self, metrics: Metrics):
        self._metrics = metrics

    def add(self, response: UnmatchedResponse) -> None:
        """Record one response."""
        question = response.question
        waiting = question.kind.value if question is not None else "nothing"
        shown = "a-name" if response.name else "no-name"
        taken = "yes" if response.match is Match.TAKEN else "no"
        self._metrics.unmatched_responses.inc(
            {"waiting": waiting, "response": shown, "taken": taken}
        )
        logs.warning(
            "response-unmatched",
            waiting=waiting,
            expected=_loggable(question.name if question is not None else b""),
            got=_loggable(response.name),
            taken=taken,
            repeat_key=f"{waiting} {shown} {taken}",
        )


def _loggable(name: bytes) -> str:
    return name[:MAX_LOGGED_NAME_BYTES].decode("ascii", "replace") or "-"
