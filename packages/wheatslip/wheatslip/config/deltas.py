"""Deltas between two bundles. Daemons send them to each other instead of whole bundles."""

from collections.abc import Iterable
from typing import TypeVar

import msgspec

from wheatslip.config.bundle import Bundle, CallerLimits, Pool, Route, Service, Workspace
from wheatslip.config.head import Head
from wheatslip.config.signedbundle import Signature

Item = TypeVar("Item", Workspace, Service, Pool, Route)


class BundleDelta(msgspec.Struct, frozen=True, omit_defaults=True):
    """The difference from version `base` to the version of `head`: the items that were added or
    changed, and the names of removed items.

    `signatures` are those of the whole new bundle: a receiver verifies the result and need not
    trust the sender.
    """

    base: int
    head: Head
    signatures: tuple[Signature, ...] = ()
    workspaces: tuple[Workspace, ...] = ()
    services: tuple[Service, ...] = ()
    pools: tuple[Pool, ...] = ()
    gone_workspaces: tuple[str, ...] = ()
    gone_services: tuple[str, ...] = ()
    gone_pools: tuple[str, ...] = ()
    routes: tuple[Route, ...] = ()
    gone_routes: tuple[str, ...] = ()
    limits: CallerLimits | msgspec.UnsetType = msgspec.UNSET  # of the new bundle


def delta_between(
    old: Bundle, new: Bundle, head: Head, signatures: tuple[Signature, ...]
) -> BundleDelta:
    return BundleDelta(
        base=old.version,
        head=head,
        signatures=signatures,
        workspaces=_changed_items(old.workspaces, new.workspaces),
        services=_changed_items(old.services, new.services),
        pools=_changed_items(old.pools, new.pools),
        gone_workspaces=_removed_names(old.workspaces, new.workspaces),
        gone_services=_removed_names(old.services, new.services),
        gone_pools=_removed_names(old.pools, new.pools),
        routes=_changed_items(old.routes, new.routes),
        gone_routes=_removed_names(old.routes, new.routes),
        limits=new.limits,
    )


def apply_delta(old: Bundle, delta: BundleDelta) -> Bundle:
    """Returns the new bundle. The caller must verify its digest and signatures."""
    return Bundle(
        version=delta.head.version,
        workspaces=_apply_changes(old.workspaces, delta.workspaces, delta.gone_workspaces),
        services=_apply_changes(old.services, delta.services, delta.gone_services),
        pools=_apply_changes(old.pools, delta.pools, delta.gone_pools),
        routes=_apply_changes(old.routes, delta.routes, delta.gone_routes),
        limits=delta.limits,
    )


def _changed_items(old: Iterable[Item], new: Iterable[Item]) -> tuple[Item, ...]:
    old_items = {item.name: item for item in old}
    return tuple(item for item in new if old_items.get(item.name) != item)


def _removed_names(old: Iterable[Item], new: Iterable[Item]) -> tuple[str, ...]:
    new_names = {item.name for item in new}
    return tuple(item.name for item in old if item.name not in new_names)


def _apply_changes(
    old: Iterable[Item], changed: Iterable[Item], removed: Iterable[str]
) -> tuple[Item, ...]:
    items = {item.name: item for item in old}
    for name in removed:
        items.pop(name, None)
    for item in changed:
        items[item.name] = item
    return tuple(items[name] for name in sorted(items))
