"""Since which version a workspace has had its rate limit, from the bundles at the platform."""

from collections import defaultdict
from collections.abc import Sequence

import msgspec

from wheatslip.config.bundle import Bundle, RateLimit

_Limit = tuple[bool, RateLimit | None]  # whether the workspace exists, and its limit


class LimitSince(msgspec.Struct, frozen=True):
    """A limit is unchanged since `version`, or for longer if `version` is `oldest_known`.

    `oldest_known` is the oldest version for which the platform still tells the limit.
    """

    version: int
    oldest_known: int


def limit_since(in_force: Bundle, proposals: Sequence[Bundle], workspace: str) -> LimitSince:
    """Returns since when a workspace has had the limit of the bundle in force.

    Several proposals of a past version may be kept, and nothing says which of them was in
    force. Such a version counts only if they agree on the limit; else the history ends there.
    """
    limits: defaultdict[int, set[_Limit]] = defaultdict(set)
    for bundle in proposals:
        if bundle.version < in_force.version:
            limits[bundle.version].add(_limit_of(bundle, workspace))
    limits[in_force.version] = {_limit_of(in_force, workspace)}
    oldest = in_force.version
    while len(limits.get(oldest - 1, ())) == 1:
        oldest -= 1
    since = in_force.version
    while since > oldest and limits[since - 1] == limits[in_force.version]:
        since -= 1
    return LimitSince(since, oldest)


def _limit_of(bundle: Bundle, workspace: str) -> _Limit:
    limits = [one.limit for one in bundle.workspaces if one.name == workspace]
    return bool(limits), next(iter(limits), None)
