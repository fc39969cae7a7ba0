"""Short runs of the soak with fixed seeds, with a crowd (3, 6, 9) and with a push budget that binds (odd)."""

import asyncio

from soak.__main__ import report
from soak.plan import draw
from soak.run import Run, play

SEEDS = (3, 5, 6, 7, 9, 25)


async def play_all() -> list[Run]:
    return await asyncio.gather(*(play(seed) for seed in SEEDS))


def test_runs_with_fixed_seeds_keep_the_rules():
    runs = asyncio.run(play_all())
    broken = [report(run.plan.seed, run) for run in runs if run.faults]
    assert not broken, "\n" + "\n".join(broken)
    assert all(run.rules.checked > 100 for run in runs)
    assert any(run.crowded > 200 for run in runs)


def test_a_seed_draws_the_same_run_each_time():
    assert draw(7) == draw(7) != draw(8)
