"""Hypothesis strategies of JSON that is almost a valid value, as another writer may send."""

import json
from collections.abc import Mapping
from typing import Any

from hypothesis import strategies as st

DEPTH = 1200  # of lists in lists; more than the decoder's recursion limit
NUMBERS = (-1, 0, 1.5, 2**31, 2**53 + 1, 2**63, 2**64, 10**30, -(10**30), 1e300)
TEXTS = ("", " ", "é", "a" * 300, "\x00", "😀", "no such state", "1")
# Written as they are: some are no JSON.
RAW = (
    b"[" * DEPTH + b"]" * DEPTH,
    b'{"a":' * DEPTH + b"1" + b"}" * DEPTH,
    b"1e999",
    b"9" * 5000,
    b'"\xff\xfe"',
    b'"\\ud800"',
    b'"\\ud800x"',
    b"NaN",
    b"-Infinity",
    b'"unterminated',
    b"]",
)


def _encode(value: Any) -> bytes:
    return json.dumps(value).encode()


def other_values() -> st.SearchStrategy[bytes]:
    """An encoded value of any type, or bytes that are none."""
    plain = st.sampled_from((*NUMBERS, *TEXTS, None, True, [], {}, [[]], {"a": 1}, [1, "a"]))
    return plain.map(_encode) | st.sampled_from(RAW)


def paths(value: Any, path: tuple[Any, ...] = ()) -> list[tuple[Any, ...]]:
    """The paths of all nested values, the outermost first."""
    found = [path]
    items = (
        value.items()
        if isinstance(value, Mapping)
        else (enumerate(value) if isinstance(value, list) else ())
    )
    for key, nested in items:
        found += paths(nested, (*path, key))
    return found


def render(value: Any, at: tuple[Any, ...] | None, by: bytes | None) -> bytes:
    """Encode `value` with what is at the path `at` replaced; `by` None: left out."""
    if at == ():
        return b"" if by is None else by
    if isinstance(value, Mapping):
        members = []
        for key, nested in value.items():
            inner = at[1:] if at and at[0] == key else None
            if inner == () and by is None:
                continue
            members.append(_encode(key) + b":" + render(nested, inner, by))
        return b"{" + b",".join(members) + b"}"
    if isinstance(value, list):
        elements = []
        for index, nested in enumerate(value):
            inner = at[1:] if at and at[0] == index else None
            if inner == () and by is None:
                continue
            elements.append(render(nested, inner, by))
        return b"[" + b",".join(elements) + b"]"
    return _encode(value)


@st.composite
def hostile(draw: st.DrawFn, valid: Any) -> bytes:
    """`valid` with a field dropped, doubled or of another type, or with bytes cut off."""
    whole = render(valid, None, None)
    change = draw(st.sampled_from(("drop", "replace", "cut", "insert", "double", "wrap")))
    if change == "cut":
        return whole[: draw(st.integers(0, len(whole) - 1))]
    if change == "insert":
        at = draw(st.integers(0, len(whole)))
        return whole[:at] + draw(st.binary(min_size=1, max_size=4)) + whole[at:]
    if change == "wrap":
        return b"[" + whole + b"]"
    path = draw(st.sampled_from(paths(valid)))
    if change == "drop":
        return render(valid, path, None)
    by = draw(other_values())
    if change == "double" and path and isinstance(path[-1], str):
        by = by + b"," + _encode(path[-1]) + b":" + draw(other_values())
    return render(valid, path, by)
