"""Parsing a document: valid documents and the messages of mistakes."""

import pytest

from cardamombarrow.document import parsing
from cardamombarrow.document import schema
from cardamombarrow.document import text
from cardamombarrow.kernel import errors
from cardamombarrow.kernel import ids
from cardamombarrow.kernel.tests import odd_values


def _mistakes(document: str) -> list[str]:
    with pytest.raises(errors.ConfigError) as caught:
        parsing.parse(document)
    return caught.value.mistakes


def _changed(document: str, section: str, body: str) -> str:
    return text.replace(document, {section: body})


def test_example_is_parsed_into_typed_sections(kandula_text):
    document = parsing.parse(kandula_text)
    question = document.classes[ids.ClassId("marshal-question")]
    assert question.target_first_token_s == 0.92
    assert document.tier_of(question.class_id).rank == 0
    service = document.services[ids.ServiceId("trail-desk")]
    assert service.kind is schema.ServiceKind.PLAIN
    assert "POST /sign-off" in service.unrepeatable


def test_every_mistake_is_reported_with_its_line(kandula_text, snapshot):
    broken = _changed(
        kandula_text,
        "class:marshal-question",
        "tier = nowhere\ntarget_first_token_s = soon\ncolour = red\n",
    )
    assert _mistakes(broken) == snapshot


@pytest.mark.parametrize(
    ("section", "body", "reason"),
    [
        ("tier:desk", "rank = 0", "rank 0 belongs to"),
        ("tier:digest", "rank = 2\nreserved_share = 0.9", "not within"),
        ("model:trail-7b", "service = trail-desk", "runs no models"),
        ("model:trail-7b", "service = gone", "no [service:gone]"),
        ("policies", "choice = astrology", "known: "),
        ("owner:operations", "", "no owner has `sections = *`"),
        (
            "service:extra",
            "kind = engine\nendpoints.nuwara-a = 10.10.1.11:8000",
            "already",
        ),
        ("service:extra", "kind = engine\nendpoints.x = here", "`host:port`"),
    ],
)
def test_rule_is_enforced(kandula_text, section, body, reason):
    mistakes = _mistakes(_changed(kandula_text, section, body))
    assert any(reason in mistake for mistake in mistakes)


def test_two_workspaces_never_share_a_key(kandula_text):
    # A key was copied from one workspace's section to another's. Callers of one
    # customer would be served, and charged, as those of the other.
    digest = next(iter(parsing.parse(kandula_text).workspaces.values()))
    body = f"key_sha256 = {digest.key_sha256[0]}\nclasses = trail-digest"
    broken = _changed(kandula_text, "workspace:copy", body)
    assert any("belongs to" in mistake for mistake in _mistakes(broken))


def test_a_repeated_section_is_rejected(kandula_text):
    twice = kandula_text + "[tier:race]\nrank = 5\n"
    assert any("already defined" in m for m in _mistakes(twice))


def test_joining_is_the_inverse_of_splitting(kandula_text):
    assert text.join(text.split(kandula_text)) == kandula_text


def test_replacing_a_section_leaves_the_others_unchanged(kandula_text):
    changed = _changed(kandula_text, "tier:race", "rank = 0")
    before = {s.name: s.lines for s in text.split(kandula_text)}
    after = {s.name: s.lines for s in text.split(changed)}
    different = {name for name in before if before[name] != after.get(name)}
    assert different == {"tier:race"}


def test_a_single_route_is_one_route(kandula_text):
    # Bug: a list without a comma was split at spaces, so a service with a
    # single unrepeatable route could not be defined.
    body = "kind = plain\nunrepeatable = POST /charge"
    document = parsing.parse(_changed(kandula_text, "service:till", body))
    service = document.services[ids.ServiceId("till")]
    assert service.unrepeatable == ("POST /charge",)


@pytest.mark.parametrize(
    "address", [each for each in odd_values.ADDRESSES if each], ids=ascii
)
def test_an_endpoint_at_no_address_is_rejected(kandula_text, address):
    # Guards against requests that end with an error of the socket.
    body = f"kind = engine\nendpoints.x = 10.0.0.8:80, {address}"
    broken = _changed(kandula_text, "service:extra", body)
    assert _mistakes(broken)
