"""Logs: eliot events rendered as one line of key=value pairs each."""

import json
import sys
from datetime import UTC, datetime
from typing import IO, Any

import eliot
from eliot import log_message

from wheatslipd.settings import LogLevel

REPEAT_SECONDS = 10.0  # between two lines of one event and key
MAX_REPEAT_KEYS = 1000  # remembered, then all are forgotten
_ELIOT_FIELDS = ("task_uuid", "task_level", "timestamp", "message_type", "level")
_PLAIN = frozenset("abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789_-.:/@+")


class KeyValueDestination:
    """Writes each event of at least a level as a line; repeats are held back.

    An event with the same type and `repeat_key` field is written once in `REPEAT_SECONDS`;
    the next one written says how many were held back.
    """

    def __init__(self, stream: IO[str], level: LogLevel):
        self._stream = stream
        self.level = level
        self._written: dict[tuple[str, str], float] = {}
        self._held: dict[tuple[str, str], int] = {}

    def __call__(self, message: dict[str, Any]) -> None:
        """Render one event."""
        level = message.get("level", LogLevel.INFO)
        if level < self.level:
            return
        held = self._held_back(message)
        if held is None:
            return
        self._stream.write(render(message, held) + "\n")
        self._stream.flush()

    def _held_back(self, message: dict[str, Any]) -> int | None:
        """How many repeats were held back before this one; None to hold this one back."""
        if "repeat_key" not in message:
            return 0
        key = (str(message.get("message_type")), str(message["repeat_key"]))
        now = message["timestamp"]
        if now - self._written.get(key, 0.0) < REPEAT_SECONDS:
            self._held[key] = self._held.get(key, 0) + 1
            return None
        if len(self._written) >= MAX_REPEAT_KEYS:
            self._written.clear()
        self._written[key] = now
        return self._held.pop(key, 0)


def render(message: dict[str, Any], held_back: int = 0) -> str:
    """One event as `time=… level=… event=… key=value …`, on one line whatever is in it."""
    moment = datetime.fromtimestamp(message["timestamp"], UTC)
    level = LogLevel(message.get("level", LogLevel.INFO)).name.lower()
    pairs = [
        f"time={moment.isoformat(timespec='milliseconds')}",
        f"level={level}",
        f"event={_value(message.get('message_type', message.get('action_type', '-')))}",
    ]
    for key, value in message.items():
        if key not in _ELIOT_FIELDS:
            pairs.append(f"{key}={_value(value)}")
    if held_back:
        pairs.append(f"held_back={held_back}")
    return " ".join(pairs)


def _value(value: object) -> str:
    text = value if isinstance(value, str) else str(value)
    if text and set(text) <= _PLAIN:
        return text
    return json.dumps(text)


def start_logging(level: LogLevel, path: str) -> KeyValueDestination:
    """Send eliot's events to a file, or standard error if `path` is empty."""
    stream = open(path, "a", encoding="utf-8") if path else sys.stderr  # noqa: SIM115
    destination = KeyValueDestination(stream, level)
    set_level(destination, level)
    eliot.add_destinations(destination)
    return destination


def set_level(destination: KeyValueDestination, level: LogLevel) -> None:
    """Write events of at least a level from now on, and make the fields of no others."""
    global _least
    _least = level
    destination.level = level


_least = LogLevel.INFO


def is_enabled(level: LogLevel) -> bool:
    """Whether events of a level are written, so that costly fields are made only then."""
    return level >= _least


def debug(event: str, **fields: object) -> None:
    """Log an event that only a developer wants."""
    log_message(message_type=event, level=LogLevel.DEBUG, **fields)


def info(event: str, **fields: object) -> None:
    """Log an event of normal running."""
    log_message(message_type=event, level=LogLevel.INFO, **fields)


def warning(event: str, **fields: object) -> None:
    """Log an event that someone should look at."""
    log_message(message_type=event, level=LogLevel.WARNING, **fields)


def error(event: str, **fields: object) -> None:
    """Log an event that someone must act on."""
    log_message(message_type=event, level=LogLevel.ERROR, **fields)
