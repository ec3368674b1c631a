"""The share of a limit that a primary may grant, by the daemons that are in touch with it.

In a partition each side may have a primary. Each grants in proportion to the daemons that it
can reach, so that all sides together grant the limit. docs/design/limits-in-partitions.md has
the rules.
"""

import zlib
from collections import OrderedDict, deque
from collections.abc import Collection, Iterator, Mapping
from dataclasses import dataclass
from enum import Enum, auto
from math import gcd, inf

PROBES_AT_REST = 2  # in a round
PROBES_IN_DOUBT = 32  # in a round, for `DOUBT_SECONDS` after a daemon was lost or found again
DOUBT_SECONDS = 5.0
# Step from one daemon of the list to the next that is probed, as a part of the list. A zone has
# its daemons next to each other there; by this step a part of a third is met by four probes.
PROBE_STEP = (5**0.5 - 1) / 2
SILENCES = 2  # in a row, after which a daemon is out of touch: single packets get lost
SAMPLE = 128  # daemons tried last, by which the share is estimated
RISE_SECONDS = 3.0  # by then a daemon that is in touch again has the list of the others
REMEMBER_SECONDS = 4000.0  # for which a daemon that was lost may still grant
FADE_SECONDS = 3600.0  # out of touch, after which the others may have forgotten this daemon


class Contact(Enum):
    """What came of a connection to a daemon's control port."""

    ACCEPTED = auto()  # by its machine; the process may be frozen
    REFUSED = auto()  # its process has ended
    SILENT = auto()


@dataclass(frozen=True, slots=True)
class Lost:
    """A daemon that left the list, of which it was this share, without having said so."""

    at: float
    share: float


class Reach:
    """Times are in seconds, monotonic."""

    def __init__(self, name: str):
        """`name` is that of this daemon, which is always in touch with itself."""
        self._name = name
        self._members: tuple[str, ...] = ()  # in the order in which they are probed
        self._listed: frozenset[str] = frozenset()  # the same
        self._next = zlib.crc32(name.encode())  # of the members, modulo their number
        self._step = 1
        self._changed_at = -inf  # when a daemon was last found to be out of touch, or in touch
        self._now = -inf  # of the last round
        # Silences in a row of the daemons that were tried; the one tried last is at the end.
        self._silences: OrderedDict[str, int] = OrderedDict()
        self._lost: dict[str, Lost] = {}
        self._counted: set[str] = set()  # daemons that were lost, and not listed again since
        self._ended: set[str] = set()  # members whose process had ended when last tried
        self._shares: deque[tuple[float, float]] = deque()  # of the members, lately
        self._partial_since = inf  # not in touch with all members

    def set_members(self, members: Collection[str], lost: Collection[str], now: float) -> None:
        """Applies a list; `lost` have left it without having been listed as leaving."""
        size = max(1, len(self._members))
        self._members = tuple(members)
        listed = self._listed = frozenset(members)
        self._step = _coprime_step(len(self._members))
        self._forget_lost(now)
        self._lost |= {name: Lost(now, 1.0 / size) for name in lost if name not in self._ended}
        self._counted = (self._counted | self._lost.keys()) - listed
        for name in self._lost.keys() & listed:
            del self._lost[name]
        self._ended &= listed
        for name in self._silences.keys() - listed - self._lost.keys():
            del self._silences[name]

    @property
    def lost(self) -> Mapping[str, Lost]:
        """The daemons that were lost and may still grant."""
        return self._lost

    def learn_lost(self, lost: Mapping[str, Lost], now: float) -> frozenset[str]:
        """Applies what another daemon knows; returns the names that are new.

        A daemon counts once, because this one finds out by itself if it is in touch again.
        """
        new = {
            name: one
            for name, one in lost.items()
            if name not in self._listed and name not in self._counted and name != self._name
        }
        self._counted |= new.keys()
        self._lost |= new
        self._forget_lost(now)
        return frozenset(new)

    @property
    def is_in_doubt(self) -> bool:
        """Whether more daemons may be out of touch, or in touch again, than is known."""
        return self.has_untried_lost or self._now - self._changed_at < DOUBT_SECONDS

    @property
    def has_untried_lost(self) -> bool:
        """Whether it is not known of a daemon that was lost if it is in touch."""
        return any(name not in self._silences for name in self._lost)

    def next_probes(self) -> tuple[str, ...]:
        """The daemons to connect to in the next round."""
        count = PROBES_IN_DOUBT if self.is_in_doubt else PROBES_AT_REST
        names: dict[str, None] = {}
        for name in self._probe_order():
            if len(names) == count:
                break
            names[name] = None
        return tuple(names)

    def on_round(self, contacts: Mapping[str, Contact], now: float) -> None:
        """Records the results of a round."""
        self._now = now
        for name, contact in contacts.items():
            self._on_contact(name, contact)
        while len(self._silences) > SAMPLE:
            self._silences.popitem(last=False)
        self._forget_lost(now)
        share = self._share_of_members()
        if share >= 1.0:
            self._partial_since = inf
        elif self._partial_since == inf:
            self._partial_since = now
        self._shares.append((now, share))
        while self._shares[0][0] < now - RISE_SECONDS:
            self._shares.popleft()

    def share(self, now: float) -> float:
        """The share of rate and burst that a primary grants."""
        if now - self._partial_since >= FADE_SECONDS:
            return 0.0
        in_touch = min((share for _, share in self._shares), default=1.0)
        lost = sum(one.share for one in self._lost.values())
        return max(0.0, in_touch * (1.0 - lost))

    def _probe_order(self) -> Iterator[str]:
        """Those on whom the share depends most, then the members in turn."""
        yield from (name for name in self._lost if name not in self._silences)
        yield from (n for n, silences in self._silences.items() if 0 < silences < SILENCES)
        for _ in self._members:
            name = self._members[self._next % len(self._members)]
            self._next += self._step
            if name != self._name:
                yield name
        yield from self._lost

    def _on_contact(self, name: str, contact: Contact) -> None:
        silences = self._silences.pop(name, 0)
        was_out_of_touch = silences >= SILENCES
        silences = silences + 1 if contact is Contact.SILENT else 0
        self._silences[name] = silences
        if was_out_of_touch != (silences >= SILENCES):
            self._changed_at = self._now
        self._ended.discard(name)
        if contact is Contact.REFUSED:
            self._ended.add(name)
        if contact is not Contact.SILENT:
            # Its machine is in touch: the process has ended, or has the list of the others.
            self._lost.pop(name, None)

    def _forget_lost(self, now: float) -> None:
        for name in [n for n, lost in self._lost.items() if now - lost.at >= REMEMBER_SECONDS]:
            del self._lost[name]

    def _share_of_members(self) -> float:
        tried = [count for name, count in self._silences.items() if name in self._listed]
        silent = sum(count >= SILENCES for count in tried)
        size = len(self._members) if len(self._members) <= SAMPLE else len(tried)
        return 1.0 - silent / max(1, size)


def _coprime_step(size: int) -> int:
    """A step that visits each of `size` places, far apart from each other."""
    step = max(1, round(PROBE_STEP * size))
    while gcd(step, size) > 1:
        step += 1
    return step
