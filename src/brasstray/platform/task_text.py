"""Spell the names of tasks as minions do."""

from __future__ import annotations

from brasstray.batch.ids import BatchId
from brasstray.batch.task_name import TaskName

# Jobs that repeat by a schedule number their occurrences; all others have one.
ONLY_OCCURRENCE = 0


def task_text(task: TaskName) -> str:
    """Return the wire's name of `task`."""
    return f"{task.batch}.{ONLY_OCCURRENCE}.{task.step}.{task.index}"


def task_name(text: str) -> TaskName:
    """Return the task called `text`; raise ValueError if it is no task's name."""
    batch, _, step, index = text.split(".")
    return TaskName(BatchId(batch), int(step), int(index))


__all__ = ["task_name", "task_text"]
