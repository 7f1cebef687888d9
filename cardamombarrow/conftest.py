"""Fixtures and settings shared by all tests."""

import pathlib

import hypothesis
import pytest

from tools import deployment

_ROOT = pathlib.Path(__file__).resolve().parent.parent

# The same examples in every run, so that results are reproducible.
hypothesis.settings.register_profile(
    "fixed", derandomize=True, deadline=None, database=None
)
hypothesis.settings.load_profile("fixed")


@pytest.fixture(scope="session")
def kandula_text() -> str:
    """Text of the Kandula example document."""
    return (_ROOT / "examples" / "kandula.ini").read_text()


@pytest.fixture(scope="module")
def kandula(kandula_text, tmp_path_factory):
    """A small Kandula deployment of real processes."""
    plan = deployment.Plan(
        document=kandula_text,
        entries={
            "nuwara-a": ["entry-1", "entry-2"],
            "badulla-a": ["entry-3"],
            "ratnapura-a": ["entry-4"],
        },
        controls={"nuwara-a": ["control-1"]},
    )
    folder = tmp_path_factory.mktemp("kandula")
    with deployment.Deployment(plan, folder) as running:
        yield running
