"""Edits the document, for tests and benchmarks."""

from cardamombarrow.admin import client

__all__ = ["Editor"]


class Editor:
    """Edits the document and reads where it is in force."""

    def __init__(self, urls: list[str], token: str = "operations-token"):
        self._admin = client.AdminClient(urls, token)

    def edit_share(self, share: float) -> int:
        """Sets the race tier's reserved share; returns the new revision.

        Raises:
            RuntimeError: The edit was not accepted.
        """
        revision = self._admin.get("/v1/document")["revision"]
        body = f"rank = 0\nreserved_share = {share:.4f}\n"
        answer = self._admin.edit(
            {
                "edit_id": f"share-{share}-from-{revision}",
                "base_revision": revision,
                "replacements": {"tier:race": body},
                "author": "",
            }
        )
        if answer["status"] != "accepted":
            raise RuntimeError(f"not accepted: {answer}")
        return answer["revision"]

    def lagging_instances(self, revision: int) -> set[str]:
        """Returns the instances that have not applied a revision."""
        instances = self._admin.get("/v1/in-force")["instances"]
        return {
            name
            for name, state in instances.items()
            if state["applied_revision"] < revision
        }
