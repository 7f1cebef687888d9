"""Directory of cached prompt parts and its announcements."""

import pytest

from cardamombarrow.decisions import messages
from cardamombarrow.decisions.choosing import cache_directory
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


def _record(directory, endpoint, *names, now_s=0.0):
    for name in names:
        directory.record(cache_directory.part_key(name), endpoint, now_s)


def test_part_counts_only_with_all_parts_before_it():
    # An engine that holds the second part but not the first prefills both.
    directory = cache_directory.KeptParts()
    _record(directory, _A, "one", "two")
    _record(directory, _B, "two", "three")
    assert directory.cached_prefix_tokens(_job("one", "two", "three"), 1.0) == {
        _A: 200
    }


def test_unused_part_counts_as_evicted():
    directory = cache_directory.KeptParts()
    _record(directory, _A, "one")
    assert directory.cached_prefix_tokens(
        _job("one"), cache_directory.ENTRY_LIFETIME_S - 1.0
    )
    assert not directory.cached_prefix_tokens(
        _job("one"), cache_directory.ENTRY_LIFETIME_S + 1.0
    )


def test_crashed_engine_holds_no_parts():
    # It restarts under the same id with an empty cache. Requests sent there for
    # their cached prefix would all need a prefill.
    directory = cache_directory.KeptParts()
    _record(directory, _A, "one")
    _record(directory, _B, "one")
    directory.remove_engine(_A)
    assert directory.cached_prefix_tokens(_job("one"), 1.0) == {_B: 100}


def test_parts_are_announced_to_other_instances():
    one, other = (
        cache_directory.KeptParts(),
        cache_directory.KeptParts(),
    )
    key = cache_directory.part_key("one")
    one.record(key, _A, 5.0)
    one.announce(key, _A, 5.0)
    other.merge_announcements(one.take_announcements(5.5), 105.0)
    assert other.last_used_s(key, _A) == pytest.approx(104.5)


def test_part_in_continuous_use_is_announced_once():
    # Every instance uses a popular prefix many times a second. Announcing each
    # use would fill the links between regions with redundant messages.
    one = cache_directory.KeptParts()
    key = cache_directory.part_key("one")
    announced = 0
    for step in range(100):
        one.announce(key, _A, 0.05 * step)
        announced += len(one.take_announcements(0.05 * step))
    assert announced == 1
    one.announce(key, _A, cache_directory.REANNOUNCE_S + 0.1)
    assert one.take_announcements(cache_directory.REANNOUNCE_S + 0.1)


def test_received_part_is_not_forwarded():
    # It would circulate between the instances forever.
    one = cache_directory.KeptParts()
    key = cache_directory.part_key("one")
    one.merge_announcements([messages.CacheAnnouncement(_A, (key,), 0.0)], 1.0)
    one.announce(key, _A, 2.0)
    assert not one.take_announcements(2.0)


def test_stored_and_announced_parts_are_bounded():
    directory = cache_directory.KeptParts()
    for step in range(2 * cache_directory.MAX_PARTS):
        directory.record(step, _A, float(step))
        directory.announce(step, _A, float(step))
    now_s = 2.0 * cache_directory.MAX_PARTS
    (news,) = directory.take_announcements(now_s)
    assert len(news.parts) == cache_directory.MAX_ANNOUNCED_PARTS
    known = [
        key
        for key in range(2 * cache_directory.MAX_PARTS)
        if directory.last_used_s(key, _A)
    ]
    assert len(known) == cache_directory.MAX_PARTS
    for step in range(20):
        directory.record(1, ids.EndpointId(f"engine-{step}"), now_s)
    used = [
        directory.last_used_s(1, ids.EndpointId(f"engine-{n}"))
        for n in range(20)
    ]
    assert (
        sum(last_used_s is not None for last_used_s in used)
        == cache_directory.MAX_HOLDERS
    )
