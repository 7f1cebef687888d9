"""When less urgent requests were last placed."""

import pytest

from cardamombarrow.decisions import messages
from cardamombarrow.decisions import start_times
from cardamombarrow.document import schema
from cardamombarrow.kernel import ids

_SERVICE = ids.ServiceId("letters")


def _class(name, rank):
    return schema.RequestClass(
        class_id=ids.ClassId(name),
        tier=ids.TierId(f"rank-{rank}"),
        target_first_token_s=1.0,
        target_total_s=10.0,
    )


@pytest.fixture
def document():
    classes = [_class("urgent", 0), _class("slow", 2)]
    tiers = [schema.Tier(each.tier, int(each.tier[-1])) for each in classes]
    return schema.Document(
        tiers={each.tier: each for each in tiers},
        classes={each.class_id: each for each in classes},
        workspaces={},
        services={},
        models={},
        owners={},
        policies=schema.Policies(),
    )


def _job(class_name):
    return messages.Job(
        request_id=ids.RequestId("r"),
        workspace=ids.WorkspaceId("w"),
        class_id=ids.ClassId(class_name),
        service=_SERVICE,
        model=ids.ModelId("m"),
        rank=0,
        arrived_s=0.0,
        target_first_token_s=1.0,
        deadline_s=10.0,
    )


def test_only_less_urgent_placements_of_the_service_count(document):
    # An operator must see whether a refused request was passed over.
    times = start_times.StartTimes()
    urgent, slow = ids.ClassId("urgent"), ids.ClassId("slow")
    times.record(document, _job("slow"), 3.0)
    times.record(document, _job("urgent"), 4.0)
    assert times.less_urgent_age_s(document, _SERVICE, urgent, 5.0) == 2.0
    assert times.less_urgent_age_s(document, _SERVICE, slow, 5.0) is None
    other = ids.ServiceId("other")
    assert times.less_urgent_age_s(document, other, urgent, 5.0) is None


def test_classes_of_other_editions_are_left_out(document):
    times = start_times.StartTimes()
    times.record(document, _job("unknown"), 3.0)
    unknown = ids.ClassId("unknown")
    assert times.less_urgent_age_s(document, _SERVICE, unknown, 5.0) is None
