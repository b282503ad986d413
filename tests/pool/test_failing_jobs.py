"""Check that a job that cannot be handled fails alone."""

from __future__ import annotations

from datetime import timedelta

import pytest
from msgspec.structs import replace
from tests.pool.takeover import (
    NullObject,
    Requester,
    request,
    run_takeover,
)
from tests.pool.test_takeover import ms

from brasstray.batch.ids import BatchId, PoolId
from brasstray.peer.message.tasks_ended import TasksEnded
from brasstray.pool.dispatcher import Dispatcher
from brasstray.pool.durations import Durations
from brasstray.pool.forward_target import first_to_end
from brasstray.pool.load_sharing import LoadSharing
from brasstray.pool.pool_load import PoolLoad
from brasstray.pool.step_tasks import StepTasks

BAD_JOB = BatchId("b" * 16)
LATER_JOB = BatchId("c" * 16)
WORK = timedelta(milliseconds=200)
EXTREMES = [10**9, 10**14, 2**31 - 1, 2**53, 2**63 - 1, 2**64, 10**30, 10**400]


def ended_tasks(requester):
    return [m for m in requester.messages if isinstance(m, TasksEnded)]


def failed_tasks(requester):
    return sorted(index for m in ended_tasks(requester) for index in m.failed)


def done_tasks(requester):
    return sorted(index for m in ended_tasks(requester) for index in m.done)


async def run_beside(pool, bad, *, before=2, width=2):
    """Ask for a job, for the message `bad`, and for one more job; return who asked."""
    owner, _ = pool.start_owner(1, pool.calls())
    await pool.list_all_minions(owner)
    await pool.clock.sleep(ms(150))
    first, failing, last = Requester(), Requester(), Requester()
    # All slots are taken, so that what follows waits and is reviewed.
    owner.run_tasks(first, request(claimed=False, width=before))
    owner.run_tasks(failing, bad)
    owner.run_tasks(last, request(claimed=False, job=LATER_JOB, width=width))
    await pool.clock.sleep(ms(10))
    soon = failed_tasks(failing)
    await pool.clock.sleep(6 * WORK)
    owner.load()
    assert not owner.deposed
    return first, failing, last, soon


# Guards against one job that ends the owner of its pool and all that run there: a host
# of an earlier version hands over a part of a job that no minion can ever run.
@pytest.mark.parametrize("value", EXTREMES)
@pytest.mark.parametrize("field", ["cpu_millis", "memory_mb", "gpus"])
@pytest.mark.parametrize("forwarded", [False, True], ids=["first", "forwarded"])
def test_an_impossible_job_fails_at_once_and_alone(field, value, forwarded):
    bad = replace(
        request(claimed=False, job=BAD_JOB, width=2),
        **{field: value},
        forwarded=forwarded,
    )

    async def scenario(pool):
        return await run_beside(pool, bad)

    pool, (first, _, last, soon) = run_takeover(scenario, 1, duration=WORK)
    assert soon == [0, 1]
    assert done_tasks(first) == [0, 1]
    assert done_tasks(last) == [0, 1]
    assert all(name.batch != BAD_JOB for name in pool.recorder.starts)


# Guards against an owner that ends on a time or a count of another host that is out of
# range: the other jobs are done, and the job itself is answered.
@pytest.mark.parametrize("value", [*EXTREMES, *(-value for value in EXTREMES), 0])
@pytest.mark.parametrize(
    "field",
    ["estimate_ms", "due_ms", "useful_ms", "limit_ms", "priority", "attempts"]
    + ["max_per_minion", "done_ms", "width"],
)
def test_an_extreme_number_of_a_request_ends_nothing_else(field, value):
    bad = replace(request(claimed=False, job=BAD_JOB, width=2), **{field: value})

    async def scenario(pool):
        return await run_beside(pool, bad)

    pool, (first, _, last, _) = run_takeover(scenario, 1, duration=WORK)
    assert done_tasks(first) == [0, 1]
    assert done_tasks(last) == [0, 1]
    assert pool.recorder.broken == []


# Guards against absurd loads of other pools, which tell where tasks are forwarded.
@pytest.mark.parametrize("value", EXTREMES)
def test_a_pool_with_an_extreme_wait_is_not_preferred(value):
    loads = {
        PoolId("a"): PoolLoad(0, value),
        PoolId("b"): PoolLoad(0, 0, 0, (value, value)),
        PoolId("c"): PoolLoad(0, 50),
    }
    found = first_to_end(loads, 1, WORK, WORK)
    assert found is not None
    assert found[0] == "c"


def failing_for_bad_job(method):
    """Return `method`, which raises an error for the job `BAD_JOB`."""

    def call(self, step, *args, **kwargs):
        if BAD_JOB in (getattr(self, "batch", None), getattr(step, "batch", None)):
            raise ZeroDivisionError(BAD_JOB)
        return method(self, step, *args, **kwargs)

    return call


# Guards against an error in the handling of one job that ends all others: wherever it
# is raised, that job alone fails, and is not reviewed for ever.
@pytest.mark.parametrize(
    ("owner", "name"),
    [
        (Durations, "expected"),
        (Dispatcher, "_start_tasks"),
        (LoadSharing, "_review_step"),
        (LoadSharing, "_misses_deadline"),
        (LoadSharing, "observe_demand"),
        (StepTasks, "work"),
    ],
)
@pytest.mark.parametrize("busy", [0, 2], ids=["free slots", "no free slot"])
def test_a_job_whose_handling_raises_an_error_fails_alone(
    monkeypatch, owner, name, busy
):
    monkeypatch.setattr(owner, name, failing_for_bad_job(getattr(owner, name)))
    events = []

    class Events(NullObject):
        def step_failed(self, batch, step, error, detail):
            events.append((batch, type(error)))

    monkeypatch.setattr("tests.pool.takeover.NullObject", Events)
    bad = request(claimed=False, job=BAD_JOB, width=2)

    async def scenario(pool):
        return await run_beside(pool, bad, before=busy or 1)

    _, (first, failing, last, _) = run_takeover(scenario, 1, duration=WORK)
    assert done_tasks(first)[:1] == [0]
    assert done_tasks(last) == [0, 1]
    if events:
        assert events == [(BAD_JOB, ZeroDivisionError)]
        assert failed_tasks(failing) == [0, 1]
        assert done_tasks(failing) == []
    else:
        # A job that finds free slots is not reviewed.
        assert name in ("_review_step", "_misses_deadline", "work")
        assert not busy
