"""Check faults on pools with hung runs, long tasks and voluntary waits."""

from __future__ import annotations

from datetime import timedelta
from random import Random

import pytest
from tests.pool.test_cold_minions import Clock, NullObject, add_active_run
from tests.pool.test_placement import NOW, minion, ms, step
from tests.pool.test_straggling import LONG_SHARE, USUAL, reported
from tests.pool.test_uneven_placement import KnownDurations, busy

from brasstray.batch.ids import BatchId
from brasstray.pool.dispatcher import Dispatcher
from brasstray.pool.durations import Durations
from brasstray.pool.health_monitor import HealthMonitor
from brasstray.pool.load_sharing import LoadSharing
from brasstray.pool.outlook import Outlook
from brasstray.pool.run_verdict import RunVerdict
from brasstray.pool.straggling import judge
from brasstray.pool.task_size import TaskSize
from brasstray.pool.timing import PoolTiming


def test_minion_half_of_whose_runs_hang_is_suspected():
    """Guard against a minion that stays in use though each second run hangs there."""
    target, suspected = minion("a"), False
    monitor = HealthMonitor(lambda: [target], NullObject())
    for number in range(10):
        now = NOW + ms(200 * number)
        hung, usual = (
            add_active_run(target, step(batch=BatchId(f"{kind}{number:015x}")), now)
            for kind in "ab"
        )
        hung.task.parent_step.slowdowns["b"] = 1.0
        hung.report(0, now + ms(50))
        target.remove(usual)
        monitor.record_done(target, usual, now + ms(60))
        assert monitor.should_stop(target, hung, now + ms(130))
        target.remove(hung)
        suspected |= target.health.suspected
    assert suspected


def test_run_that_hangs_near_its_end_is_stopped():
    """Guard against a run that hangs at 95% for tens of times its usual duration."""
    run = reported((190, 95), *((at, 95) for at in range(400, 4_001, 200)))
    found = judge(run, ms(4_000), None, USUAL, LONG_SHARE)
    assert found is RunVerdict.STUCK


@pytest.mark.parametrize("minions", [6, 18, 90])
def test_long_tasks_do_not_make_an_even_pool_uneven(minions):
    """Guard against the rules of uneven minions on a pool whose minions are equal.

    Three in a hundred tasks take seven times as long as the others.
    """
    random, durations = Random(1), Durations(1.5)
    pool = [minion(f"m{n}") for n in range(minions)]
    step_tasks, uneven = step(estimate=170), 0
    for _ in range(100):
        for _ in range(minions):
            key = random.choice(pool).entry.key
            took = ms(170) * random.gauss(1, 0.15)
            took *= 7 if random.random() < 0.03 else 1
            expected = durations.expected(step_tasks, key, ())
            durations.learn(step_tasks, key, expected, took)
        uneven += Outlook(pool, durations, timedelta(0)).uneven
    assert uneven <= 5


def test_task_that_waits_for_a_minion_hides_no_free_slots():
    """Guard against a pool that says it is full while most of its minions are free."""
    slow = [minion(f"slow{n}") for n in range(9)]
    fast = [busy(f"fast{n}", 100) for n in range(3)]
    minions = fast + slow
    durations = KnownDurations(
        {m.entry.id: 1.7 for m in slow} | {m.entry.id: 0.7 for m in fast}
    )
    tasks, roster, clock = NullObject(), NullObject(), Clock()
    waiting = step(due=0, estimate=760)
    waiting.requester = NullObject()
    waiting.requester.last_contact = NOW
    tasks.steps, roster.minions = [waiting], minions
    sharing = LoadSharing(
        tasks,
        lambda: minions,
        durations,
        TaskSize(clock.monotonic),
        None,
        clock,
        None,
        lambda: False,
    )
    dispatcher = Dispatcher(
        tasks,
        roster,
        durations,
        sharing,
        clock,
        PoolTiming(),
        NullObject(),
        bool,
        bool,
    )
    dispatcher._dispatch()
    assert tasks.steps[0].waiting
    assert sharing.load().free_slots > 0
