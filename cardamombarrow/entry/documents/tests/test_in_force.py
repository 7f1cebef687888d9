"""Documents that a part of the process, or the whole, can't apply."""

import threading

import pytest

from cardamombarrow.document import packing
from cardamombarrow.entry.documents import in_force
from cardamombarrow.kernel import errors
from cardamombarrow.kernel import ids
from cardamombarrow.peers.control import control_pb2


class _Part:
    """Applies all revisions but some."""

    def __init__(self, *failing):
        self.failing = set(failing)
        self.revision = None

    def __call__(self, applied):
        self.revision = f"half of {applied.revision}"
        if applied.revision in self.failing:
            raise KeyError("a part fails")
        self.revision = applied.revision


@pytest.fixture
def documents(kandula_text):
    made = in_force.DocumentInForce()
    made.offer(ids.Revision(1), kandula_text)
    return made


@pytest.mark.parametrize("failing", [0, 1, 2])
def test_a_part_that_fails_leaves_no_part_with_another_document(
    documents, kandula_text, failing
):
    # Guards against parts of one process that hold different documents.
    parts = [_Part(*([2] if n == failing else [])) for n in range(3)]
    in_force_revisions = []
    documents.add_listener(lambda a: in_force_revisions.append(a.revision))
    for part in parts:
        documents.add_part(part)
    with pytest.raises(errors.ConfigError, match="can't be applied"):
        documents.offer(ids.Revision(2), kandula_text)
    assert [part.revision for part in parts] == [1, 1, 1]
    assert documents.revision == documents.current().revision == 1
    assert not in_force_revisions
    assert documents.offer(ids.Revision(3), kandula_text)
    assert [part.revision for part in parts] == [3, 3, 3]
    assert in_force_revisions == [3]


def test_a_revision_that_failed_is_taken_when_it_is_offered_again(
    documents, kandula_text
):
    # Guards against a revision that is never in force since a part failed once.
    part = _Part(2)
    documents.add_part(part)
    with pytest.raises(errors.ConfigError):
        documents.offer(ids.Revision(2), kandula_text)
    part.failing.clear()
    assert documents.offer(ids.Revision(2), kandula_text)
    assert part.revision == documents.revision == 2


def test_a_part_is_not_in_force_before_all_have_applied_it(
    documents, kandula_text
):
    # Guards against requests that are routed by a document that the broker
    # does not know yet.
    seen = []
    documents.add_part(lambda applied: seen.append(documents.revision))
    documents.offer(ids.Revision(2), kandula_text)
    assert seen == [1, 1]
    assert documents.revision == 2


def test_a_start_waits_for_a_document_that_a_part_can_apply(
    documents, kandula_text
):
    # Guards against an entry that ends at each start until an operator acts.
    part = _Part(1)
    starting = threading.Thread(target=documents.add_part, args=(part,))
    starting.start()
    starting.join(0.2)
    assert starting.is_alive()
    documents.offer(ids.Revision(2), kandula_text)
    starting.join(5.0)
    assert part.revision == 2


def test_a_first_document_that_can_not_be_read_is_not_the_last(kandula_text):
    # Guards against an entry that ends at the first document that it can't
    # parse, though a later one may follow.
    texts = iter(("[no", kandula_text))

    def query():
        text = next(texts, kandula_text)
        message = control_pb2.DocumentMessage(
            revision=1, packed_text=packing.pack(text), has_quorum=True
        )
        return [_Future(message)]

    documents = in_force.DocumentInForce()
    assert in_force.fetch_first(documents, query, 5.0)
    assert documents.revision == 1


class _Future:
    def __init__(self, message):
        self._message = message

    def result(self):
        return self._message
