"""Check that no run is taken for ended while its lease may last."""

from __future__ import annotations

import os
from datetime import timedelta

import pytest
from tests.pool.takeover import TASK, Requester, request, run_takeover
from tests.pool.test_restarts import report_born
from tests.pool.test_takeover import ms, second_runs_by_loss, start_on_last_minion
from tests.pool.unanswered_orders import run_order

from brasstray.pool.timing import PoolTiming

TIMING = PoolTiming()
# More seeds are run by hand.
ORDER_COUNT = int(os.environ.get("UNANSWERED_ORDERS", "240"))
GROUP_COUNT = 6
# On the slowest clock, then up to two probes and the pause between them.
RERUN_WITHIN = (
    TIMING.longest_lease / (1 - TIMING.clock_rate_error)
    + 2 * TIMING.probe_timeout
    + TIMING.probe_backoff
    + timedelta(milliseconds=20)
)


# Guards against a second run after a takeover: a minion that reports its start answered
# one probe of the new owner, and the next ones got no reply.
@pytest.mark.parametrize("minions", [1, 2, 3])
@pytest.mark.parametrize("alive", [False, True], ids=["first dead", "first alive"])
@pytest.mark.parametrize("late_calls", [0, 1], ids=["calls in time", "calls late"])
def test_reported_run_is_kept_until_its_lease_expires(minions, alive, late_calls):
    broken = second_runs_by_loss(
        minions, alive=alive, late_calls=late_calls, prepare=report_born
    )
    assert broken == {}


# Guards against second runs and tasks without an answer when minions leave any of the
# calls of successive owners unanswered.
@pytest.mark.parametrize("born", [False, True], ids=["no start time", "start time"])
@pytest.mark.parametrize("group", range(GROUP_COUNT))
def test_unanswered_calls_begin_no_second_run(group, born):
    faults = {}
    for seed in range(group, ORDER_COUNT, GROUP_COUNT):

        async def scenario(pool, seed=seed):
            return await run_order(pool, seed, born=born)

        pool, order = run_takeover(scenario, 1 + seed % 3, duration=ms(1_500))
        if pool.recorder.broken or order.requester.open_tasks:
            faults[seed] = pool.recorder.broken, order.requester.open_tasks
    assert faults == {}


# Guards against a task that waits for a minion that is gone: it starts again once the
# longest lease that the minion may have granted has expired.
@pytest.mark.parametrize("born", [False, True], ids=["no start time", "start time"])
@pytest.mark.parametrize("answered_ms", [4, 40, 80, 130, 300])
def test_task_starts_again_after_its_minion_died_during_a_takeover(born, answered_ms):
    async def scenario(pool):
        if born:
            report_born(pool)
        first, first_scope = pool.start_owner(1, pool.calls())
        await pool.list_all_minions(first)
        await pool.clock.sleep(ms(150))
        stand_in = await start_on_last_minion(pool, first)
        first_scope.cancel()
        second, _ = pool.start_owner(2, pool.calls())
        await pool.list_all_minions(second)
        second.run_tasks(Requester(), request(claimed=True))
        await pool.clock.sleep(ms(answered_ms))
        stand_in.crash()
        died = pool.clock.monotonic()
        await pool.clock.sleep(ms(2_000))
        return died

    pool, died = run_takeover(scenario, 2)
    starts = [one for one in pool.recorder.recorded_starts if one.task == TASK]
    assert [one.minion.id for one in starts] == ["m1", "m0"]
    assert starts[1].at - died <= RERUN_WITHIN
