"""Cost of a document of the target size: size, parsing, memory.

``python -m benchmarks.document_cost`` prints a row per number of workspaces;
the target size is 3,800 workspaces, 640 endpoints, 21 models, 4 tiers.
"""

import dataclasses
import hashlib
import sys
import time
import tracemalloc

from cardamombarrow.document import parsing
from cardamombarrow.document import text as text_module
from cardamombarrow.peers.control import control_pb2

__all__ = ["document_of", "main"]

SIZES = (475, 950, 1_900, 3_800)
TARGET_WORKSPACES = 3_800
ENDPOINTS_AT_TARGET = 640
MODELS = 21
TIERS = 4
DOMAINS = 11
EDITS_A_DAY = 2_100
DAY_S = 86_400.0
ROUNDS = 5


@dataclasses.dataclass(frozen=True)
class Cost:
    """Cost of one document.

    Attributes:
        parse_s: CPU time to parse the whole text.
        edited_s: CPU time to parse it again after one section changed.
        memory_bytes: Memory of the parsed document.
        changes_bytes: Size of the update for an instance that is one edit
            behind.
    """

    workspaces: int
    size_bytes: int
    parse_s: float
    edited_s: float
    memory_bytes: int
    changes_bytes: int


def document_of(workspaces: int) -> str:
    """Returns a document with this many workspaces.

    The number of endpoints grows in proportion.
    """
    return "\n".join(_sections(workspaces)) + "\n"


def _sections(workspaces: int):
    for rank in range(TIERS):
        yield f"[tier:tier-{rank}]\nrank = {rank}\nreserved_share = 0.05\n"
        yield (
            f"[class:class-{rank}]\ntier = tier-{rank}\n"
            "target_first_token_s = 0.92\ntarget_total_s = 60\n"
        )
    for number in range(workspaces):
        digest = hashlib.sha256(str(number).encode()).hexdigest()
        yield (
            f"[workspace:workspace-{number}]\nkey_sha256 = {digest}\n"
            f"classes = class-{number % TIERS}, class-0\n"
        )
    endpoints = ENDPOINTS_AT_TARGET * workspaces // TARGET_WORKSPACES
    for model in range(MODELS):
        yield f"[service:service-{model}]\nkind = engine"
        for domain in range(DOMAINS):
            addresses = ", ".join(
                f"10.{model}.{domain}.{n}:8000"
                for n in range(endpoints // (MODELS * DOMAINS) + 1)
            )
            yield f"endpoints.domain-{domain} = {addresses}"
        yield f"\n[model:model-{model}]\nservice = service-{model}\n"
    token = hashlib.sha256(b"token").hexdigest()
    yield f"[owner:operations]\ntoken_sha256 = {token}\nsections = *\n"


def _measure(workspaces: int) -> Cost:
    text = document_of(workspaces)
    parse_s = min(
        _cpu_s(text.replace("[workspace:", f"[workspace:{number}-"))
        for number in range(ROUNDS)
    )
    edited = [
        text_module.replace(
            text, {"tier:tier-3": f"rank = 3\nreserved_share = 0.0{number}"}
        )
        for number in range(1, ROUNDS + 1)
    ]
    edited_s = min(_cpu_s(item) for item in edited)
    # Renamed sections, so that the parser has none of them cached.
    uncached = text.replace("[workspace:", "[workspace:other-")
    tracemalloc.start()
    document = parsing.parse(uncached)
    memory_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del document
    changes = text_module.changes(text, edited[0])
    message = control_pb2.DocumentMessage(base_revision=1, changes=changes)
    return Cost(
        workspaces,
        len(text),
        parse_s,
        edited_s,
        memory_bytes,
        message.ByteSize(),
    )


def _cpu_s(text: str) -> float:
    start_s = time.process_time()
    parsing.parse(text)
    return time.process_time() - start_s


def main() -> int:
    """Prints the table."""
    print(
        f"{'workspaces':>10}{'text KB':>9}{'parse ms':>10}{'edit ms':>9}"
        f"{'memory KB':>11}{'% core':>8}{'KB/s whole':>12}"
        f"{'KB/s changes':>14}"
    )
    for cost in map(_measure, SIZES):
        edits_per_s = EDITS_A_DAY / DAY_S
        print(
            f"{cost.workspaces:>10}{cost.size_bytes / 1e3:>9.0f}"
            f"{cost.parse_s * 1e3:>10.1f}{cost.edited_s * 1e3:>9.1f}"
            f"{cost.memory_bytes / 1e3:>11.0f}"
            f"{cost.edited_s * edits_per_s * 100:>8.2f}"
            f"{cost.size_bytes * edits_per_s / 1e3:>12.1f}"
            f"{cost.changes_bytes * edits_per_s / 1e3:>14.4f}"
        )
    return 0


if __name__ == "__main__":
    sys.exit(main())
