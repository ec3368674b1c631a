"""Decodes bytes that another process wrote to values of a type.

What can't be read is an error value: the caller leaves it out and goes on. No other module
decodes JSON or MessagePack.
"""

import re
from typing import Annotated, TypeVar

import msgspec
from result import Err, Ok, Result

MAX_PORT = 65535
MAX_INT64 = 2**63 - 1
# JSON has no bounds, but larger integers can't be encoded again.
Int64 = Annotated[int, msgspec.Meta(ge=-MAX_INT64, le=MAX_INT64)]

_Value = TypeVar("_Value")
# Nested values that are too deep for the decoder raise RecursionError.
_ERRORS = (msgspec.DecodeError, RecursionError)
# A string, or a sign that opens, closes or separates values.
_JSON_TOKEN = re.compile(rb'"[^"\\]*(?:\\.[^"\\]*)*"|[\[\]{},:]', re.DOTALL)


def decode_json(data: bytes | msgspec.Raw, type_: type[_Value]) -> Result[_Value, str]:
    """Decode JSON; the error says what is wrong, for a log line."""
    try:
        return Ok(msgspec.json.decode(data, type=type_))
    except _ERRORS as error:
        return Err(str(error))


def decode_msgpack(data: bytes, type_: type[_Value]) -> Result[_Value, str]:
    """Decode MessagePack; the error says what is wrong, for a log line."""
    try:
        return Ok(msgspec.msgpack.decode(data, type=type_))
    except _ERRORS as error:
        return Err(str(error))


def decode_json_or_blank(data: bytes, type_: type[_Value], member: str) -> Result[_Value, str]:
    """Decode a JSON object; if that fails, with null in the place of its `member`.

    So an object with content of any kind keeps its name.
    """
    decoded = decode_json(data, type_)
    if isinstance(decoded, Ok):
        return decoded
    members = split_json_object(data) | {member: b"null"}
    blanked = (msgspec.json.encode(name) + b":" + value for name, value in members.items())
    rescued = decode_json(b"{" + b",".join(blanked) + b"}", type_)
    return rescued if isinstance(rescued, Ok) else decoded


def split_json_array(data: bytes) -> list[bytes]:
    """The elements of a JSON array, undecoded and however deep; empty if it is none."""
    return [data[start:end] for start, end in _spans(data, b"[")]


def split_json_object(data: bytes) -> dict[str, bytes]:
    """The values of a JSON object by name, undecoded and however deep; empty if it is none.

    Of a name that stands there twice the last value counts, as for the decoder.
    """
    members = {}
    for start, end in _spans(data, b"{"):
        name = _JSON_TOKEN.match(data, start)
        if name is None or data[name.end() : end].lstrip()[:1] != b":":
            continue
        match decode_json(name.group(), str):
            case Ok(text):
                members[text] = data[name.end() : end].lstrip()[1:].strip()
    return members


def _spans(data: bytes, opening: bytes) -> list[tuple[int, int]]:
    """Start and end of each element of the outermost value, if it begins with `opening`."""
    spans = []
    depth = 0
    start = len(data) - len(data.lstrip())
    if data[start : start + 1] != opening:
        return []
    for token in _JSON_TOKEN.finditer(data, start):
        sign = token.group()
        if sign in (b"[", b"{"):
            depth += 1
            if depth == 1:
                start = token.end()
        elif sign in (b"]", b"}"):
            depth -= 1
        if (depth == 1 and sign == b",") or (depth == 0 and sign in (b"]", b"}")):
            spans.append((start, token.start()))
            start = token.end()
        if depth == 0:
            break
    return [_stripped(data, *span) for span in spans if data[slice(*span)].strip()]


def _stripped(data: bytes, start: int, end: int) -> tuple[int, int]:
    text = data[start:end]
    return start + len(text) - len(text.lstrip()), start + len(text.rstrip())
