"""Documents and tables of followers that a control process sends."""

import asyncio

import pytest

from cardamombarrow.document import machine
from cardamombarrow.document import text
from cardamombarrow.peers.control import control_pb2
from cardamombarrow.peers.control import document_codec
from cardamombarrow.peers.control import followers


@pytest.fixture
def published(kandula_text):
    """Revisions 1 to 9; the last changed one section."""
    table = followers.Followers(lambda: True)
    texts = {}

    async def publish() -> None:
        for revision in range(1, 10):
            body = f"rank = 0\nreserved_share = 0.{revision}"
            changed = text.replace(kandula_text, {"tier:race": body})
            texts[revision] = changed
            await table.publish(machine.AcceptedDocument(revision, changed))

    asyncio.run(publish())
    return table, texts


def test_a_follower_one_behind_gets_only_what_changed(published):
    table, texts = published
    message = table.update_for(8)
    assert message.text == ""
    patched = text.replace(texts[8], dict(message.changes))
    assert patched == texts[9]
    assert len(message.SerializeToString()) < len(texts[9]) / 10


@pytest.mark.parametrize("applied", [0, 1])
def test_a_follower_far_behind_gets_the_whole_text(published, applied):
    # An entry was cut off for long. Changes to a text that the control
    # process no longer has can't be computed.
    table, texts = published
    assert table.update_for(applied).text == texts[9]


def test_a_follower_that_reads_packed_texts_gets_one(published):
    # A text with many routes occupied the link of each entry for seconds.
    table, texts = published
    message = table.update_for(0, takes_packed=True)
    assert not message.text
    assert document_codec.text_from_wire(message) == texts[9]
    assert len(message.packed_text) < len(texts[9]) / 2


def test_a_control_process_without_a_document_sends_no_text():
    # Guards against entries that end at the start because they parse nothing.
    message = followers.Followers(lambda: True).document(takes_packed=True)
    assert not document_codec.has_text(message)


@pytest.mark.parametrize("applied", [9, 12])
def test_an_up_to_date_follower_gets_no_document(published, applied):
    table, _ = published
    message = table.update_for(applied)
    assert not message.text
    assert not message.changes


def _row(instance, heard_ago_s):
    return control_pb2.FollowerRow(
        instance=instance, domain="north", heard_ago_s=heard_ago_s
    )


def test_followers_of_other_control_processes_are_not_sent_back():
    # Guards against traffic between regions that grows with the square of the
    # number of control processes.
    table = followers.Followers(lambda: True)
    table.merge(control_pb2.FollowersReply(rows=[_row("entry-1", 0.5)]))
    assert "entry-1" in table.table()
    assert not table.rows().rows


def test_an_entry_without_recent_reports_is_sent_by_all():
    # Guards against an entry that is lost together with the control process
    # that it last reported to.
    table = followers.Followers(lambda: True)
    table.merge(control_pb2.FollowersReply(rows=[_row("entry-1", 60.0)]))
    assert [row.instance for row in table.rows().rows] == ["entry-1"]


def _forwarding_row(instance, domain, address, heard_ago_s=0.0):
    return control_pb2.FollowerRow(
        instance=instance,
        domain=domain,
        heard_ago_s=heard_ago_s,
        forward_address=address,
    )


def test_entries_learn_who_takes_their_requests_own_domain_first():
    # Guards against requests that go to entries which are gone or take none,
    # and against one domain that takes all of another one.
    table = followers.Followers(lambda: True)
    rows = [
        _forwarding_row(f"{domain}-{number}", domain, f"{domain}:{number}")
        for domain in ("north", "south", "west")
        for number in range(20)
    ]
    rows += [
        _forwarding_row("gone", "north", "gone", followers.FORWARDER_TTL_S),
        _forwarding_row("cut", "north", ""),
    ]
    table.merge(control_pb2.FollowersReply(rows=rows))
    near, far = table.forwarders("north")
    assert len(near) == len(far) == followers.MAX_FORWARDERS
    assert {each.partition(":")[0] for each in near} == {"north"}
    domains = [each.partition(":")[0] for each in far]
    assert domains.count("south") == domains.count("west")
    assert table.forwarders("elsewhere")[0] == []


def _report(instance, *, leaving=False):
    return control_pb2.AppliedReport(
        instance=instance, domain="north", leaving=leaving
    )


def test_an_entry_is_new_only_if_control_can_tell():
    # Guards against a started entry that takes its part of a bound for unused
    # though the process before it may have used it.
    founding = followers.Followers(lambda: True, founds=True)
    assert founding._is_new("entry-1")
    founding._apply(_report("entry-1"))
    assert not founding._is_new("entry-1")
    founding._apply(_report("entry-1", leaving=True))
    assert not founding._is_new("entry-1")
    restarted = followers.Followers(lambda: True)
    assert not restarted._is_new("entry-1")
