"""Logs: each eliot event is rendered as one line of key=value pairs."""

import json
import sys
from datetime import UTC, datetime
from typing import IO, Any

import eliot
from eliot import log_message

from wheatslipd.settings import LogLevel

REPEAT_SECONDS = 10.0  # minimum time between two lines of the same event and `repeat_key`
MAX_REPEAT_KEYS = 1000  # tracked; all are cleared when the limit is reached
_ELIOT_FIELDS = ("task_uuid", "task_level", "timestamp", "message_type", "level")
_UNQUOTED = frozenset("abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789_-.:/@+")


class KeyValueDestination:
    """Writes each event at or above a level as one line and suppresses repeats.

    Events with the same type and `repeat_key` are written at most once per `REPEAT_SECONDS`;
    the field `held_back` of the next line is the number of suppressed events.
    """

    def __init__(self, stream: IO[str], level: LogLevel):
        self._stream = stream
        self.level = level
        self._written_at: dict[tuple[str, str], float] = {}
        self._suppressed_counts: dict[tuple[str, str], int] = {}

    def __call__(self, message: dict[str, Any]) -> None:
        """Write one event."""
        level = message.get("level", LogLevel.INFO)
        if level < self.level:
            return
        suppressed = self._count_suppressed(message)
        if suppressed is None:
            return
        self._stream.write(render(message, suppressed) + "\n")
        self._stream.flush()

    def _count_suppressed(self, message: dict[str, Any]) -> int | None:
        """Count the repeats suppressed before this event; None if it is suppressed itself."""
        if "repeat_key" not in message:
            return 0
        key = (str(message.get("message_type")), str(message["repeat_key"]))
        now = message["timestamp"]
        if now - self._written_at.get(key, 0.0) < REPEAT_SECONDS:
            self._suppressed_counts[key] = self._suppressed_counts.get(key, 0) + 1
            return None
        if len(self._written_at) >= MAX_REPEAT_KEYS:
            self._written_at.clear()
        self._written_at[key] = now
        return self._suppressed_counts.pop(key, 0)


def render(message: dict[str, Any], held_back: int = 0) -> str:
    """Render an event as `time=… level=… event=… key=value …`; line breaks are escaped."""
    timestamp = datetime.fromtimestamp(message["timestamp"], UTC)
    level = LogLevel(message.get("level", LogLevel.INFO)).name.lower()
    pairs = [
        f"time={timestamp.isoformat(timespec='milliseconds')}",
        f"level={level}",
        f"event={_format_value(message.get('message_type', message.get('action_type', '-')))}",
    ]
    for key, value in message.items():
        if key not in _ELIOT_FIELDS:
            pairs.append(f"{key}={_format_value(value)}")
    if held_back:
        pairs.append(f"held_back={held_back}")
    return " ".join(pairs)


def _format_value(value: object) -> str:
    text = value if isinstance(value, str) else str(value)
    if text and set(text) <= _UNQUOTED:
        return text
    return json.dumps(text)


def start_logging(level: LogLevel, path: str) -> KeyValueDestination:
    """Write eliot's events to the file at `path`, or to standard error if it is empty."""
    stream = open(path, "a", encoding="utf-8") if path else sys.stderr  # noqa: SIM115
    destination = KeyValueDestination(stream, level)
    set_level(destination, level)
    eliot.add_destinations(destination)
    return destination


def set_level(destination: KeyValueDestination, level: LogLevel) -> None:
    """Set the lowest level that the destination writes and `is_enabled` reports."""
    global _min_level
    _min_level = level
    destination.level = level


_min_level = LogLevel.INFO


def is_enabled(level: LogLevel) -> bool:
    """Whether events of a level are written; callers skip costly fields otherwise."""
    return level >= _min_level


def debug(event: str, **fields: object) -> None:
    """Log an event for developers."""
    log_message(message_type=event, level=LogLevel.DEBUG, **fields)


def info(event: str, **fields: object) -> None:
    """Log an event of normal operation."""
    log_message(message_type=event, level=LogLevel.INFO, **fields)


def warning(event: str, **fields: object) -> None:
    """Log an event that an operator should look at."""
    log_message(message_type=event, level=LogLevel.WARNING, **fields)


def error(event: str, **fields: object) -> None:
    """Log an event that requires action by an operator."""
    log_message(message_type=event, level=LogLevel.ERROR, **fields)
