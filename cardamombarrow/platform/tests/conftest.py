"""Builders of platform configurations for tests."""

import json

import pytest

from cardamombarrow.platform.tests import standin_streams as standin
from cardamombarrow.platform.tests import version_scene


def service(name="letters", **changes):
    """Returns an engine service."""
    engine = {"slots": 64, "kvCapacity": 1_000, "models": [{"name": "m"}]}
    raw = {"name": name, "healthPath": "/healthz", "maxConns": 100}
    return {**raw, "engine": engine, **changes}


def route(name="letter", **changes):
    """Returns a streaming route."""
    raw = {
        "name": name,
        "host": "one.example",
        "pathPrefix": f"/{name}/",
        "routeKind": "streaming",
        "timeoutMs": 5_000,
        "latencyGoalMs": 600,
        "priority": 1,
        "service": "letters",
        "maxAttempts": 2,
        "anonymous": False,
        "resumable": True,
        "itlTargetMs": 300,
    }
    return {**raw, **changes}


def configuration(**changes):
    """Returns a whole configuration as JSON."""
    raw = {
        "version": 7,
        "routes": [route()],
        "services": [service()],
        "limits": {
            "maxHeaderBytes": 16_384,
            "maxBodyBytes": 4_194_304,
            "headerTimeoutMs": 3_000,
            "idleTimeoutMs": 15_000,
        },
        "tenants": [{"name": "clinic", "apiKeys": ["key"], "priority": 0}],
    }
    return json.dumps({**raw, **changes})


@pytest.fixture(scope="session")
def make():
    """The builders of this module, by name."""
    return globals()


@pytest.fixture
def scene(tmp_path, request):
    with version_scene.Scene(
        tmp_path, getattr(request, "param", version_scene.LONGER)
    ) as started:
        yield started


@pytest.fixture(scope="module")
def servers():
    """Servers that answer whole streams until a test scripts them."""
    with standin.Servers(lambda received: standin.Answer()) as started:
        yield started
