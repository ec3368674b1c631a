"""Accounts for the memory that requests hold: a small allowance each, above it one budget."""

# What each request may hold without a share of the budget.
FREE_BYTES = 12 * 1024
RESERVED_STEP_BYTES = 16 * 1024


class MemoryBudget:
    """Bytes that all requests together may hold beyond `FREE_BYTES` each."""

    def __init__(self, size: int):
        self.size = size
        self.reserved = 0

    def reserve(self, size: int) -> bool:
        """Reserve bytes; False, with nothing reserved, if they do not fit."""
        if self.reserved + size > self.size:
            return False
        self.reserved += size
        return True

    def release(self, size: int) -> None:
        self.reserved -= size


class Share:
    """The part of the budget that one request holds."""

    __slots__ = ("_budget", "_reserved", "_used")

    def __init__(self, budget: MemoryBudget):
        self._budget = budget
        self._reserved = 0
        self._used = 0

    def grow(self, size: int) -> bool:
        """Hold more bytes; False if the budget has no room for all that is held.

        They count as held in both cases: `grow(0)` tells whether there is room by now.
        """
        self._used += size
        missing = self._used - FREE_BYTES - self._reserved
        if missing <= 0:
            return True
        steps = -(-missing // RESERVED_STEP_BYTES) * RESERVED_STEP_BYTES
        if not self._budget.reserve(steps):
            return False
        self._reserved += steps
        return True

    def release(self) -> None:
        """Return all that was reserved."""
        self._budget.release(self._reserved)
        self._reserved = 0
        self._used = 0
