"""Check that tasks are stopped when no caller waits for their job any more."""

from __future__ import annotations

from datetime import timedelta

import anyio
import pytest

from brasstray_standins.leased_minion import Work
from brasstray_standins.pool_system import TASK_NEEDS, PoolSystemSize, make_batch

SECOND = timedelta(seconds=1)
SIZE = PoolSystemSize(data_centres=1, hosts_each=3, minions_each=2)


def ms(count):
    return timedelta(milliseconds=count)


def running(system):
    return {name for target in system.minions.values() for name in target.running}


@pytest.mark.parametrize("cancelled_after", [20, 500, 1_500])
@pytest.mark.parametrize("then", ["nothing", "owner killed", "coordinator killed"])
def test_a_late_start_is_stopped(play_pools, cancelled_after, then):
    # A minion does not answer a start and carries it out two seconds later. By then the
    # caller has cancelled the job, and the coordinator or the owner may have died. The
    # run that then starts must be stopped.
    async def scenario(system):
        system.book.default_work = Work(TASK_NEEDS, 60 * SECOND)
        owner, name = system.owner(), system.non_owner()
        calls = system.hosts[owner].calls
        calls.delayed_starts, calls.call_delay = 2, ms(2_000)
        batch = make_batch("a" * 16, 2, 2 * SECOND)
        async with anyio.create_task_group() as group:
            group.start_soon(system.submit, name, batch, 10 * SECOND)
            await system.clock.sleep(ms(cancelled_after))
            system.hosts[name].host.coordinator.cancel(batch.id)
            if then == "owner killed":
                system.kill(owner)
            elif then == "coordinator killed":
                system.kill(name)
            await system.clock.sleep(4 * SECOND)
            left = running(system)
            group.cancel_scope.cancel()
        return left

    left, system = play_pools(scenario, SIZE)
    assert left == set()
    assert system.book.broken == []


@pytest.mark.parametrize("removed", ["owner", "coordinator", "both"])
def test_a_task_is_stopped_once_the_host_that_started_it_is_gone(play_pools, removed):
    # The owner, the coordinator or both are removed for good, and the job is cancelled
    # or loses its caller with the coordinator. The owner, or the next one, finds a run
    # that no host requests, and stops it.
    async def scenario(system):
        system.book.default_work = Work(TASK_NEEDS, 60 * SECOND)
        owner, name = system.owner(), system.non_owner()
        batch = make_batch("b" * 16, 2, 2 * SECOND)
        async with anyio.create_task_group() as group:
            group.start_soon(system.submit, name, batch, 10 * SECOND)
            await system.clock.sleep(ms(300))
            begun = len(running(system))
            if removed != "owner":
                system.kill(name)
            else:
                system.hosts[name].host.coordinator.cancel(batch.id)
            if removed != "coordinator":
                system.kill(owner)
            await system.clock.sleep(3 * SECOND)
            left = running(system)
            group.cancel_scope.cancel()
        return begun, left

    (begun, left), system = play_pools(scenario, SIZE)
    assert begun == 2
    assert left == set()
    assert system.book.broken == []
