"""How a document may be written: one plug-in per format.

Operators bring their own formats. What is kept and read back is what they
wrote; a format makes the typed document from it. The format's name travels
with the text, so that every process reads a text in the same way.
"""

import abc

from cardamombarrow.document import parsing
from cardamombarrow.document import schema
from cardamombarrow.kernel import errors
from cardamombarrow.kernel import registry

__all__ = ["SECTIONS", "SLOT", "DocumentFormat", "is_sectioned", "parse"]

SLOT = "document-format"

SECTIONS = "sections"
"""The project's own format: INI sections."""


class DocumentFormat(abc.ABC):
    """A way to write a document; registered in the slot `SLOT`.

    Attributes:
        sectioned: Whether the text consists of INI sections, so that edits of
            single sections are possible and only what changed is sent.
    """

    sectioned = False

    @abc.abstractmethod
    def parse(self, text: str) -> schema.Document:
        """Reads and checks a document.

        Looks at nothing but the text, so that each process that reads it
        comes to the same verdict.

        Raises:
            errors.ConfigError: With every mistake found.
        """


@registry.plugin(SLOT, SECTIONS)
class SectionsFormat(DocumentFormat):
    """INI sections; see `parsing`."""

    sectioned = True

    def parse(self, text: str) -> schema.Document:
        """Reads and checks a document; see `parsing.parse`."""
        return parsing.parse(text)


def is_sectioned(name: str) -> bool:
    """Tells whether texts of a format consist of INI sections."""
    return registry.lookup(SLOT, name).sectioned


def parse(name: str, text: str) -> schema.Document:
    """Reads and checks a document of a named format.

    Raises:
        errors.ConfigError: With every mistake found; the format may be
            unknown here.
    """
    try:
        cls = registry.lookup(SLOT, name)
    except registry.UnknownPluginError as error:
        raise errors.ConfigError([str(error)]) from None
    return cls().parse(text)
