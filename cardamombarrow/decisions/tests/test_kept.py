"""What an instance believes of engines' caches, and tells the others."""

import pytest

from cardamombarrow.decisions import kept
from cardamombarrow.decisions import messages
from cardamombarrow.kernel import ids

_A, _B = ids.EndpointId("a"), ids.EndpointId("b")


def _job(*parts):
    return messages.Job(
        request_id=ids.RequestId("r"),
        workspace=ids.WorkspaceId("w"),
        class_id=ids.ClassId("letter"),
        service=ids.ServiceId("letters"),
        model=ids.ModelId("m"),
        rank=0,
        arrived_s=0.0,
        target_first_token_s=2.0,
        deadline_s=10.0,
        parts=tuple(messages.PromptPart(part, 100) for part in parts),
    )


def _note(parts, endpoint, *names, now_s=0.0):
    for name in names:
        parts.note(kept.part_key(name), endpoint, now_s)


def test_a_part_counts_only_with_all_parts_before_it():
    # An engine that keeps the second part and not the first reads both.
    parts = kept.KeptParts()
    _note(parts, _A, "one", "two")
    _note(parts, _B, "two", "three")
    assert parts.leading_tokens(_job("one", "two", "three"), 1.0) == {_A: 200}


def test_what_was_not_used_for_long_counts_as_dropped():
    parts = kept.KeptParts()
    _note(parts, _A, "one")
    assert parts.leading_tokens(_job("one"), kept.LIFE_S - 1.0)
    assert not parts.leading_tokens(_job("one"), kept.LIFE_S + 1.0)


def test_an_engine_that_crashed_keeps_nothing():
    # It is back under the name that it had. Requests that were sent to it for
    # its cache would all be read anew there.
    parts = kept.KeptParts()
    _note(parts, _A, "one")
    _note(parts, _B, "one")
    parts.drop(_A)
    assert parts.leading_tokens(_job("one"), 1.0) == {_B: 100}


def test_other_instances_know_what_one_has_had_read():
    one, other = kept.KeptParts(), kept.KeptParts()
    key = kept.part_key("one")
    one.note(key, _A, 5.0)
    one.tell(key, _A, 5.0)
    other.merge_announcements(one.take_announcements(5.5), 105.0)
    assert other.used_s(key, _A) == pytest.approx(104.5)


def test_a_part_is_told_once_while_it_is_used_again_and_again():
    # A hot beginning is used many times a second by every instance. Told each
    # time, it would fill the links between regions with what all know.
    one = kept.KeptParts()
    key = kept.part_key("one")
    told = 0
    for step in range(100):
        one.tell(key, _A, 0.05 * step)
        told += len(one.take_announcements(0.05 * step))
    assert told == 1
    one.tell(key, _A, kept.RETELL_S + 0.1)
    assert one.take_announcements(kept.RETELL_S + 0.1)


def test_what_was_heard_is_not_told_on():
    # It would go round between the instances for ever.
    one = kept.KeptParts()
    key = kept.part_key("one")
    one.merge_announcements([messages.CacheAnnouncement(_A, (key,), 0.0)], 1.0)
    one.tell(key, _A, 2.0)
    assert not one.take_announcements(2.0)


def test_what_is_remembered_and_told_is_bounded():
    parts = kept.KeptParts()
    for step in range(2 * kept.PARTS):
        parts.note(step, _A, float(step))
        parts.tell(step, _A, float(step))
    now_s = 2.0 * kept.PARTS
    (news,) = parts.take_announcements(now_s)
    assert len(news.parts) == kept.NEWS
    known = [key for key in range(2 * kept.PARTS) if parts.used_s(key, _A)]
    assert len(known) == kept.PARTS
    for step in range(20):
        parts.note(1, ids.EndpointId(f"engine-{step}"), now_s)
    used = [parts.used_s(1, ids.EndpointId(f"engine-{n}")) for n in range(20)]
    assert sum(used_s is not None for used_s in used) == kept.HOLDERS
