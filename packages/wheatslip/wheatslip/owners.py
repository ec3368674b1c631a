"""Ownership of request keys, by rendezvous hashing over the members of a pool.

From the membership history that a daemon has seen, it derives since when it has owned a key
without interruption.
"""

import hashlib
from collections import deque
from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass

MAX_MEMBERSHIPS = 256  # an eviction makes ownership seem shorter, so that fewer old keys run
# After the last check of an owner's list: two watches without changes, a margin for the relays.
# A shorter lease expires without a fault, a longer one delays keys whose owner is lost.
OWNER_LEASE_SECONDS = 10.0
# Largest clock difference allowed for; with a larger one two owners may act at the same time.
# The larger it is, the later a new owner acts.
DAEMON_CLOCK_SKEW_SECONDS = 2.0


def owner(key: str, members: Sequence[str]) -> str | None:
    """The member that owns `key`; None if there are no members."""
    if not members:
        return None
    return max(zip(rendezvous_weights(key, members), members, strict=True))[1]


def rendezvous_weights(key: str, members: Iterable[str]) -> Iterator[bytes]:
    """The weights of `members` in their order; the one with the highest weight owns `key`."""
    key_hash = hashlib.blake2b(f"{key}\0".encode(), digest_size=8)
    for member in members:
        member_hash = key_hash.copy()
        member_hash.update(member.encode())
        yield member_hash.digest()


@dataclass(frozen=True, slots=True)
class _Membership:
    since: float
    members: tuple[str, ...]


class OwnerHistory:
    """The memberships of one pool that a daemon has seen, latest last.

    An owner may act for `OWNER_LEASE_SECONDS` after its list was last checked. A new owner may
    use a key only after the leases of all former owners have expired.
    """

    def __init__(self) -> None:
        self._memberships: deque[_Membership] = deque(maxlen=MAX_MEMBERSHIPS)

    def change(self, members: Sequence[str], now: float) -> None:
        """Records the members from `now` on (unix seconds)."""
        sorted_members = tuple(sorted(members))
        if not self._memberships or self._memberships[-1].members != sorted_members:
            self._memberships.append(_Membership(now, sorted_members))

    def is_lease_held(self, checked: float, now: float) -> bool:
        """Whether an owner whose list was last checked at `checked` may act at `now`."""
        return now - checked <= OWNER_LEASE_SECONDS

    def exclusive_since(self, key: str, name: str) -> float | None:
        """Unix time such that no former owner can have run a key created later; None if `name`
        does not own `key`.
        """
        since = self.owned_since(key, name)
        return (
            None if since is None else since + OWNER_LEASE_SECONDS + DAEMON_CLOCK_SKEW_SECONDS
        )

    def owned_since(self, key: str, name: str) -> float | None:
        """Unix time since which `name` has owned `key` without interruption; None if it does
        not own it now.
        """
        since: float | None = None
        for membership in reversed(self._memberships):
            if owner(key, membership.members) != name:
                break
            since = membership.since
        return since
