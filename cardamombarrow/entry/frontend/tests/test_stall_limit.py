"""How long an endpoint may be silent before its stream is resumed elsewhere."""

import pytest

from cardamombarrow.document import schema
from cardamombarrow.entry.frontend import routed
from cardamombarrow.kernel import ids

_SOUND_SILENCE_S = 1.2
"""A sound endpoint is silent for about a second."""

_CALLERS_WAIT_S = 2.0


@pytest.mark.parametrize("pause_s", [0.05, 0.2, 0.3])
def test_a_silence_of_a_second_causes_no_second_run(pause_s):
    # Guards against resuming all streams of a sound endpoint elsewhere at once.
    service = schema.Service(
        ids.ServiceId("s"), schema.ServiceKind.ENGINE, stall_limit_s=30.0
    )
    route = schema.Route(
        "r",
        "a.example",
        "/",
        "class",
        {"s": 1.0},
        resumable=True,
        longest_pause_s=pause_s,
    )
    limit_s = routed._stall_limit_s(route, service)
    assert _SOUND_SILENCE_S < limit_s < _CALLERS_WAIT_S
