"""Import rules: whole modules only, and limited dependencies."""

import ast
import importlib.util
import pathlib

import pytest

_PACKAGE = pathlib.Path(__file__).resolve().parent.parent
_MODULES = sorted(
    path
    for path in _PACKAGE.rglob("*.py")
    if not path.name.endswith(("_pb2.py", "_grpc.py"))
)
_ALLOWED_IMPORTS = {
    "decisions": ("decisions", "kernel", "document.schema"),
    "log": ("log", "kernel", "peers"),
}


def _imported(path: pathlib.Path) -> list[tuple[str, str]]:
    tree = ast.parse(path.read_text())
    return [
        (node.module or "", alias.name)
        for node in ast.walk(tree)
        if isinstance(node, ast.ImportFrom)
        for alias in node.names
    ]


@pytest.mark.parametrize("path", _MODULES, ids=lambda p: p.stem)
def test_modules_are_imported_not_names(path):
    for package, name in _imported(path):
        if package == "__future__":
            continue
        if package == "cardamombarrow" and name == "__version__":
            continue
        spec = importlib.util.find_spec(f"{package}.{name}")
        assert spec is not None, f"{path}: from {package} import {name}"


@pytest.mark.parametrize("subpackage", _ALLOWED_IMPORTS)
def test_subpackage_imports_only_allowed_modules(subpackage):
    allowed = tuple(
        f"cardamombarrow.{name}" for name in _ALLOWED_IMPORTS[subpackage]
    )
    for path in (_PACKAGE / subpackage).rglob("*.py"):
        if "tests" in path.parts:
            continue
        for package, name in _imported(path):
            if package.startswith("cardamombarrow"):
                assert f"{package}.{name}".startswith(allowed), path
