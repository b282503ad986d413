"""Check what is stopped, and who is suspended, when a minion turns slow under load.

Jobs of long tasks run on all minions; one of these becomes ten times as slow, with all
its runs, and on another one a task is itself long.
"""

from __future__ import annotations

from datetime import timedelta

import anyio

from brasstray.batch.batch import Batch
from brasstray.batch.ids import BatchId
from brasstray.batch.outcome import BatchOutcome
from brasstray.batch.step import Step
from brasstray.batch.task_name import TaskName
from brasstray.job.ids import MinionId
from brasstray_standins.leased_minion import Work
from brasstray_standins.pool_system import TASK_NEEDS, PoolSystemSize

SIZE = PoolSystemSize(data_centres=1, minions_each=6)
TASK = timedelta(milliseconds=1_000)
SLOWDOWN = 10.0
LONG_FACTOR = 7
LONG_BATCH = f"{7:016x}"
SLOW = MinionId("dc0-m0")


async def turn_slow(system):
    """Return the results of the jobs, the slow minion's runs then, and suspensions."""
    results = {}
    suspended = set()

    async def submit(number):
        name = f"{number:016x}"
        task = TaskName(BatchId(name), 0, 0)
        work = TASK * LONG_FACTOR if name == LONG_BATCH else TASK
        system.book.work_by_task[task] = Work(TASK_NEEDS, work)
        batch = Batch(BatchId(name), "", (Step(1, TASK_NEEDS, TASK),))
        host = sorted(system.hosts)[number % 3]
        result = await system.submit(host, batch, timedelta(seconds=20))
        results[name] = (result.outcome, system.clock.monotonic())

    async def watch():
        while True:
            owner = system.hosts[system.owner()].host.owner
            suspended.update(m.entry.id for m in owner.minions if m.health.suspected)
            await system.clock.sleep(timedelta(milliseconds=20))

    async with anyio.create_task_group() as group:
        group.start_soon(watch)
        async with anyio.create_task_group() as jobs:
            for number in range(24):
                jobs.start_soon(submit, number)
                await system.clock.sleep(timedelta(milliseconds=130))
                if number == 9:
                    await system.clock.sleep(timedelta(milliseconds=300))
                    system.minions[SLOW].slowdown = SLOWDOWN
                    turned = system.clock.monotonic()
                    moved = set(system.minions[SLOW].running)
        group.cancel_scope.cancel()
    return results, turned, moved, suspended


def test_runs_of_a_minion_that_turns_slow_move_and_a_long_task_stays(play_pools):
    """Guard against a long task that costs its minion, and runs left on a slow one."""
    (results, turned, moved, suspended), system = play_pools(turn_slow, SIZE)
    assert system.book.broken == []
    assert all(outcome is BatchOutcome.SUCCEEDED for outcome, _ in results.values())
    # Every run that was on the slow minion has ended elsewhere, about when a whole run
    # that began at once would have, and before it would have here.
    assert moved
    for task in moved:
        places = [s.minion.id for s in system.book.recorded_starts if s.task == task]
        assert places[0] == SLOW
        assert places[1:]
        assert SLOW not in places[1:]
        _, ended = results[task.batch]
        assert ended - turned <= TASK * 2
    # The long task ran once, and no sound minion was suspended.
    starts = [task.batch for task in system.book.starts]
    assert starts.count(BatchId(LONG_BATCH)) == 1
    assert suspended == {SLOW}
