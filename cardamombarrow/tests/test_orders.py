"""Orders to engines, with real processes."""

import json

import pytest

from cardamombarrow.endpoints import http_get
from tools import deployment

pytestmark = pytest.mark.process


@pytest.fixture
def rollout(kandula_text, tmp_path):
    text = kandula_text.replace(
        "[service:report-writer]\n",
        "[service:report-writer]\norders = fenced\n",
    ).replace(
        "service = report-writer\n",
        "service = report-writer\nversions = v1:1\n",
    )
    plan = deployment.Plan(
        document=text + "\n[weight-store]\nloads_per_minute = 600\n",
        entries={"nuwara-a": ["entry-1"]},
        controls={"nuwara-a": ["control-1"]},
    )
    with deployment.Deployment(plan, tmp_path) as running:
        yield running


def _get(address: str, path: str):
    reply = http_get.fetch(f"http://{address}{path}", timeout_s=5)
    return json.loads(reply.body)


def _loaded(address: str) -> set[str]:
    models = _get(address, "/v1/models")["data"]
    return {item["id"] for item in models if item["state"] == "loaded"}


def test_engines_are_told_to_load_one_after_another(rollout):
    # A new version is named for five engines. Were all told at once, none
    # would serve until the weight store had fed the last of them.
    engines = rollout.engines["report-writer"]
    seen_loading = 0

    def all_loaded() -> bool:
        nonlocal seen_loading
        lists = [_get(address, "/v1/models")["data"] for address in engines]
        loading = sum(
            any(item["state"] == "loading" for item in models)
            for models in lists
        )
        seen_loading = max(seen_loading, loading)
        return all(_loaded(address) == {"v1"} for address in engines)

    assert deployment.wait_until(all_loaded, timeout_s=60)
    assert seen_loading == 1


def test_an_engine_that_checks_refuses_an_old_token(rollout):
    # A control process that was frozen while another took over wakes up and
    # sends what it had in mind. The engine must not obey it.
    engine = rollout.engines["report-writer"][0]
    assert deployment.wait_until(lambda: bool(_loaded(engine)))
    order = {"kind": "unload", "artifact": "v1", "fencing": 0}
    reply = http_get.fetch(
        f"http://{engine}/v1/orders",
        timeout_s=5,
        method="POST",
        body=json.dumps(order).encode(),
    )
    assert reply.status == 409
    assert "v1" in _loaded(engine)
