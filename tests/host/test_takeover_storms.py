"""Check that no task runs twice while owners fail in series and calls are delayed."""

from __future__ import annotations

import os
from datetime import timedelta
from random import Random

import pytest
from tests.host.storm import CALL_FAULTS, MIXES, SIZE, Storm

from brasstray.batch.outcome import BatchOutcome

# Set these variables to run more and longer storms by hand.
SEEDS = int(os.environ.get("STORM_SEEDS", "1"))
LENGTH = timedelta(seconds=int(os.environ.get("STORM_SECONDS", "4")))


@pytest.mark.parametrize("seed", range(SEEDS))
@pytest.mark.parametrize(("late", "unanswered"), CALL_FAULTS)
@pytest.mark.parametrize("mix", MIXES)
def test_storm_of_takeovers_runs_no_task_twice(play_pools, mix, late, unanswered, seed):
    """No second run, overloaded minion or false "not run" under overlapping faults."""
    random = Random(f"{mix} {late} {unanswered} {seed}")
    storm = (random, late, unanswered, MIXES[mix], LENGTH)
    play_and_check(play_pools, storm, seed=seed)


@pytest.mark.parametrize(
    ("mix", "late", "unanswered", "seed"), [("takeovers", 0.1, 0.1, 13)]
)
def test_storm_in_which_a_task_ran_twice(play_pools, mix, late, unanswered, seed):
    """Orphaned runs end before their job is sent again, after several takeovers."""
    random = Random(f"{mix}{seed}")
    storm = (random, late, unanswered, MIXES[mix], timedelta(seconds=12))
    play_and_check(play_pools, storm, seed=seed, schedule=seed)


def play_and_check(play_pools, storm_args, **seeds):
    async def scenario(system):
        storm = Storm(system, *storm_args)
        await storm.run()
        return storm

    storm, system = play_pools(scenario, SIZE, **seeds)
    assert system.book.broken == []
    started = {name.batch for name in system.book.starts}
    assert started
    refused = {
        job
        for job, outcomes in storm.answers.items()
        if all(outcome is BatchOutcome.NOT_RUN for outcome in outcomes)
    }
    assert not refused & started
