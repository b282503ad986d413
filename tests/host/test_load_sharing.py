"""Check how a full pool shares its load with other pools."""

from __future__ import annotations

from datetime import timedelta

import anyio
import pytest

from brasstray_standins.leased_minion import Work
from brasstray_standins.pool_system import TASK_NEEDS, PoolSystemSize, make_batch


def ms(count):
    return timedelta(milliseconds=count)


@pytest.mark.parametrize("offset", range(90, 210, 15))
def test_waiting_tasks_move_as_soon_as_another_pool_has_free_slots(play_pools, offset):
    # Guards against tasks that wait up to 150 ms for the next heartbeat while another
    # pool has free slots: a balance enquiry takes only 60 ms. Both pools are full and a
    # job waits at the first; the second becomes free and must notify the first.
    size = PoolSystemSize(data_centres=2, minions_each=1)

    async def scenario(system):
        system.book.default_work = Work(TASK_NEEDS, ms(600))
        async with anyio.create_task_group() as group:
            for job, host in (
                ("a" * 16, system.non_owner(0)),
                ("b" * 16, system.non_owner(1)),
            ):
                long = make_batch(job, 2, ms(600))
                group.start_soon(system.submit, host, long)
            await system.clock.sleep(ms(150))
            system.book.default_work = Work(TASK_NEEDS, ms(60))
            group.start_soon(
                system.submit, system.non_owner(0), make_batch("c" * 16, 1)
            )
            await system.clock.sleep(ms(offset))
            before = len(system.book.starts)
            for run in system.minions["dc1-m0"].runs:
                run.remaining = ms(1)
            began = system.clock.monotonic()
            while len(system.book.starts) == before:
                await system.clock.sleep(ms(1))
            return system.clock.monotonic() - began

    took, system = play_pools(scenario, size)
    assert took < ms(30)
    assert system.book.broken == []
