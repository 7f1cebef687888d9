"""Checks that the platform's names are used in its folder only."""

import pathlib
import re

import pytest

_ROOT = pathlib.Path(__file__).resolve().parents[3]
_NAMES = re.compile(
    r"Attempt-Id|Server-Seal|Deadline-Ms|Prefix-Hash|Token-Count|Not-Executed"
    r"|Expect-Instance|Instance-Load|Instance-Id|Model-Name|Request-Priority"
    r"|routeKind|pathPrefix|latencyGoalMs|itlTargetMs|apiKeys|maxAttempts"
    r"|kv-events|kv-list|kvCapacity|maxConns|cloudApi|coldRemainingMs"
    r"|Duty-Holder|windowId|spotPrice|zonePrices|/scaling\b"
    r"|CARDAMOMBARROW_CONFIG|/configuration\b",
    re.IGNORECASE,
)
_FILES = sorted(
    path
    for folder in ("cardamombarrow", "tools", "benchmarks")
    for path in (_ROOT / folder).rglob("*.py")
    if (_ROOT / "cardamombarrow" / "platform") not in path.parents
)


@pytest.mark.parametrize("path", _FILES, ids=lambda path: path.stem)
def test_platform_names_are_used_in_their_folder_only(path):
    found = _NAMES.findall(path.read_text())
    assert not found, f"{path}: {found}"
