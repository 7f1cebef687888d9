"""Formats of a document's text: one plug-in each.

A document is stored and returned as the text that the operator sent; its format
parses the text into the typed document. The format's name is stored and sent
with the text, so that every process parses it in the same way.
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
    """A format of a document's text; registered in the slot `SLOT`.

    Attributes:
        sectioned: Whether the text consists of INI sections, so that single
            sections can be edited and only changed ones are sent.
    """

    sectioned = False

    @abc.abstractmethod
    def parse(self, text: str) -> schema.Document:
        """Parses and validates a document.

        The result depends only on the text, so that all processes agree on
        whether it is valid.

        Raises:
            errors.ConfigError: With every mistake found.
        """


@registry.plugin(SLOT, SECTIONS)
class SectionsFormat(DocumentFormat):
    """INI sections; see `parsing`."""

    sectioned = True

    def parse(self, text: str) -> schema.Document:
        """Parses and validates a document; see `parsing.parse`."""
        return parsing.parse(text)


def is_sectioned(name: str) -> bool:
    """Returns whether texts of a format consist of INI sections."""
    return registry.lookup(SLOT, name).sectioned


def parse(name: str, text: str) -> schema.Document:
    """Parses and validates a document of a named format.

    Raises:
        errors.ConfigError: With every mistake found, or because the format
            is unknown.
    """
    try:
        cls = registry.lookup(SLOT, name)
    except registry.UnknownPluginError as error:
        raise errors.ConfigError([str(error)]) from None
    return cls().parse(text)
