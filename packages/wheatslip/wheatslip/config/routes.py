"""Selection of the route of a request, by its host and the longest matching path prefix."""

from collections.abc import Iterable
from random import Random

from wheatslip.config.bundle import Route


class RouteTable:
    """The routes of one bundle, indexed by host and prefix. Immutable."""

    def __init__(self, routes: Iterable[Route]):
        self._by_host: dict[str, dict[str, Route]] = {}
        for route in routes:
            self._by_host.setdefault(route.host, {})[route.prefix] = route

    def find(self, host: str, path: str) -> Route | None:
        """Returns the route of a request, or None. `host` has no port, `path` no query.

        Prefixes end with a slash, so there is one lookup for each slash of the path, the
        longest prefix first. The cost does not depend on the number of routes.
        """
        prefixes = self._by_host.get(host.lower())
        if prefixes is None:
            return None
        end = path.rfind("/")
        while end >= 0:
            route = prefixes.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None


def pick_service(route: Route, rng: Random) -> str:
    """Returns a random service of a route, by the weights of its splits. If all weights are 0,
    the services are equally likely.
    """
    splits = route.splits
    if len(splits) == 1:
        return splits[0].service
    weights = [split.weight for split in splits]
    if not any(weights):
        return rng.choice(splits).service
    return rng.choices(splits, weights)[0].service
