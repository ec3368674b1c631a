"""The daemons that limits call: those listed, and those that left the list lately."""

from collections.abc import Callable, Mapping

from wheatslip.quota.reach import REMEMBER_SECONDS
from wheatslip.store.instances import Instance


class KnownDaemons:
    """Instances by name. One that left the list is kept for `REMEMBER_SECONDS`."""

    def __init__(self, clock: Callable[[], float]):
        """`clock` is monotonic, in seconds."""
        self._clock = clock
        self._listed: Mapping[str, Instance] = {}
        self._left: dict[str, tuple[float, Instance]] = {}  # with the time

    def set_listed(self, instances: Mapping[str, Instance]) -> None:
        """Set all listed daemons, also those that leave."""
        now = self._clock()
        for name in self._listed.keys() - instances.keys():
            self._left[name] = (now, self._listed[name])
        self._left = {
            name: (left_at, instance)
            for name, (left_at, instance) in self._left.items()
            if name not in instances and now - left_at < REMEMBER_SECONDS
        }
        self._listed = instances

    def add_left(self, instance: Instance, left_at: float) -> None:
        """Add a daemon that left the list before this one had it."""
        self._left.setdefault(instance.name, (left_at, instance))

    def get(self, name: str) -> Instance | None:
        """The instance of this name, as it was last listed."""
        if name in self._listed:
            return self._listed[name]
        return self._left[name][1] if name in self._left else None
