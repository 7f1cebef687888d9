"""The document as a state machine on the replicated log.

An edit has an edit id, the revision it was made from and the sections it
replaces. Of two edits of the same section from one revision, the first to be
committed is accepted; the other gets a conflict with the current text. An edit
that is resent with its id gets the first answer, so that a client that lost the
answer can resend the edit without applying it twice.

Operators that maintain the whole document elsewhere send it as an edition
instead, with their own number. The edition with the highest number is in force;
one with a lower or the same number is acknowledged and changes nothing, so that
editions may be resent in any order.
"""

import collections
import dataclasses
import enum
import functools
import hashlib
import json

from cardamombarrow.document import formats
from cardamombarrow.document import packing
from cardamombarrow.document import parsing
from cardamombarrow.document import schema
from cardamombarrow.document import text as text_module
from cardamombarrow.kernel import errors
from cardamombarrow.kernel import ids

__all__ = [
    "AcceptedDocument",
    "DocumentState",
    "Edit",
    "EditAnswer",
    "EditStatus",
    "Edition",
    "EditionAnswer",
    "EditionStatus",
    "HistoryItem",
]

MAX_ANSWERS = 10_000
"""Edit ids whose answer is stored: nearly 5 days at 2,100 edits a day."""

MAX_BASE_AGE = 10_000
"""Revisions whose changed sections are stored. An edit made from an older one
always conflicts."""

MAX_HISTORY = 1_000
"""Accepted edits that `config history` can show."""


class EditStatus(enum.Enum):
    """The outcome of an edit."""

    ACCEPTED = "accepted"
    CONFLICT = "conflict"
    INVALID = "invalid"
    FORBIDDEN = "forbidden"
    ID_REUSED = "id_reused"


@dataclasses.dataclass(frozen=True)
class Edit:
    """A proposed change of the document.

    Attributes:
        edit_id: Chosen by the operator's client, the same when resent.
        base_revision: The revision that the edit was made from.
        replacements: New body by section name; empty removes the section.
        owner: The authenticated team.
        author: The person that made the edit, as given by the client.
        at_unix_s: Wall clock of the proposer, for history only.
    """

    edit_id: ids.EditId
    base_revision: ids.Revision
    replacements: dict[str, str]
    owner: ids.OwnerId
    author: str
    at_unix_s: float

    def digest(self) -> str:
        """Returns a digest of the edit's content, without author and time."""
        body = json.dumps(
            [self.base_revision, self.replacements, self.owner], sort_keys=True
        )
        return hashlib.sha256(body.encode()).hexdigest()


@dataclasses.dataclass(frozen=True)
class EditAnswer:
    """The answer to an edit.

    Attributes:
        revision: The revision that the edit created, or the current one.
        mistakes: Why the edit is invalid or forbidden.
        conflicts: Current text of each section that changed since the base.
    """

    status: EditStatus
    revision: ids.Revision
    mistakes: tuple[str, ...] = ()
    conflicts: dict[str, str] = dataclasses.field(default_factory=dict)

    def to_json(self) -> dict:
        """Returns the answer as plain JSON values."""
        return {**dataclasses.asdict(self), "status": self.status.value}

    @classmethod
    def from_json(cls, raw: dict) -> "EditAnswer":
        """Reads what `to_json` wrote."""
        return cls(
            status=EditStatus(raw["status"]),
            revision=ids.Revision(raw["revision"]),
            mistakes=tuple(raw["mistakes"]),
            conflicts=dict(raw["conflicts"]),
        )


@dataclasses.dataclass(frozen=True)
class HistoryItem:
    """One accepted edit, for `config history`."""

    revision: ids.Revision
    edit_id: ids.EditId
    owner: ids.OwnerId
    author: str
    at_unix_s: float
    sections: tuple[str, ...]


class EditionStatus(enum.Enum):
    """The outcome of an edition."""

    ACCEPTED = "accepted"
    NOT_NEWER = "kept"
    INVALID = "invalid"


@dataclasses.dataclass(frozen=True)
class Edition:
    """A whole document with the operator's number.

    Attributes:
        number: The edition with the highest number is in force.
        text: The text as the operator wrote it; returned unchanged.
        format: The plug-in that parses the text; see `formats`.
    """

    number: int
    text: str
    format: str


@dataclasses.dataclass(frozen=True)
class EditionAnswer:
    """The answer to an edition.

    Attributes:
        status: `NOT_NEWER` if the same or a higher number was accepted before.
        revision: The revision in force afterwards.
        number: The number in force afterwards; None if there is none.
        mistakes: Why the edition is invalid.
    """

    status: EditionStatus
    revision: ids.Revision
    number: int | None
    mistakes: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True)
class AcceptedDocument:
    """An accepted document.

    Immutable and replaced as a whole, so that readers never see the text of
    one revision with the number of another.

    Attributes:
        number: The operator's number, any integer of 64 bits; None if the
            document was made by edits or there is none yet.
        format: The plug-in that parses the text; see `formats`.
    """

    revision: ids.Revision
    text: str
    format: str = formats.SECTIONS
    number: int | None = None

    def is_older_than(self, edition_number: int) -> bool:
        """Returns whether an edition with this number replaces the document."""
        return self.number is None or self.number < edition_number

    @functools.cached_property
    def packed_text(self) -> bytes:
        """The text, packed once for all receivers; see `packing`."""
        return packing.pack(self.text)


class DocumentState:
    """The accepted document and the state that validates changes to it.

    Attributes:
        accepted: The document in force.
    """

    def __init__(self, text: str, revision: int = 1):
        self.accepted = AcceptedDocument(ids.Revision(revision), text)
        self.history: collections.deque[HistoryItem] = collections.deque(
            maxlen=MAX_HISTORY
        )
        self._changed_at: dict[str, int] = {}
        self._answers: dict[ids.EditId, tuple[str, EditAnswer]] = {}

    @property
    def text(self) -> str:
        """The accepted text."""
        return self.accepted.text

    @property
    def revision(self) -> ids.Revision:
        """The accepted revision; 0 before the first document."""
        return self.accepted.revision

    def apply_edition(self, edition: Edition) -> EditionAnswer:
        """Accepts an edition if its number is above the current one."""
        accepted = self.accepted
        if not accepted.is_older_than(edition.number):
            status = EditionStatus.NOT_NEWER
            return EditionAnswer(status, accepted.revision, accepted.number)
        try:
            formats.parse(edition.format, edition.text)
        except errors.ConfigError as error:
            return EditionAnswer(
                EditionStatus.INVALID,
                accepted.revision,
                accepted.number,
                tuple(error.mistakes),
            )
        revision = ids.Revision(accepted.revision + 1)
        self.accepted = AcceptedDocument(
            revision, edition.text, edition.format, edition.number
        )
        return EditionAnswer(EditionStatus.ACCEPTED, revision, edition.number)

    def apply(self, edit: Edit) -> EditAnswer:
        """Validates an edit and, if accepted, applies it to the document."""
        digest = edit.digest()
        stored = self._answers.get(edit.edit_id)
        if stored is not None:
            if stored[0] == digest:
                return stored[1]
            return EditAnswer(EditStatus.ID_REUSED, self.revision)
        answer = self._validate_and_apply(edit)
        self._answers[edit.edit_id] = (digest, answer)
        while len(self._answers) > MAX_ANSWERS:
            del self._answers[next(iter(self._answers))]
        return answer

    def _validate_and_apply(self, edit: Edit) -> EditAnswer:
        malformed = self._malformed(edit)
        if malformed:
            return EditAnswer(EditStatus.INVALID, self.revision, malformed)
        conflicts = self._conflicts(edit)
        if conflicts:
            return EditAnswer(
                EditStatus.CONFLICT, self.revision, conflicts=conflicts
            )
        current = parsing.parse(self.text)
        forbidden = _forbidden(edit, current)
        if forbidden:
            return EditAnswer(EditStatus.FORBIDDEN, self.revision, forbidden)
        new_text = text_module.replace(self.text, edit.replacements)
        try:
            parsing.parse(new_text)
        except errors.ConfigError as error:
            return EditAnswer(
                EditStatus.INVALID, self.revision, tuple(error.mistakes)
            )
        self._accept(edit, new_text)
        return EditAnswer(EditStatus.ACCEPTED, self.revision)

    def _malformed(self, edit: Edit) -> tuple[str, ...]:
        if not formats.is_sectioned(self.accepted.format):
            return (f"the document has the format {self.accepted.format}",)
        if not edit.replacements:
            return ("the edit replaces no section",)
        if not 1 <= edit.base_revision <= self.revision:
            # An edit from a future revision would never conflict.
            return (
                f"base revision {edit.base_revision} is not one of 1 to "
                f"{self.revision}",
            )
        return tuple(
            f"[{name}]: the name or the body contains a section header"
            for name, body in edit.replacements.items()
            if not _is_one_section(name, body)
        )

    def _conflicts(self, edit: Edit) -> dict[str, str]:
        bodies = {
            section.name: "\n".join(section.lines[1:])
            for section in text_module.split(self.text)
        }
        too_old = edit.base_revision < self.revision - MAX_BASE_AGE
        return {
            name: bodies.get(name, "")
            for name in edit.replacements
            if too_old or self._changed_at.get(name, 0) > edit.base_revision
        }

    def _accept(self, edit: Edit, new_text: str) -> None:
        self.accepted = dataclasses.replace(
            self.accepted,
            revision=ids.Revision(self.revision + 1),
            text=new_text,
        )
        for name in edit.replacements:
            self._changed_at.pop(name, None)
            self._changed_at[name] = self.revision
        self._drop_old_changes()
        self.history.append(
            HistoryItem(
                revision=self.revision,
                edit_id=edit.edit_id,
                owner=edit.owner,
                author=edit.author,
                at_unix_s=edit.at_unix_s,
                sections=tuple(edit.replacements),
            )
        )

    def _drop_old_changes(self) -> None:
        oldest = self.revision - MAX_BASE_AGE
        for name, revision in list(self._changed_at.items()):
            if revision >= oldest:
                return
            del self._changed_at[name]

    def to_json(self) -> dict:
        """Returns the whole state as plain JSON values, for a snapshot."""
        return {
            "text": self.text,
            "revision": self.revision,
            "format": self.accepted.format,
            # Earlier versions read the number only, and 0 as none.
            "number": self.accepted.number or 0,
            "is_numbered": self.accepted.number is not None,
            "history": [dataclasses.asdict(item) for item in self.history],
            "changed_at": self._changed_at,
            "answers": {
                edit_id: [digest, answer.to_json()]
                for edit_id, (digest, answer) in self._answers.items()
            },
        }

    @classmethod
    def from_json(cls, raw: dict) -> "DocumentState":
        """Reads what `to_json` wrote."""
        state = cls(raw["text"])
        # A snapshot of an earlier version has none of these.
        number = raw.get("number", 0)
        is_numbered = raw.get("is_numbered", number != 0)
        state.accepted = AcceptedDocument(
            ids.Revision(raw["revision"]),
            raw["text"],
            raw.get("format", formats.SECTIONS),
            number if is_numbered else None,
        )
        for item in raw["history"]:
            sections = tuple(item["sections"])
            state.history.append(HistoryItem(**{**item, "sections": sections}))
        state._changed_at = dict(raw["changed_at"])
        state._answers = {
            ids.EditId(edit_id): (digest, EditAnswer.from_json(answer))
            for edit_id, (digest, answer) in raw["answers"].items()
        }
        return state


def _is_one_section(name: str, body: str) -> bool:
    """Returns whether a replacement is exactly one section.

    A header inside a body would start another section: an owner that may edit
    only tiers could add an owner section with all rights.
    """
    sections = text_module.split(f"[{name}]\n{body}")
    return len(sections) == 1 and sections[0].name == name


def _forbidden(edit: Edit, current: schema.Document) -> tuple[str, ...]:
    owner = current.owners.get(edit.owner)
    if owner is None:
        return (f"no [owner:{edit.owner}]",)
    if "*" in owner.sections:
        return ()
    return tuple(
        f"owner {edit.owner} may not edit [{name}]"
        for name in edit.replacements
        if name.partition(":")[0] not in owner.sections
    )
