"""Tests of usage and demand at a control process."""

import random

import hypothesis
from hypothesis import strategies
import pytest

from cardamombarrow.kernel import ids
from cardamombarrow.metering import tables as tables_module

_DOMAIN = ids.DomainId("north")
_SERVICE = ids.ServiceId("writer")


def _counts(source, window, **counts):
    return tables_module.SourceCounts(source, window, counts)


@pytest.fixture
def table():
    return tables_module.UsageTable(1 << 40)


def test_a_repeated_row_counts_once(table):
    for _ in range(2):
        table.put(_counts("e1", 7, trails=3), direct=True)
    table.put(_counts("e2", 7, trails=1), direct=False)
    assert table.totals() == {7: {"trails": 4}}
    assert table.sources() == {7: 2}


def test_a_restarted_entry_adds_to_its_earlier_counts(table):
    table.put(_counts("e1.boot-a", 7, trails=3), direct=True)
    table.put(_counts("e1.boot-b", 7, trails=1), direct=True)
    assert table.totals()[7] == {"trails": 4}


@hypothesis.given(
    strategies.lists(strategies.integers(0, 9), min_size=1, max_size=30)
)
def test_rows_in_any_order_give_the_same_totals(seeds):
    # Guards against counts that are lost or doubled when messages arrive out
    # of order.
    rows = [
        _counts(f"e{seed % 3}", 7, trails=seed, clubs=seed // 2)
        for seed in seeds
    ]
    totals = []
    for _ in range(2):
        table = tables_module.UsageTable(0)
        random.Random(len(seeds)).shuffle(rows)
        for row in rows + rows[:2]:
            table.put(row, direct=True)
        totals.append(table.totals())
    assert totals[0] == totals[1]


def test_only_direct_totals_are_relayed(table):
    table.put(_counts("e1", 7, trails=3), direct=True)
    table.put(_counts("e2", 7, trails=5), direct=False)
    reported, number = table.own_since(0)
    assert [row.source for row in reported] == ["e1"]
    assert table.own_since(number) == ([], number)
    table.put(_counts("e1", 7, trails=4), direct=True)
    assert table.own_since(number)[0][0].counts == {"trails": 4}


def test_old_windows_are_dropped(table):
    for window in range(100):
        table.put(_counts("e1", window, trails=1), direct=True)
    assert len(table.totals()) == tables_module.MAX_WINDOWS
    table.put(_counts("e1", 3, trails=9), direct=True)
    assert 3 not in table.totals()


def test_demand_is_a_rate_and_is_summed_by_domain():
    table = tables_module.DemandTable()
    for now_s, prefill_s in ((0.0, 5.0), (2.0, 6.0)):
        table.put("e1", _DOMAIN, _SERVICE, prefill_s, 4, now_s)
        table.put("e2", _DOMAIN, _SERVICE, prefill_s * 2, 1, now_s)
    demand = table.all(2.0)
    assert demand == [tables_module.Demand(_DOMAIN, _SERVICE, 1.5, 5)]


def test_a_restarted_entry_has_no_prefill_demand_at_first():
    table = tables_module.DemandTable()
    table.put("e1", _DOMAIN, _SERVICE, 50.0, 4, 0.0)
    table.put("e1", _DOMAIN, _SERVICE, 1.0, 4, 1.0)
    assert table.all(1.0)[0].reading == 0.0


def test_demand_expires_without_reports():
    table = tables_module.DemandTable()
    table.put("e1", _DOMAIN, _SERVICE, 1.0, 4, 0.0)
    table.put_peer_demand(
        "c2", [tables_module.Demand(_DOMAIN, _SERVICE, 2, 3)], 0.0
    )
    assert table.all(1.0)[0].running == 7
    assert table.all(tables_module.DEMAND_TTL_S + 0.1) == []
