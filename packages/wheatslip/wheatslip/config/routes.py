"""Finding the route of a request: by its host, then by the longest path prefix."""

from collections.abc import Iterable
from random import Random

from wheatslip.config.bundle import Route


class RouteTable:
    """The routes of one bundle, indexed. It never changes."""

    def __init__(self, routes: Iterable[Route]):
        self._by_host: dict[str, dict[str, Route]] = {}
        for route in routes:
            self._by_host.setdefault(route.host, {})[route.prefix] = route

    def find(self, host: str, path: str) -> Route | None:
        """The route of a request. `host` without a port, `path` without a query.

        Prefixes end with a slash, so only the path's own prefixes up to one of its slashes
        can match: a look-up for each, the longest first, whatever the number of routes.
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
    """The service for one request of a route, drawn by the weights of its splits; where all of
    these are 0, each is as likely.
    """
    splits = route.splits
    if len(splits) == 1:
        return splits[0].service
    weights = [split.weight for split in splits]
    if not any(weights):
        return rng.choice(splits).service
    return rng.choices(splits, weights)[0].service
