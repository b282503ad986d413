"""Keep the tasks that the owner of a pool was asked to run."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta
from typing import TYPE_CHECKING

from brasstray.batch.limits import MAX_ESTIMATE
from brasstray.batch.resources import Resources
from brasstray.clock.bounded import bounded_ms
from brasstray.peer.message.tasks_ended import TasksEnded
from brasstray.peer.message.tasks_returned import TasksReturned
from brasstray.pool.pool_task import PoolTask, TaskPhase
from brasstray.pool.probe_reply import RunEnd
from brasstray.pool.step_tasks import StepTasks

if TYPE_CHECKING:
    from brasstray.batch.ids import BatchId
    from brasstray.batch.task_name import TaskName
    from brasstray.clock.clock import Clock
    from brasstray.peer.message.run_tasks import RunTasks
    from brasstray.pool.owner_events import OwnerEvents
    from brasstray.pool.requester import Requester

# How long ends are kept for a requester that asks again over a new link.
END_RETENTION = timedelta(seconds=3)


@dataclass(frozen=True, slots=True)
class _RecentEnd:
    end: RunEnd
    at: timedelta


class TaskRegistry:
    """Hold the steps that requesters asked for, and the run ends of recent seconds."""

    def __init__(self, clock: Clock, events: OwnerEvents) -> None:
        self._clock = clock
        self._events = events
        self._steps: dict[tuple[BatchId, int], StepTasks] = {}
        self._recent: dict[TaskName, _RecentEnd] = {}

    @property
    def steps(self) -> list[StepTasks]:
        """Return the steps with unfinished tasks."""
        return list(self._steps.values())

    def get_or_add(self, requester: Requester, message: RunTasks) -> StepTasks:
        """Return the step that `message` asks for, adding it if it is new."""
        key = (message.batch, message.step)
        step = self._steps.get(key)
        if step is None:
            now = self._clock.monotonic()
            step = self._steps[key] = _step_from(requester, message, now)
        # A caller may submit a job again through another host while the first host is
        # alive. It remains one job, and the later host gets the answer.
        step.requester = requester
        # Parts of a step may arrive in several ways: what is true of one is true of it.
        step.begun |= _may_have_begun(message)
        step.forwarded |= message.forwarded
        return step

    def has(self, step: StepTasks) -> bool:
        """Return whether `step` has unfinished tasks that are still wanted."""
        return self._steps.get((step.batch, step.step)) is step

    def find(self, name: TaskName) -> PoolTask | None:
        """Return the task called `name`, or None if it has ended or is not wanted."""
        step = self._steps.get((name.batch, name.step))
        return step.tasks.get(name.index) if step else None

    def drop(self, step: StepTasks, reason: str) -> None:
        """Remove a step that is no longer wanted."""
        self._events.dropped(step, reason)
        del self._steps[step.batch, step.step]
        step.waiting.clear()

    def queue(self, task: PoolTask) -> None:
        """Queue `task` for a start."""
        task.phase = TaskPhase.WAITING
        task.parent_step.waiting.append(task)

    def unqueue(self, task: PoolTask) -> None:
        """Remove `task` from the queue if it is waiting."""
        if task.phase is TaskPhase.WAITING:
            task.parent_step.waiting.remove(task)

    def finish(self, task: PoolTask, *, done: bool) -> None:
        """Report the end of `task` to its requester, and remove it."""
        step = task.parent_step
        del step.tasks[task.name.index]
        self.remember_end(task.name, RunEnd.DONE if done else RunEnd.FAILED)
        self.report_end(step, task.name.index, done=done)
        self.forget_if_empty(step)

    def report_end(self, step: StepTasks, index: int, *, done: bool) -> None:
        """Report the end of one task of `step` to its requester."""
        message = TasksEnded(
            batch=step.batch,
            step=step.step,
            done=(index,) if done else (),
            failed=() if done else (index,),
        )
        # The requester cannot act on one end while other ends of the step are due from
        # here, so they share a message.
        if done and step.tasks:
            step.requester.send_deferred(message)
        else:
            step.requester.send(message)

    def give_up(self, task: PoolTask) -> None:
        """Return a task that may be running or have ended, its outcome unknown."""
        step, index = task.parent_step, task.name.index
        del step.tasks[index]
        self._events.dropped(step, "outcome_unknown")
        step.requester.send(
            TasksReturned(
                batch=step.batch, step=step.step, indices=(index,), outcome_unknown=True
            )
        )
        self.forget_if_empty(step)

    def recent_end(self, name: TaskName) -> RunEnd | None:
        """Return how `name` ended if that was in the last seconds, else None."""
        recent = self._recent.get(name)
        return recent.end if recent is not None else None

    def remember_end(self, name: TaskName, end: RunEnd) -> None:
        """Remember how a run of `name` ended, for a later claim to the task."""
        self._recent.pop(name, None)
        self._recent[name] = _RecentEnd(end, self._clock.monotonic())

    def forget_old_ends(self) -> None:
        """Forget the ends that were not claimed within END_RETENTION."""
        oldest = self._clock.monotonic() - END_RETENTION
        while self._recent:
            name = next(iter(self._recent))
            if self._recent[name].at > oldest:
                return
            del self._recent[name]

    def forget_if_empty(self, step: StepTasks) -> None:
        """Remove `step` once it has no tasks left here."""
        if not step.tasks:
            self._steps.pop((step.batch, step.step), None)


def _step_from(requester: Requester, message: RunTasks, now: timedelta) -> StepTasks:
    return StepTasks(
        batch=message.batch,
        step=message.step,
        requester=requester,
        service=message.service,
        spec=message.spec,
        needs=Resources(message.cpu_millis, message.memory_mb, message.gpus),
        estimate=min(bounded_ms(max(1, message.estimate_ms)), MAX_ESTIMATE),
        arrived=now,
        due=now + bounded_ms(message.due_ms),
        useful_until=now + bounded_ms(message.useful_ms),
        limit=now + bounded_ms(message.limit_ms),
        priority=message.priority,
        attempts=message.attempts,
        rack=message.rack,
        label=message.label,
        max_per_minion=message.max_per_minion,
        forwarded=message.forwarded,
        queue=message.queue,
        width=message.width,
        begun=_may_have_begun(message),
    )


def _may_have_begun(message: RunTasks) -> bool:
    return message.begun or message.claimed


__all__ = ["TaskRegistry"]
