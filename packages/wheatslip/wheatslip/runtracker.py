"""Tracks which requests a backend server was running when it ended.

Any of them may have caused the end, so all of them are suspects, except requests that a server
here has answered recently: a request that ends every server that runs it is never answered.
This module does no I/O; the daemon's gate reports the events.
"""

from collections import OrderedDict, deque
from dataclasses import dataclass

# Times for which an unanswered request may be a suspect.
# The connections of a process that ends are lost within milliseconds, but its end is detected
# with a new connection, which may take some time.
CONNECTION_LOST_SECONDS = 0.5
CALLER_LEFT_SECONDS = 1.0  # the server may still run the request

# The longer it is, the later a request is detected that starts to end servers.
ANSWER_VALID_SECONDS = 30.0  # an answer exempts its request this long, at the next end only
# Answers of about 150 bytes, and as many ended unanswered runs; the oldest are evicted.
# Enough for the valid answers of a server with 30 answers per second.
MAX_ANSWERS = 1024


@dataclass(slots=True, eq=False)
class Run:
    """One run of a request on the backend server."""

    fingerprint: str
    service: str
    kind: str


@dataclass(frozen=True, slots=True)
class EndedRuns:
    """The suspects at the end of a server, and the number of exempt requests."""

    suspects: tuple[Run, ...]
    answered_before: int

    @property
    def runs(self) -> int:
        """Number of requests that ran, including the exempt ones."""
        return len(self.suspects) + self.answered_before


class RunTracker:
    """The unanswered runs on one backend server. Times are in monotonic seconds."""

    def __init__(self) -> None:
        self._running: dict[Run, None] = {}
        # Runs that ended without an answer, with the time until which they may be suspects.
        self._ended_unanswered: deque[tuple[float, Run]] = deque()
        self._answers: OrderedDict[str, float] = OrderedDict()  # last answer, by fingerprint

    @property
    def running(self) -> int:
        """Number of requests in flight at the server."""
        return len(self._running)

    def begin(self, run: Run) -> None:
        """The request is being sent to the server."""
        self._running[run] = None

    def answered(self, run: Run, now: float) -> None:
        """The server answered the request, with any status."""
        self._running.pop(run, None)
        self._answers[run.fingerprint] = now
        self._answers.move_to_end(run.fingerprint)
        if len(self._answers) > MAX_ANSWERS:
            self._answers.popitem(last=False)

    def broken(self, run: Run, now: float) -> None:
        """The connection of the run was lost before an answer."""
        self._end_run(run, now + CONNECTION_LOST_SECONDS)

    def left(self, run: Run, now: float) -> None:
        """The caller left or the deadline passed; the server may still run the request."""
        self._end_run(run, now + CALLER_LEFT_SECONDS)

    def not_run(self, run: Run) -> None:
        """No part of the request reached the server, or the server refused it."""
        self._running.pop(run, None)

    def server_ended(self, now: float) -> EndedRuns:
        """Returns the requests that ran on the server when it ended, and clears all runs."""
        runs = [run for until, run in self._ended_unanswered if until >= now]
        runs += self._running
        self._ended_unanswered.clear()
        self._running.clear()
        suspects = {run.fingerprint: run for run in runs if not self._was_answered(run, now)}
        exempt_fingerprints = {run.fingerprint for run in runs} - suspects.keys()
        for fingerprint in exempt_fingerprints:
            # An answer exempts its request once: if the next server does not answer it either,
            # it is a suspect.
            del self._answers[fingerprint]
        return EndedRuns(tuple(suspects.values()), len(exempt_fingerprints))

    def _was_answered(self, run: Run, now: float) -> bool:
        answered_at = self._answers.get(run.fingerprint)
        return answered_at is not None and now - answered_at <= ANSWER_VALID_SECONDS

    def _end_run(self, run: Run, until: float) -> None:
        if run not in self._running:
            return  # already returned by `server_ended`
        del self._running[run]
        self._ended_unanswered.append((until, run))
        while len(self._ended_unanswered) > MAX_ANSWERS:
            self._ended_unanswered.popleft()
