"""How many of a backend server's slots requests may use."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class UsableSlots:
    """Slots for all requests, and for short ones (0: they use those of all)."""

    slots: int
    short_slots: int = 0


@dataclass(frozen=True, slots=True)
class SlotSettings:
    """Which parts of the slots that a server reports are used.

    `share` is the part for all requests, `short_share` that for short ones. `short_share`
    counts only where callers need credentials or a server reports at most `few` slots.
    """

    share: float
    short_share: float
    few: int

    def usable(self, reported: int, *, has_ranks: bool) -> UsableSlots:
        """The usable ones of the reported slots. `has_ranks`: callers need credentials."""
        slots = max(1, int(reported * self.share))
        if has_ranks or reported <= self.few:
            return UsableSlots(slots, int(reported * self.short_share))
        return UsableSlots(slots)
