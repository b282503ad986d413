"""Check placement on uneven minions beside hung runs, failures and limits."""

from __future__ import annotations

import pytest
from tests.pool.test_cold_minions import add_active_run
from tests.pool.test_placement import NOW, minion, ms, step
from tests.pool.test_uneven_placement import (
    FAST,
    SLOW,
    KnownDurations,
    busy,
    choose,
    task_of,
)

from brasstray.batch.ids import BatchId
from brasstray.pool.outlook import Outlook
from brasstray.pool.placement import choose_minion

SLOWNESSES = {"fast": FAST, "slow": SLOW}


@pytest.mark.parametrize("percent", [0, 50])
def test_task_does_not_wait_for_a_run_that_hangs(percent):
    """Guard against a task that waits for as long as a run hangs on a fast minion."""
    fast = busy("fast", 200)
    record = next(iter(fast.runs.values()))
    record.began = NOW - ms(5_000)
    record.report(percent, NOW - ms(4_900))
    assert choose(task_of(760), [fast, minion("slow")], SLOWNESSES) == "slow"


def test_task_waits_for_a_run_that_is_just_due():
    """Guard against a wait given up because the end is not yet reported."""
    fast = busy("fast", 200)
    next(iter(fast.runs.values())).began = NOW - ms(220)
    assert choose(task_of(760), [fast, minion("slow")], SLOWNESSES) is None


def test_task_does_not_wait_where_its_step_has_the_most_runs():
    """Guard against a wait for room that `max_per_minion` forbids to use."""
    waiting = step(60, 760, width=2, max_per_minion=1)
    fast = minion("fast", cpu=14_000)
    add_active_run(fast, waiting).expected = ms(5_000)
    other = add_active_run(fast, step(batch=BatchId("c" * 16)))
    other.expected = ms(100)
    task = waiting.waiting[0]
    assert choose(task, [fast, minion("slow")], SLOWNESSES) == "slow"


@pytest.mark.parametrize("slowest", [SLOW, 4.0, 10.0])
def test_failed_task_begins_elsewhere_on_uneven_minions(slowest):
    """Guard against a task that goes back to the slow minion where it failed."""
    task = task_of(51, waited=-2_000)
    task.avoided.add("slow")
    slow = minion("slow", cpu=6_800)
    minions = [minion("fast", cpu=64_000), slow]
    assert choose(task, minions, {"fast": FAST, "slow": slowest}) == "fast"


def test_stuck_task_begins_elsewhere_on_uneven_minions():
    """Guard against a task that goes back to a fast minion where its run hung.

    Such a minion is not suspected while its other runs go on.
    """
    # On the slow minion it is late, but by less than a second run that hangs costs.
    task = task_of(760, waited=10)
    task.avoided.add("fast")
    slownesses = {"fast": FAST, "slow": 1.5}
    assert choose(task, [minion("fast"), minion("slow")], slownesses) == "slow"


def test_late_task_starts_though_more_urgent_ones_take_the_fast_minion():
    """Guard against a task that waits on and on for room that others get.

    On the fast minion one task after the other starts that would be late elsewhere; the
    slow one is idle. The late task takes 1,292 ms there.
    """
    durations, slow = KnownDurations(SLOWNESSES), minion("slow")
    task, waited = task_of(760), 0
    while waited < 10_000:
        now = NOW + ms(waited)
        fast = busy("fast", 532)
        next(iter(fast.runs.values())).began = now - ms(432)
        outlook = Outlook([fast, slow], durations, now)
        if choose_minion(task, [slow], durations, now, outlook) is slow:
            break
        waited += 100
    assert waited <= 1_400
