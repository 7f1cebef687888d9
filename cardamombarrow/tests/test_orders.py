"""Orders to load and unload models, with real processes."""

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


def _loaded_models(address: str) -> set[str]:
    models = _get(address, "/v1/models")["data"]
    return {item["id"] for item in models if item["state"] == "loaded"}


def test_engines_load_a_new_version_one_at_a_time(rollout):
    # A new version is assigned to five engines. If all loaded it at the same
    # time, none would serve until the weight store had sent it to the last one.
    engines = rollout.engines["report-writer"]
    max_loading = 0

    def all_loaded() -> bool:
        nonlocal max_loading
        lists = [_get(address, "/v1/models")["data"] for address in engines]
        loading = sum(
            any(item["state"] == "loading" for item in models)
            for models in lists
        )
        max_loading = max(max_loading, loading)
        return all(_loaded_models(address) == {"v1"} for address in engines)

    assert deployment.wait_until(all_loaded, timeout_s=60)
    assert max_loading == 1


def test_engine_refuses_an_old_fencing_token(rollout):
    # A frozen control process resumes after another one took over and sends its
    # pending orders. The engine must refuse them.
    engine = rollout.engines["report-writer"][0]
    assert deployment.wait_until(lambda: bool(_loaded_models(engine)))
    order = {"kind": "unload", "artifact": "v1", "fencing": 0}
    reply = http_get.fetch(
        f"http://{engine}/v1/orders",
        timeout_s=5,
        method="POST",
        body=json.dumps(order).encode(),
    )
    assert reply.status == 409
    assert "v1" in _loaded_models(engine)
