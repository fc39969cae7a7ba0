"""Short soak runs with fixed seeds: 3, 6 and 9 have a connection flood, odd ones a push budget that binds."""

import asyncio

from soak.__main__ import summarize
from soak.plan import draw_plan
from soak.run import Run, run_seed

SEEDS = (3, 5, 6, 7, 9, 25)


async def run_all_seeds() -> list[Run]:
    return await asyncio.gather(*(run_seed(seed) for seed in SEEDS))


def test_runs_with_fixed_seeds_keep_the_rules():
    runs = asyncio.run(run_all_seeds())
    summaries = [summarize(run.plan.seed, run) for run in runs if run.failures]
    assert not summaries, "\n" + "\n".join(summaries)
    assert all(run.rules.checked > 100 for run in runs)
    assert any(run.flood_size > 200 for run in runs)


def test_a_seed_gives_the_same_plan_each_time():
    assert draw_plan(7) == draw_plan(7) != draw_plan(8)
