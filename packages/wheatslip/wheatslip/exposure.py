"""Which requests a backend server ran when it ended without having answered them.

Any of them may have ended it, so each is a suspect at first. Left out is what a server here has
answered a short time ago: a request that ends each server that begins to run it is never
answered. Pure; the gate's side of a daemon tells it what happens.
"""

from collections import OrderedDict, deque
from dataclasses import dataclass

# Seconds that a request without an answer stays exposed after its connection broke: the
# connections of a process that ends break within a few milliseconds of each other, but the end
# is found out by a connection that may take some time.
BROKEN_SECONDS = 0.5
# Seconds that a request stays exposed after its caller left: the server may still run it.
LEFT_SECONDS = 1.0
# Seconds for which an answer speaks for its request, at the next end only. Longer, one that
# begins to end servers (with new data, say) is found out later.
ANSWER_SECONDS = 30.0
# Answers remembered, about 150 bytes each; the oldest give way. A server with 30 answers a
# second fills it in half a minute.
MAX_ANSWERS = 1024


@dataclass(slots=True, eq=False)
class Run:
    """One request at the backend server."""

    fingerprint: str
    service: str
    kind: str


@dataclass(frozen=True, slots=True)
class Exposed:
    """What a server ran when it ended: the suspects, and the runs that answers speak for."""

    suspects: tuple[Run, ...]
    answered_before: int

    @property
    def runs(self) -> int:
        """How many runs there were, those answered before among them."""
        return len(self.suspects) + self.answered_before


class Exposure:
    """The runs at one backend server that it has not answered. Times in seconds, monotonic."""

    def __init__(self) -> None:
        self._running: dict[Run, None] = {}
        self._unanswered: deque[tuple[float, Run]] = deque()  # until when it stays exposed
        self._answers: OrderedDict[str, float] = OrderedDict()  # when, by fingerprint

    @property
    def running(self) -> int:
        """How many requests are at the server now."""
        return len(self._running)

    def begin(self, run: Run) -> None:
        """The request is sent to the server now."""
        self._running[run] = None

    def answered(self, run: Run, now: float) -> None:
        """The server answered it, whatever the answer was."""
        self._running.pop(run, None)
        self._answers[run.fingerprint] = now
        self._answers.move_to_end(run.fingerprint)
        if len(self._answers) > MAX_ANSWERS:
            self._answers.popitem(last=False)

    def broken(self, run: Run, now: float) -> None:
        """Its connection ended before an answer."""
        self._leave(run, now + BROKEN_SECONDS)

    def left(self, run: Run, now: float) -> None:
        """Its caller left, or its deadline passed; the server may still run it."""
        self._leave(run, now + LEFT_SECONDS)

    def not_run(self, run: Run) -> None:
        """Nothing of it reached the server, or the server turned it away."""
        self._running.pop(run, None)

    def server_ended(self, now: float) -> Exposed:
        """What ran on the server, which has ended; the next one begins with nothing."""
        runs = [run for until, run in self._unanswered if until >= now]
        runs += self._running
        self._unanswered.clear()
        self._running.clear()
        suspects = {run.fingerprint: run for run in runs if not self._speaks_for(run, now)}
        answered = {run.fingerprint for run in runs} - suspects.keys()
        for fingerprint in answered:
            # It speaks once: without an answer by the next server it is a suspect then.
            del self._answers[fingerprint]
        return Exposed(tuple(suspects.values()), len(answered))

    def _speaks_for(self, run: Run, now: float) -> bool:
        answered = self._answers.get(run.fingerprint)
        return answered is not None and now - answered <= ANSWER_SECONDS

    def _leave(self, run: Run, until: float) -> None:
        if run not in self._running:
            return  # it was part of an end already
        del self._running[run]
        self._unanswered.append((until, run))
        while len(self._unanswered) > MAX_ANSWERS:
            self._unanswered.popleft()
