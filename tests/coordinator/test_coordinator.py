"""Check what a coordinator requests from pools and reports to callers."""

from __future__ import annotations

from dataclasses import dataclass, field
from datetime import timedelta
from random import Random

import anyio
import pytest
from tests.conftest import run_virtual

from brasstray.batch.batch import Batch
from brasstray.batch.ids import BatchId, PoolId
from brasstray.batch.outcome import BatchOutcome, GiveUpReason
from brasstray.batch.resources import Resources
from brasstray.batch.step import Step
from brasstray.clock.loop import LoopClock
from brasstray.coordinator.coordinator import Coordinator, critical_path
from brasstray.coordinator.timing import CoordinatorTiming
from brasstray.peer.message.run_tasks import RunTasks
from brasstray.peer.message.stop_tasks import StopTasks
from brasstray.peer.message.tasks_ended import TasksEnded
from brasstray.peer.message.tasks_returned import TasksReturned
from brasstray.pool.pool_load import PoolLoad
from brasstray_standins.pool_system import make_batch, make_queue

HOME, AWAY = PoolId("home"), PoolId("away")
JOB = BatchId("a" * 16)
CALLER_TIMEOUT = timedelta(seconds=2)


@dataclass
class FakePools:
    loads: dict[PoolId, PoolLoad] = field(
        default_factory=lambda: {HOME: PoolLoad(4), AWAY: PoolLoad(4)}
    )
    told: list = field(default_factory=list)
    evacuated: set[PoolId] = field(default_factory=set)

    def reachable(self):
        return dict(self.loads)

    def connectable(self):
        return []

    def is_evacuated(self, pool):
        return pool in self.evacuated

    def all_evacuated(self):
        return bool(self.loads) and self.evacuated >= set(self.loads)

    def send(self, pool, message):
        self.told.append((pool, message))

    def runs(self):
        return [(p, m) for p, m in self.told if isinstance(m, RunTasks)]

    def stops(self):
        return [p for p, m in self.told if isinstance(m, StopTasks)]


class NullEvents:
    def __getattr__(self, name):
        return lambda *_, **__: None


def with_coordinator(steps, batch=None, loads=None):
    """Return the result, duration and pools of a job; `steps` acts as its pools."""

    async def main():
        pools = FakePools()
        if loads is not None:
            pools.loads = loads
        coordinator = Coordinator(
            HOME, pools, LoopClock(), CoordinatorTiming(), NullEvents(), Random(1)
        )
        results = []

        async def run():
            found = await coordinator.run(
                batch or make_batch(JOB, 2), make_queue(), CALLER_TIMEOUT
            )
            results.append((found, anyio.current_time() - began))

        began = anyio.current_time()
        async with anyio.create_task_group() as group:
            group.start_soon(coordinator.watch_unreachable)
            group.start_soon(run)
            await anyio.sleep(0.01)
            outcome = steps(coordinator, pools)
            if outcome is not None:
                await outcome
            while not results:
                await anyio.sleep(0.01)
            group.cancel_scope.cancel()
        return results[0][0], results[0][1], pools

    return run_virtual(main)


def ended(*done, failed=(), step=0):
    return TasksEnded(batch=JOB, step=step, done=done, failed=failed)


def returned(*indices, pool=None, **more):
    return TasksReturned(batch=JOB, step=0, indices=indices, pool=pool, **more)


def test_a_job_succeeds_once_all_tasks_are_done():
    def steps(coordinator, pools):
        coordinator.handle_tasks_ended(HOME, ended(0))
        coordinator.handle_tasks_ended(HOME, ended(1))

    result, _, pools = with_coordinator(steps)
    assert result.outcome is BatchOutcome.SUCCEEDED
    assert [pool for pool, _ in pools.runs()] == [HOME]
    assert pools.stops() == []


def test_a_failed_task_ends_the_job_and_stops_the_others():
    def steps(coordinator, pools):
        coordinator.handle_tasks_ended(HOME, ended(failed=(0,)))

    result, _, pools = with_coordinator(steps)
    assert result.outcome is BatchOutcome.FAILED
    assert pools.stops() == [HOME]


@pytest.mark.parametrize(
    ("told", "outcome"),
    [
        # No task was sent to a minion.
        ([returned(0, 1, wait_ms=2_500)], BatchOutcome.NOT_RUN),
        # One task is done: the job has partly run.
        ([ended(0), returned(1, wait_ms=2_500)], BatchOutcome.UNKNOWN),
        # The other task is still placed at the pool and may be running.
        ([returned(1, wait_ms=2_500)], BatchOutcome.UNKNOWN),
        # A run was started and stopped before the task was returned.
        ([returned(0, 1, wait_ms=2_500, begun=True)], BatchOutcome.UNKNOWN),
        # The owner does not know whether the tasks are running.
        ([returned(0, 1, outcome_unknown=True)], BatchOutcome.UNKNOWN),
    ],
)
def test_not_run_is_reported_only_if_nothing_has_run(told, outcome):
    def steps(coordinator, pools):
        for message in told:
            if isinstance(message, TasksEnded):
                coordinator.handle_tasks_ended(HOME, message)
            else:
                coordinator.handle_tasks_returned(HOME, message)

    result, _, _ = with_coordinator(steps)
    assert result.outcome is outcome


def test_a_job_that_began_at_another_pool_is_not_reported_as_not_run():
    # Guards against "not run" answers to jobs that have begun, which callers submit as
    # new. A task starts at the home pool on a minion that hangs, is stopped there and
    # sent to another pool, which is full and returns it.
    def steps(coordinator, pools):
        coordinator.handle_tasks_returned(HOME, returned(0, 1, pool=AWAY, begun=True))
        coordinator.handle_tasks_returned(AWAY, returned(0, 1, wait_ms=900))

    result, _, pools = with_coordinator(steps)
    assert result.outcome is BatchOutcome.UNKNOWN
    assert pools.runs()[-1][1].begun


def test_a_claim_counts_as_begun():
    # The owner of a pool dies while it has tasks of a job. Its successor does not know
    # them and returns them, but the dead owner may have started them.
    def steps(coordinator, pools):
        coordinator.claim(HOME)
        coordinator.handle_tasks_returned(HOME, returned(0, 1, wait_ms=900))

    result, _, pools = with_coordinator(steps)
    assert result.outcome is BatchOutcome.UNKNOWN
    assert pools.runs()[-1][1].claimed


def test_returned_tasks_go_to_the_pool_with_free_slots():
    def steps(coordinator, pools):
        coordinator.handle_tasks_returned(HOME, returned(1, pool=AWAY))
        coordinator.handle_tasks_ended(HOME, ended(0))
        coordinator.handle_tasks_ended(AWAY, ended(1))

    result, _, pools = with_coordinator(steps)
    assert result.outcome is BatchOutcome.SUCCEEDED
    sent = [(pool, m.indices, m.forwarded) for pool, m in pools.runs()]
    assert sent == [(HOME, (0, 1), False), (AWAY, (1,), True)]


def test_a_job_ends_after_its_pool_is_unreachable_for_the_timeout():
    # The network to a data centre fails while it runs tasks of a job. They may keep
    # running, so they are not started elsewhere. The caller gets an answer early enough
    # to submit the job again, and not the answer that nothing has run.
    def steps(coordinator, pools):
        del pools.loads[HOME]

    result, took, _ = with_coordinator(steps)
    assert result.outcome is BatchOutcome.UNKNOWN
    assert result.reason is GiveUpReason.POOL_LOST
    assert 0.85 < took < 1.1


def test_without_any_pool_the_caller_is_told_when_to_retry():
    result, took, pools = with_coordinator(lambda *_: None, loads={})
    assert result.outcome is BatchOutcome.NOT_RUN
    assert result.reason is GiveUpReason.NO_POOL
    assert result.retry_after == CoordinatorTiming().retry_after
    assert took < 0.4
    assert pools.told == []


def test_a_step_waits_for_the_steps_it_depends_on():
    needs = Resources(1_000)
    batch = Batch(
        JOB,
        "",
        (
            Step(2, needs, timedelta(milliseconds=50)),
            Step(1, needs, timedelta(milliseconds=70), after=(0,)),
        ),
    )

    def steps(coordinator, pools):
        coordinator.handle_tasks_ended(HOME, ended(0))
        assert [m.step for _, m in pools.runs()] == [0]
        coordinator.handle_tasks_ended(HOME, ended(1))
        assert [m.step for _, m in pools.runs()] == [0, 1]
        coordinator.handle_tasks_ended(HOME, ended(0, step=1))

    result, _, _ = with_coordinator(steps, batch)
    assert result.outcome is BatchOutcome.SUCCEEDED
    assert critical_path(batch) == timedelta(milliseconds=120)


def test_the_deadline_ends_a_job_whose_tasks_do_not_end():
    result, took, pools = with_coordinator(lambda *_: None)
    assert result.outcome is BatchOutcome.UNKNOWN
    assert result.reason is GiveUpReason.TOO_LATE
    assert 1.9 < took < 2.1
    assert pools.stops() == [HOME]


def returned_evacuated(pool):
    return TasksReturned(batch=JOB, step=0, indices=(0, 1), pool=pool, evacuated=True)


def test_tasks_from_an_evacuated_pool_may_be_forwarded_once_more():
    # The next pool may be full when they arrive, while a third has free slots.
    def steps(coordinator, pools):
        coordinator.handle_tasks_returned(HOME, returned_evacuated(AWAY))

    _, _, pools = with_coordinator(steps, make_batch(JOB, 2))
    assert [(p, m.forwarded) for p, m in pools.runs()] == [(HOME, False), (AWAY, False)]


def test_a_job_is_refused_once_its_pools_are_evacuated_one_after_the_other():
    # Guards against a job that bounces between two evacuated pools until its caller
    # gives up. It waits in a data centre that is evacuated, moves to another one and is
    # returned when that is evacuated too. Nothing of it has run, and its caller is told
    # when to retry.
    def steps(coordinator, pools):
        pools.evacuated.add(HOME)
        coordinator.handle_tasks_returned(HOME, returned_evacuated(AWAY))
        pools.evacuated.add(AWAY)
        coordinator.handle_tasks_returned(AWAY, returned_evacuated(HOME))

    result, took, pools = with_coordinator(steps, make_batch(JOB, 2))
    assert (result.outcome, result.reason) == (
        BatchOutcome.NOT_RUN,
        GiveUpReason.EVACUATED,
    )
    assert result.retry_after >= timedelta(seconds=1)
    assert took < 0.1
    assert len(pools.runs()) == 2


def test_a_job_goes_to_a_pool_that_its_host_knows():
    # The owner that returns the job proposes a pool that this host does not know yet.
    def steps(coordinator, pools):
        pools.evacuated.add(HOME)
        coordinator.handle_tasks_returned(
            HOME, returned_evacuated(PoolId("unheard of"))
        )

    _, _, pools = with_coordinator(steps, make_batch(JOB, 2))
    assert [pool for pool, _ in pools.runs()] == [HOME, AWAY]


# Guards against a wait of another host that no duration can hold.
@pytest.mark.parametrize("wait_ms", [10**14, 2**63 - 1, 10**400, -(10**400)])
def test_an_extreme_wait_is_told_to_the_caller_as_a_short_one(wait_ms):
    result, _, _ = with_coordinator(
        lambda coordinator, _: coordinator.handle_tasks_returned(
            HOME, returned(0, 1, wait_ms=wait_ms)
        )
    )
    assert result.outcome is BatchOutcome.NOT_RUN
    assert timedelta(seconds=1) <= result.retry_after <= timedelta(minutes=2)


# Guards against an error in one job that ends the host, or that has its caller send
# the job to the next host.
@pytest.mark.parametrize(
    "event",
    [
        lambda coordinator: coordinator.handle_tasks_ended(HOME, ended(0, step=7)),
        lambda coordinator: coordinator.handle_tasks_returned(
            HOME, returned(0, pool=AWAY)
        ),
        lambda coordinator: coordinator.claim(HOME),
    ],
    ids=["end", "return", "claim"],
)
def test_a_job_whose_handling_raises_an_error_fails_alone(event):
    def steps(coordinator, pools):
        sent = pools.send

        def send(pool, message):
            if isinstance(message, RunTasks):
                raise ZeroDivisionError(message.batch)
            sent(pool, message)

        pools.send = send
        active = coordinator._active[JOB]
        active.placed[7, 0] = HOME
        event(coordinator)

    result, _, pools = with_coordinator(steps)
    assert result.outcome is BatchOutcome.FAILED
    assert result.reason is GiveUpReason.ERROR
    assert HOME in pools.stops()
