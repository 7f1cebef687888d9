"""Parsing of callers' requests into calls for endpoints."""

import collections
import json
import random

from werkzeug import test
from werkzeug import wrappers

from cardamombarrow.document import parsing
from cardamombarrow.entry.frontend import incoming
from cardamombarrow.kernel import ids


def test_versions_get_their_share_of_the_traffic(kandula_text):
    # A rollout gives a tenth of the traffic to a new version. The request to
    # the engine must name the version, with the rest of the body unchanged.
    text = kandula_text.replace(
        "[model:trail-7b]\n",
        "[model:trail-7b]\nversions = trail-7b-a:9 trail-7b-b:1\n",
    )
    document = parsing.parse(text)
    workspace = document.workspaces[ids.WorkspaceId("race-control")]
    content = {"model": "trail-7b", "stream": True, "messages": ["x"]}
    rng = random.Random(1)
    seen = collections.Counter()
    for _ in range(2_000):
        builder = test.EnvironBuilder(method="POST", json=content)
        call = incoming.completion(
            wrappers.Request(builder.get_environ()),
            document,
            workspace,
            ids.RequestId(f"{rng.getrandbits(96):024x}"),
            0.0,
        )
        sent = json.loads(call.body)
        assert sent == {**content, "model": call.version}
        seen[call.version] += 1
    assert set(seen) == {"trail-7b-a", "trail-7b-b"}
    assert 150 < seen["trail-7b-b"] < 250
