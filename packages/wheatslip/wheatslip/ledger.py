"""At most once: the records of request keys that one daemon owns.

Keys are UUIDs of version 7, which hold the time at which they were made. A daemon keeps its
records in memory only. For a key made before it began to keep records, or before the oldest
record that it still has, it doesn't know whether the request ran; it answers so, and does not
run it.
"""

from collections import OrderedDict
from dataclasses import dataclass, field
from enum import Enum
from uuid import UUID

# Seconds that a record is kept, and records at most. With fewer, a key that is sent again late
# gets "unknown" instead of its first answer; more take memory.
KEPT_SECONDS = 600.0
MAX_RECORDS = 50_000
# Bytes of one answer that is kept for a re-send, and of all of them; a larger one is not kept,
# so its re-send gets "unknown".
MAX_KEPT_ANSWER = 16 * 1024
MAX_KEPT_ANSWERS = 16 * 1024 * 1024
# Seconds by which a caller's clock may differ from ours. Below the real difference a key that
# is sent again could run twice; above it, more keys made around a start are not run. Assumed.
CLOCK_SKEW = 2.0
UUID7_VERSION = 7  # RFC 9562
UUID7_TIME_SHIFT = 80  # bits below the time in milliseconds


class KeyState(Enum):
    """What a claim found."""

    FRESH = "fresh"  # the claimer runs the request now
    RUNNING = "running"
    DONE = "done"
    TOO_OLD = "too-old"  # it may have run before our records begin
    FROM_THE_FUTURE = "from-the-future"


@dataclass(slots=True)
class KeptAnswer:
    """The first run's answer, for a re-send. `headers` in wire order."""

    status: int = 0
    headers: list[tuple[bytes, bytes]] = field(default_factory=list)
    body: bytes = b""

    def add(self, chunk: bytes) -> None:
        """Add a part of the body; what goes on beyond the limit is not kept."""
        if len(self.body) <= MAX_KEPT_ANSWER:
            self.body += chunk


@dataclass(slots=True)
class _Record:
    noted: float
    done: bool = False
    answer: KeptAnswer | None = None


@dataclass(frozen=True, slots=True)
class Claim:
    """The result of a claim; `answer` is there if a kept one can be given again."""

    state: KeyState
    answer: KeptAnswer | None = None


def key_time(key: str) -> float | None:
    """Unix seconds at which a version 7 UUID was made; None if it is not one."""
    try:
        parsed = UUID(key)
    except ValueError:
        return None
    if parsed.version != UUID7_VERSION:
        return None
    return (parsed.int >> UUID7_TIME_SHIFT) / 1000.0


class KeyLedger:
    """Records of the keys that this daemon watches. Times are unix seconds."""

    def __init__(self, watching_since: float, max_records: int = MAX_RECORDS):
        self._complete_since = watching_since
        self._max_records = max_records
        self._records: OrderedDict[str, _Record] = OrderedDict()
        self._answer_bytes = 0

    def __len__(self) -> int:
        return len(self._records)

    def claim(self, workspace: str, key: str, owned_since: float, now: float) -> Claim:
        """Ask to run the request of `key`, which is ours since `owned_since`.

        Only `FRESH` allows to run it; it must be followed by `done` or `not_run`.
        """
        made = key_time(key)
        assert made is not None, "keys are checked at the entry"
        self._expire(now)
        record = self._records.get(workspace + "/" + key)
        if record is not None:
            state = KeyState.DONE if record.done else KeyState.RUNNING
            return Claim(state, record.answer)
        if made > now + CLOCK_SKEW:
            return Claim(KeyState.FROM_THE_FUTURE)
        if made < max(self._complete_since, owned_since) + CLOCK_SKEW:
            return Claim(KeyState.TOO_OLD)
        self._records[workspace + "/" + key] = _Record(now)
        self._bound()
        return Claim(KeyState.FRESH)

    def done(self, workspace: str, key: str, answer: KeptAnswer | None) -> None:
        """The request ran, or may have; keep its answer if it is whole and small."""
        record = self._records.get(workspace + "/" + key)
        if record is None:
            return
        record.done = True
        if answer is None or len(answer.body) > MAX_KEPT_ANSWER:
            return
        if self._answer_bytes + len(answer.body) <= MAX_KEPT_ANSWERS:
            record.answer = answer
            self._answer_bytes += len(answer.body)

    def not_run(self, workspace: str, key: str) -> None:
        """The request surely did not run: a re-send may."""
        self._records.pop(workspace + "/" + key, None)

    def _expire(self, now: float) -> None:
        while self._records:
            key, record = next(iter(self._records.items()))
            if record.noted > now - KEPT_SECONDS:
                return
            self._forget(key, record)

    def _bound(self) -> None:
        while len(self._records) > self._max_records:
            key, record = next(iter(self._records.items()))
            self._forget(key, record)

    def _forget(self, key: str, record: _Record) -> None:
        """Drop the oldest record. A key noted then was made at most CLOCK_SKEW later, so
        from here on only keys made after that moment are surely unseen.
        """
        del self._records[key]
        self._complete_since = max(self._complete_since, record.noted + CLOCK_SKEW)
        if record.answer is not None:
            self._answer_bytes -= len(record.answer.body)
