"""Check when a requester is told how its tasks ended."""

from __future__ import annotations

import msgspec
import pytest
from tests.conftest import run_virtual
from tests.pool.takeover import NullObject

from brasstray.batch.ids import RunNumber
from brasstray.batch.task_name import TaskName
from brasstray.clock.loop import LoopClock
from brasstray.peer.message.run_tasks import RunTasks
from brasstray.pool.pool_task import PoolTask, TaskPhase
from brasstray.pool.task_registry import TaskRegistry

JOB = "a" * 16


class Requester:
    name = "r"

    def __init__(self):
        self.messages = []

    def send(self, message):
        self.messages.append(("now", message.done, message.failed))

    def send_deferred(self, message):
        self.messages.append(("later", message.done, message.failed))


def request(width):
    return RunTasks(
        batch=JOB,
        step=0,
        indices=tuple(range(width)),
        width=width,
        queue="q",
        service="s",
        spec="",
        cpu_millis=1,
        memory_mb=1,
        gpus=0,
        estimate_ms=60,
        due_ms=100,
        useful_ms=300,
        limit_ms=1_000,
        priority=0,
        attempts=3,
    )


@pytest.mark.parametrize(
    ("ends", "told"),
    [
        ([True], [("now", (0,), ())]),
        (
            [True, True, True],
            [("later", (0,), ()), ("later", (1,), ()), ("now", (2,), ())],
        ),
        # A task that has failed for good ends its job: its caller need not wait.
        (
            [True, False, True],
            [("later", (0,), ()), ("now", (), (1,)), ("now", (2,), ())],
        ),
    ],
)
def test_ends_are_batched_until_the_last_of_their_step(ends, told):
    # A job of eight tasks ends with its last one. With a message for each, seven of
    # eight would wake the waiting host for nothing.
    requester = Requester()

    async def scenario():
        registry = TaskRegistry(LoopClock(), NullObject())
        step = registry.get_or_add(requester, request(len(ends)))
        for index in range(len(ends)):
            name = TaskName(JOB, 0, index)
            step.tasks[index] = PoolTask(name, step, TaskPhase.PLACED, RunNumber(1))
        for index, done in enumerate(ends):
            registry.finish(step.tasks[index], done=done)

    run_virtual(scenario)
    assert requester.messages == told


@pytest.mark.parametrize("later", ["begun", "claimed"])
def test_a_later_part_that_may_have_begun_marks_the_step(later):
    # Guards against a job that is called not run though a previous owner has started
    # it: tasks returned by another pool reach a new owner before the claims do.
    async def add_both():
        tasks = TaskRegistry(LoopClock(), NullObject())
        tasks.get_or_add(Requester(), request(2))
        part = msgspec.structs.replace(request(2), **{later: True})
        return tasks.get_or_add(Requester(), part).begun

    assert run_virtual(add_both)


def test_a_later_part_that_was_forwarded_marks_the_step():
    # Guards against tasks that two pools forward to each other.
    async def add_both():
        tasks = TaskRegistry(LoopClock(), NullObject())
        tasks.get_or_add(Requester(), request(2))
        part = msgspec.structs.replace(request(2), forwarded=True)
        return tasks.get_or_add(Requester(), part).forwarded

    assert run_virtual(add_both)
