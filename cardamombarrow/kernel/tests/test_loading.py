"""Modules that are loaded without garbage collections."""

import gc

import pytest

from cardamombarrow.kernel import loading


@pytest.fixture(autouse=True)
def _thawed():
    yield
    gc.unfreeze()


def test_nothing_is_collected_meanwhile_and_the_collector_runs_after():
    with loading.modules():
        assert not gc.isenabled()
    assert gc.isenabled()
    assert gc.get_freeze_count()


def test_the_collector_runs_after_a_module_that_fails_to_load():
    # Guards against a process that never collects again.
    with pytest.raises(ImportError), loading.modules():
        raise ImportError("no such module")
    assert gc.isenabled()
