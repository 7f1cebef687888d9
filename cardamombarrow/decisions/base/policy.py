"""The base class of all policies."""

import abc

from cardamombarrow.decisions import context as context_module
from cardamombarrow.document import schema

__all__ = ["Policy"]


class Policy(abc.ABC):
    """Base of all policies."""

    def __init__(self, context: context_module.PolicyContext):
        self.context = context
        self.document = context.document

    def configure(self, document: schema.Document) -> None:
        """Applies a newer document; the policy keeps its state."""
        self.document = document
