"""Numbers of requests that the fields of messages do not hold."""

import math

import pytest

from cardamombarrow.decisions import messages
from cardamombarrow.kernel import ids
from cardamombarrow.peers.placing import codec

_MOST = 2**32 - 1


def _job(**fields):
    return messages.Job(
        **{
            "request_id": ids.RequestId("r"),
            "workspace": ids.WorkspaceId("w"),
            "class_id": ids.ClassId("c"),
            "service": ids.ServiceId("s"),
            "model": ids.ModelId(""),
            "rank": 1,
            "arrived_s": 0.0,
            "target_first_token_s": 1.0,
            "deadline_s": 2.0,
            **fields,
        }
    )


@pytest.mark.parametrize("number", [2**32 - 1, 2**32, 10**12 - 1, 9**4_000])
def test_a_count_that_a_caller_states_is_cut_to_its_field(number):
    # Guards against requests that can't be placed by another instance.
    job = _job(
        prompt_tokens=number,
        max_tokens=number,
        parts=(messages.PromptPart("a", number),),
    )
    wire = codec.job_to_wire(job, 1.0)
    assert (wire.prompt_tokens, wire.max_tokens) == (_MOST, _MOST)
    assert list(wire.part_tokens) == [_MOST]


@pytest.mark.parametrize("time_s", [1e7, 1e300, math.inf, -math.inf])
def test_a_time_out_of_range_is_cut_to_its_field(time_s):
    job = _job(deadline_s=time_s, target_first_token_s=abs(time_s))
    back = codec.job_from_wire(codec.job_to_wire(job, 0.0), 0.0)
    assert abs(back.deadline_s) > 20 * 86_400
    assert (back.deadline_s > 0.0) is (time_s > 0.0)
