"""Concurrent and resent edits, compared with a simple model."""

import dataclasses
import json

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st
import pytest

from cardamombarrow.document import machine
from cardamombarrow.document import text as text_module

_BODIES = {
    "tier:race": "rank = 0\nreserved_share = 0.{:02d}\n",
    "tier:desk": "rank = 1\nreserved_share = 0.{:02d}\n",
    "tier:digest": "# words {:02d}\nrank = 2\nreserved_share = 0.1\n",
    "owner:night": "token_sha256 = {:064d}\nsections = tier\n",
}
_names = st.sampled_from(sorted(_BODIES))
_numbers = st.integers(1, 30)
_status = machine.EditStatus


def _lines(body):
    lines = [line.rstrip() for line in body.splitlines()]
    while lines and not lines[-1]:
        lines.pop()
    return lines


def _section(text, name):
    """Lines of a section's body, or None."""
    for section in text_module.split(text):
        if section.name == name:
            return _lines("\n".join(section.lines[1:]))
    return None


class DocumentMachine(stateful.RuleBasedStateMachine):
    """The model: each section's lines and the revision that set them.

    An edit is made from the current or an earlier revision and may be sent any
    number of times.
    """

    text = ""

    def __init__(self):
        super().__init__()
        self.state = machine.DocumentState(self.text)
        self.sections = {name: _section(self.text, name) for name in _BODIES}
        self.set_at = dict.fromkeys(_BODIES, 1)
        self.revision = 1
        self.answers = {}
        self.sent = []

    def _send(self, edit):
        answer = self.state.apply(edit)
        if edit.edit_id in self.answers:
            assert answer == self.answers[edit.edit_id]
            return
        self.answers[edit.edit_id] = answer
        self.sent.append(edit)
        conflicting = {
            name
            for name in edit.replacements
            if self.set_at[name] > edit.base_revision
        }
        if conflicting:
            assert answer.status is _status.CONFLICT
            assert set(answer.conflicts) == conflicting
            for name, body in answer.conflicts.items():
                assert _lines(body) == (self.sections[name] or [])
            return
        allowed = edit.owner == "operations" or not any(
            name.startswith("owner:") for name in edit.replacements
        )
        if not allowed:
            assert answer.status is _status.FORBIDDEN
            return
        assert answer.status is _status.ACCEPTED, answer
        self.revision += 1
        assert answer.revision == self.revision
        for name, body in edit.replacements.items():
            self.sections[name] = _lines(body) or None
            self.set_at[name] = self.revision

    @stateful.rule(
        numbers=st.dictionaries(_names, _numbers, min_size=1, max_size=3),
        owner=st.sampled_from(["operations", "sales"]),
        behind=st.integers(0, 3),
    )
    def edit(self, numbers, owner, behind):
        self._send(
            machine.Edit(
                edit_id=f"edit-{len(self.sent)}",
                base_revision=max(1, self.revision - behind),
                replacements={
                    name: _BODIES[name].format(number)
                    for name, number in numbers.items()
                },
                owner=owner,
                author="",
                at_unix_s=0.0,
            )
        )

    @stateful.rule(behind=st.integers(0, 1))
    def remove(self, behind):
        self._send(
            machine.Edit(
                edit_id=f"edit-{len(self.sent)}",
                base_revision=max(1, self.revision - behind),
                replacements={"owner:night": ""},
                owner="operations",
                author="",
                at_unix_s=0.0,
            )
        )

    @stateful.precondition(lambda self: self.sent)
    @stateful.rule(position=st.integers(0, 1_000))
    def resend(self, position):
        edit = self.sent[position % len(self.sent)]
        self._send(dataclasses.replace(edit, at_unix_s=9.0))

    @stateful.precondition(lambda self: self.sent)
    @stateful.rule(position=st.integers(0, 1_000))
    def reuse_id(self, position):
        edit = self.sent[position % len(self.sent)]
        other = {**edit.replacements, "tier:race": "rank = 0\n# other\n"}
        answer = self.state.apply(dataclasses.replace(edit, replacements=other))
        assert answer.status is _status.ID_REUSED

    @stateful.rule()
    def restore(self):
        raw = json.loads(json.dumps(self.state.to_json()))
        self.state = machine.DocumentState.from_json(raw)
        assert json.loads(json.dumps(self.state.to_json())) == raw

    @stateful.invariant()
    def text_contains_every_accepted_edit(self):
        assert self.state.revision == self.revision
        for name, lines in self.sections.items():
            assert _section(self.state.text, name) == lines


@pytest.fixture(autouse=True)
def _text(kandula_text):
    DocumentMachine.text = kandula_text


@pytest.mark.parametrize("steps, examples", [(30, 60), (400, 3)])
def test_edits_match_the_model(steps, examples):
    stateful.run_state_machine_as_test(
        DocumentMachine,
        settings=hypothesis.settings(
            max_examples=examples, stateful_step_count=steps, deadline=None
        ),
    )


def _edit(edit_id="e", base=1, owner="operations", **replacements):
    return machine.Edit(
        edit_id=edit_id,
        base_revision=base,
        replacements={
            name.replace("_", ":", 1): body
            for name, body in replacements.items()
        },
        owner=owner,
        author="",
        at_unix_s=0.0,
    )


def test_a_header_in_a_body_grants_no_rights(kandula_text):
    # An owner that may edit only tiers sends a tier whose body contains an
    # owner section. If accepted, it would grant all rights.
    state = machine.DocumentState(kandula_text)
    body = f"rank = 0\n[owner:me]\ntoken_sha256 = {'0' * 64}\nsections = *\n"
    answer = state.apply(_edit(owner="sales", tier_race=body))
    assert answer.status is _status.INVALID
    assert state.text == kandula_text


@pytest.mark.parametrize("base", [0, -1, 2, 99])
def test_an_edit_from_an_unknown_revision_is_rejected(kandula_text, base):
    # An edit from a revision that is too high would never conflict and could
    # replace changes that its author has not seen.
    state = machine.DocumentState(kandula_text)
    answer = state.apply(_edit(base=base, tier_race="rank = 0\n"))
    assert answer.status is _status.INVALID


def test_stored_changes_are_bounded_and_old_edits_conflict(
    kandula_text, monkeypatch
):
    # Changes older than the limit are dropped. An edit from a revision before
    # them must conflict, as it can't be checked any more.
    monkeypatch.setattr(machine, "MAX_BASE_AGE", 3)
    state = machine.DocumentState(kandula_text)
    for number in range(6):
        name = "tier:race" if number == 0 else "tier:desk"
        body = _BODIES[name].format(number + 1)
        state.apply(
            _edit(f"e{number}", number + 1, **{name.replace(":", "_"): body})
        )
    assert state.to_json()["changed_at"] == {"tier:desk": 7}
    old = _edit("old", 1, tier_race="rank = 0\n# old\n")
    assert state.apply(old).status is _status.CONFLICT
