"""Upper bounds of a run's results, from a fluid model."""

import collections

from benchmarks import fake_engine
from benchmarks import results
from benchmarks import scenarios
from cardamombarrow.kernel import ids

__all__ = ["set_bounds"]


def set_bounds(result: results.Result, scenario: scenarios.Scenario) -> None:
    """Computes upper bounds for a run from its load and its capacity.

    A class gets at most the engine time that higher classes leave, over the
    length of the run plus its target, at the cost of a full batch. Shared
    prompt prefixes count as cached.

    Args:
        result: Receives the bounds; its `capacity_s` is read.
        scenario: The load.
    """
    document = scenario.document
    settings = fake_engine.EngineSettings()
    rate = result.capacity_s / scenario.duration_s
    cost_s: collections.Counter[ids.ClassId] = collections.Counter()
    for work in scenario.works:
        cost_s[work.class_id] += settings.cost_s(
            work.prompt_tokens - work.prefix_tokens, work.answer_tokens
        )
    used_s = 0.0
    by_rank = sorted(
        document.classes, key=lambda name: document.tier_of(name).rank
    )
    for name in by_rank:
        target_s = document.classes[name].target_first_token_s
        left_s = result.capacity_s + target_s * rate - used_s
        share = left_s / max(cost_s[name], 1e-9)
        result.classes[name].best_share = min(1.0, max(0.0, share))
        used_s += cost_s[name]
    result.best_goodput_share = min(1.0, used_s / result.capacity_s)
