"""Who owns a request key: rendezvous hashing over the members of a pool.

The history of memberships says since when a daemon has owned a key without a gap, by what it
has seen itself.
"""

import hashlib
from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass

# Memberships remembered. With fewer, a key that has long been ours counts as taken over later
# than it was, so that fewer old keys run; more take memory.
KEPT_VIEWS = 256
# Seconds that an owner acts after its list was last checked, and a new owner waits. Two quiet
# watches of the platform, with room for the relays: shorter refuses keys while nothing is
# wrong, longer lets keys of a lost owner wait.
OWNER_LEASE = 10.0
# Seconds by which the clocks of two daemons may differ. Below the real difference two owners
# could act at one time; above it, a new owner waits longer. Assumed.
LIST_SKEW = 2.0


def owner(key: str, members: Sequence[str]) -> str | None:
    """The owner of `key`, None if there are no members."""
    if not members:
        return None
    return max(members, key=lambda name: _weight(key, name))


def _weight(key: str, member: str) -> bytes:
    return hashlib.blake2b(f"{key}\0{member}".encode(), digest_size=8).digest()


@dataclass(frozen=True, slots=True)
class _View:
    since: float
    members: tuple[str, ...]


class OwnerHistory:
    """The memberships of one pool that a daemon has seen, latest last.

    An owner acts only for `OWNER_LEASE` after its list was last checked. A new owner takes a
    key for its own only when the lease of any former one has run out.
    """

    def __init__(self) -> None:
        self._views: deque[_View] = deque(maxlen=KEPT_VIEWS)

    def change(self, members: Sequence[str], now: float) -> None:
        """The members are these from `now` on (unix seconds)."""
        ordered = tuple(sorted(members))
        if not self._views or self._views[-1].members != ordered:
            self._views.append(_View(now, ordered))

    def is_lease_held(self, checked: float, now: float) -> bool:
        """Whether an owner whose list was last checked at `checked` may act at `now`."""
        return now - checked <= OWNER_LEASE

    def safe_since(self, key: str, name: str) -> float | None:
        """From when on keys are surely unseen by former owners; None if `name` owns it not."""
        since = self.owned_since(key, name)
        return None if since is None else since + OWNER_LEASE + LIST_SKEW

    def owned_since(self, key: str, name: str) -> float | None:
        """Since when `name` owns `key` without a gap; None if it does not own it now."""
        since: float | None = None
        for view in reversed(self._views):
            if owner(key, view.members) != name:
                break
            since = view.since
        return since
