"""Importing modules with the garbage collector paused."""

import gc

import pytest

from cardamombarrow.kernel import loading


@pytest.fixture(autouse=True)
def _unfreeze():
    yield
    gc.unfreeze()


def test_the_collector_is_paused_and_resumed():
    with loading.gc_paused():
        assert not gc.isenabled()
    assert gc.isenabled()
    assert gc.get_freeze_count()


def test_the_collector_is_resumed_if_an_import_fails():
    # Otherwise the process would never collect garbage again.
    with pytest.raises(ImportError), loading.gc_paused():
        raise ImportError("no such module")
    assert gc.isenabled()
