"""Comparison of two bundles for display: which items were added, removed or changed."""

from collections.abc import Iterable
from enum import StrEnum

import msgspec

from wheatslip.config.bundle import Bundle, CallerLimits, Pool, Route, Service, Workspace


class ChangeKind(StrEnum):
    """How an item differs between two bundles."""

    ADDED = "added"
    REMOVED = "removed"
    CHANGED = "changed"


class Change(msgspec.Struct, frozen=True):
    """An item that differs. `item` is its type and name; `fields` are the changed fields."""

    kind: ChangeKind
    item: str
    fields: tuple[str, ...] = ()


Item = Workspace | Service | Pool | Route
LIMITS_LABEL = "limits"


def changes_between(old: Bundle, new: Bundle) -> list[Change]:
    """Returns the changes from `old` to `new`, sorted by item."""
    changes = [
        *_compare_items("workspace", old.workspaces, new.workspaces),
        *_compare_items("service", old.services, new.services),
        *_compare_items("pool", old.pools, new.pools),
        *_compare_items("route", old.routes, new.routes),
        *_compare_limits(old.limits, new.limits),
    ]
    return sorted(changes, key=lambda change: change.item)


def _compare_limits(
    old: CallerLimits | msgspec.UnsetType, new: CallerLimits | msgspec.UnsetType
) -> Iterable[Change]:
    if old == new:
        return
    if isinstance(old, msgspec.UnsetType):
        yield Change(ChangeKind.ADDED, LIMITS_LABEL)
    elif isinstance(new, msgspec.UnsetType):
        yield Change(ChangeKind.REMOVED, LIMITS_LABEL)
    else:
        yield Change(ChangeKind.CHANGED, LIMITS_LABEL, _changed_fields(old, new))


def _compare_items(
    item_type: str, old: Iterable[Item], new: Iterable[Item]
) -> Iterable[Change]:
    old_items = {item.name: item for item in old}
    new_items = {item.name: item for item in new}
    for name in old_items.keys() | new_items.keys():
        label = f"{item_type} {name}"
        if name not in old_items:
            yield Change(ChangeKind.ADDED, label)
        elif name not in new_items:
            yield Change(ChangeKind.REMOVED, label)
        elif old_items[name] != new_items[name]:
            yield Change(
                ChangeKind.CHANGED, label, _changed_fields(old_items[name], new_items[name])
            )


def _changed_fields(old: msgspec.Struct, new: msgspec.Struct) -> tuple[str, ...]:
    names = old.__struct_fields__
    return tuple(name for name in names if getattr(old, name) != getattr(new, name))
