"""Renders the settings template of the deploy file, for the kinds of gaps that it has."""

import json
import re
from collections.abc import Mapping

Fields = Mapping[str, object]

_SECTION = re.compile(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", re.DOTALL)
_VALUE = re.compile(r"\{\{([\w.]+)\}\}")


def render(template: str, fields: Fields) -> str:
    """Fill the gaps of a template; a section stands if its value is true or was given."""

    def section(match: re.Match[str]) -> str:
        return match[2] if _lookup(fields, match[1]) else ""

    def value(match: re.Match[str]) -> str:
        found = _lookup(fields, match[1])
        if found is None:
            return ""
        return json.dumps(found) if isinstance(found, dict) else str(found)

    return _VALUE.sub(value, _SECTION.sub(section, template))


def _lookup(fields: Fields, path: str) -> object:
    found: object = fields
    for part in path.split("."):
        if isinstance(found, Mapping):
            found = found.get(part)
        elif isinstance(found, list):
            found = found[int(part)]
        else:
            return None
    return found
