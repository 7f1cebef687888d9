"""Finds the route of a request: by host, then the longest prefix."""

from cardamombarrow.document import schema
from cardamombarrow.kernel import ids

__all__ = ["RouteIndex", "draw_service"]


class RouteIndex:
    """The routes of one document."""

    def __init__(self, document: schema.Document):
        self._routes = {
            (route.host, route.path_prefix): route
            for route in document.routes.values()
        }

    def match(self, host: str, path: str) -> schema.Route | None:
        """Returns the route of a request, or None.

        Takes one lookup per slash of the path, regardless of the number of
        routes.

        Args:
            host: The Host header; case and port are ignored.
            path: The path without its query.
        """
        hostname = _without_port(host).lower()
        end = len(path)
        while (end := path.rfind("/", 0, end)) >= 0:
            route = self._routes.get((hostname, path[: end + 1]))
            if route is not None:
                return route
        return None


def _without_port(host: str) -> str:
    hostname, separator, port = host.rpartition(":")
    return hostname if separator and port.isdigit() else host


def draw_service(route: schema.Route, point: float) -> ids.ServiceId:
    """Returns one of a route's services, selected by weight.

    Args:
        route: The route; its weights add up to more than 0.
        point: From 0 to below 1, uniformly distributed.
    """
    left = point * sum(route.services.values())
    for service, weight in route.services.items():
        left -= weight
        if left < 0:
            return service
    return next(name for name, weight in route.services.items() if weight)
