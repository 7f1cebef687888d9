"""Matching of requests to routes."""

import collections

import pytest

from cardamombarrow.document import schema
from cardamombarrow.entry.frontend import routes


def _route(name, host, prefix, services=None):
    return schema.Route(name, host, prefix, "class", services or {"one": 1.0})


@pytest.fixture
def index():
    document = schema.Document(
        tiers={},
        classes={},
        workspaces={},
        services={},
        models={},
        owners={},
        policies=schema.Policies(),
        routes={
            name: _route(name, host, prefix)
            for name, host, prefix in (
                ("root", "a.example", "/"),
                ("long", "a.example", "/x/y/"),
                ("short", "a.example", "/x/"),
                ("other", "b.example", "/x/"),
            )
        },
    )
    return routes.RouteIndex(document)


@pytest.mark.parametrize(
    ("host", "path", "name"),
    [
        ("a.example", "/x/y/z", "long"),
        ("a.example", "/x/y/", "long"),
        ("a.example", "/x/y", "short"),
        ("a.example", "/xy/z", "root"),
        ("A.Example:8080", "/x/q", "short"),
        ("b.example", "/x/q", "other"),
        ("b.example", "/q", None),
        ("c.example", "/x/q", None),
        ("", "/x/q", None),
    ],
)
def test_the_longest_prefix_of_the_host_matches(index, host, path, name):
    route = index.match(host, path)
    assert (route.route if route else None) == name


def test_services_are_drawn_by_weight():
    route = _route("r", "h", "/", {"a": 3.0, "none": 0.0, "b": 1.0})
    drawn = collections.Counter(
        routes.draw_service(route, point / 1_000) for point in range(1_000)
    )
    assert drawn == {"a": 750, "b": 250}
