"""Settings of rate limits over all daemons."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class QuotaSettings:
    """The bound that holds for the requests of a workspace at all backend servers.

    In any `window` (seconds) they are at most
    `(rate * window + burst) * (1 + overage) + slack`.
    """

    window: float = 5.0
    overage: float = 0.1
    slack: float = 20.0

    @property
    def token_lifetime(self) -> float:
        """Seconds for which an entry may use a token; late use takes half of the overage."""
        return self.overage * self.window / 2
