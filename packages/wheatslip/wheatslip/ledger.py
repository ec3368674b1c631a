"""At-most-once execution: records of the request keys that a daemon owns.

Keys are UUIDs of version 7, which contain their creation time. A daemon keeps its records in
memory only. If a key is older than the daemon's oldest record, or than the start of the daemon,
it cannot know whether the request ran; it does not run it and reports the outcome as unknown.
"""

from collections import OrderedDict
from dataclasses import dataclass, field
from enum import Enum
from uuid import UUID

# A key that is sent again after its record was dropped gets "unknown" instead of the answer.
RECORD_SECONDS = 600.0
MAX_RECORDS = 50_000
# Limits for the answers kept for re-sends; a re-send without a kept answer gets "unknown".
MAX_ANSWER_BYTES = 16 * 1024
MAX_TOTAL_ANSWER_BYTES = 16 * 1024 * 1024
# Largest difference to a caller's clock; with a larger one a re-sent key may run twice. The
# larger it is, the more keys that were created around a start are not run.
CALLER_CLOCK_SKEW_SECONDS = 2.0
UUID7_VERSION = 7  # RFC 9562
UUID7_TIME_SHIFT = 80  # bits below the time in milliseconds


class KeyState(Enum):
    """State of a key when it is claimed."""

    FRESH = "fresh"  # not seen before: the claimant must run the request
    RUNNING = "running"
    DONE = "done"
    TOO_OLD = "too-old"  # may have run before the records begin
    FROM_THE_FUTURE = "from-the-future"


@dataclass(slots=True)
class KeptAnswer:
    """The answer of the first run, kept for re-sends. `headers` are in wire order."""

    status: int = 0
    headers: list[tuple[bytes, bytes]] = field(default_factory=list)
    body: bytes = b""

    def add(self, chunk: bytes) -> None:
        """Appends a part of the body, until the body exceeds `MAX_ANSWER_BYTES`."""
        if len(self.body) <= MAX_ANSWER_BYTES:
            self.body += chunk


@dataclass(slots=True)
class _Record:
    claimed_at: float
    done: bool = False
    answer: KeptAnswer | None = None


@dataclass(frozen=True, slots=True)
class Claim:
    """The result of a claim. `answer` is set if the answer of the first run is kept."""

    state: KeyState
    answer: KeptAnswer | None = None


def key_time(key: str) -> float | None:
    """Creation time of a version 7 UUID in unix seconds; None if `key` is not one."""
    try:
        uuid = UUID(key)
    except ValueError:
        return None
    if uuid.version != UUID7_VERSION:
        return None
    return (uuid.int >> UUID7_TIME_SHIFT) / 1000.0


class KeyLedger:
    """The records of one daemon. Times are in unix seconds."""

    def __init__(self, watching_since: float, max_records: int = MAX_RECORDS):
        self._complete_since = watching_since
        self._max_records = max_records
        self._records: OrderedDict[str, _Record] = OrderedDict()
        self._answer_bytes = 0

    def __len__(self) -> int:
        return len(self._records)

    def claim(self, workspace: str, key: str, owned_since: float, now: float) -> Claim:
        """Claims the right to run the request of `key`, which this daemon has owned
        since `owned_since`.

        The request may run only if the state is `FRESH`. The caller must then call `done` or
        `not_run`.
        """
        created_at = key_time(key)
        assert created_at is not None, "the entry must reject keys that are not version 7 UUIDs"
        self._evict_expired(now)
        record = self._records.get(workspace + "/" + key)
        if record is not None:
            state = KeyState.DONE if record.done else KeyState.RUNNING
            return Claim(state, record.answer)
        if created_at > now + CALLER_CLOCK_SKEW_SECONDS:
            return Claim(KeyState.FROM_THE_FUTURE)
        if created_at < max(self._complete_since, owned_since) + CALLER_CLOCK_SKEW_SECONDS:
            return Claim(KeyState.TOO_OLD)
        self._records[workspace + "/" + key] = _Record(now)
        self._evict_excess()
        return Claim(KeyState.FRESH)

    def done(self, workspace: str, key: str, answer: KeptAnswer | None) -> None:
        """The request ran or may have run. `answer` is its complete answer, or None."""
        record = self._records.get(workspace + "/" + key)
        if record is None:
            return
        record.done = True
        if answer is None or len(answer.body) > MAX_ANSWER_BYTES:
            return
        if self._answer_bytes + len(answer.body) <= MAX_TOTAL_ANSWER_BYTES:
            record.answer = answer
            self._answer_bytes += len(answer.body)

    def not_run(self, workspace: str, key: str) -> None:
        """The request did not run, so a re-send may run."""
        self._records.pop(workspace + "/" + key, None)

    def _evict_expired(self, now: float) -> None:
        while self._records:
            key, record = next(iter(self._records.items()))
            if record.claimed_at > now - RECORD_SECONDS:
                return
            self._evict_record(key, record)

    def _evict_excess(self) -> None:
        while len(self._records) > self._max_records:
            key, record = next(iter(self._records.items()))
            self._evict_record(key, record)

    def _evict_record(self, key: str, record: _Record) -> None:
        """Drops the oldest record. Its key was created at most `CALLER_CLOCK_SKEW_SECONDS`
        after the claim, so only keys created later than that are then known not to have run.
        """
        del self._records[key]
        self._complete_since = max(
            self._complete_since, record.claimed_at + CALLER_CLOCK_SKEW_SECONDS
        )
        if record.answer is not None:
            self._answer_bytes -= len(record.answer.body)
