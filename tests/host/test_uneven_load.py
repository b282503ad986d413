"""Check how many jobs are on time, and how much work is discarded, on uneven loads.

The loads are those of a fleet whose minions differ in speed (0.7, 0.7 and 1.7 times the
usual duration), with long tasks among usual ones, estimates off by 40%, and demand that
swings out of phase between data centres. They are compared with what is possible for
one who knows speeds and durations.
"""

from __future__ import annotations

import pytest
from tests.host.uneven_ideal import ideal_on_time_share
from tests.host.uneven_load import KINDS, UnevenLoad, draw, play_load

from brasstray_standins.pool_system import PoolSystemSize

EVEN, UNEVEN = (1.0,), (0.7, 0.7, 1.7)
MINIONS_EACH = 6
SLOTS_EACH = 2
# The least share of the jobs that are on time in the ideal case.
LEAST_OF_IDEAL = 0.9
# The most work that may be discarded, in proportion to the work done.
MOST_DISCARDED = 0.05


def jobs_per_s(use, slowdowns, work_factor=1.0):
    """Return the rate of jobs that keeps the share `use` of the slots busy."""
    speed = sum(1 / slowdown for slowdown in slowdowns) / len(slowdowns)
    # The mean of the tasks is 8% above their median.
    job = sum(kind.share * kind.width * kind.task_ms / 1_000 for kind in KINDS) * 1.08
    return use * speed * MINIONS_EACH * SLOTS_EACH / (job * work_factor)


# Three in a hundred tasks that take seven times as long are 18% more work.
TAILS = 1.18


@pytest.mark.parametrize("seed", [1, 2])
@pytest.mark.parametrize(
    ("slowdowns", "load"),
    [
        pytest.param(
            EVEN,
            UnevenLoad(jobs_per_s(0.6, EVEN, TAILS), 12, tail_share=0.03, error=0.4),
            id="tails",
        ),
        pytest.param(
            UNEVEN, UnevenLoad(jobs_per_s(0.7, UNEVEN), 12, error=0.4), id="speeds"
        ),
        pytest.param(
            EVEN,
            UnevenLoad(jobs_per_s(0.7, EVEN), 12, error=0.4, swing=0.55),
            id="waves",
        ),
        pytest.param(
            UNEVEN,
            UnevenLoad(
                jobs_per_s(0.7, UNEVEN, TAILS),
                12,
                tail_share=0.03,
                error=0.4,
                swing=0.55,
            ),
            id="all",
        ),
    ],
)
def test_uneven_load(play_pools, slowdowns, load, seed):
    size = PoolSystemSize(2, 3, MINIONS_EACH, slowdowns=slowdowns)
    jobs = draw(load, size.data_centres, seed)
    outcome, system = play_pools(lambda system: play_load(system, jobs), size, seed)
    assert system.book.broken == []
    ideal = ideal_on_time_share(jobs, size, SLOTS_EACH)
    assert outcome.on_time_share >= ideal * LEAST_OF_IDEAL
    assert outcome.discarded_share < MOST_DISCARDED
