"""Bounds the connections whose peers do not read what is sent to them."""

from typing import Protocol


class BlockedConnection(Protocol):
    """What is asked of a connection to enforce the bound."""

    def give_up(self) -> None:
        """Close it because its peer does not read."""


class BlockedConnections:
    """The connections of all ports that can't be written to, the longest blocked first."""

    def __init__(self, most: int):
        self._most = most
        self._blocked: dict[BlockedConnection, None] = {}

    def __len__(self) -> int:
        return len(self._blocked)

    def add(self, connection: BlockedConnection) -> None:
        """Add one that has just become so; above the most, the longest blocked is given up."""
        self._blocked[connection] = None
        if len(self._blocked) > self._most:
            longest = next(iter(self._blocked))
            del self._blocked[longest]
            longest.give_up()

    def discard(self, connection: BlockedConnection) -> None:
        self._blocked.pop(connection, None)
