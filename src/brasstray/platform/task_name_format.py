"""Format and parse task names as minions use them."""

from __future__ import annotations

from brasstray.batch.ids import BatchId
from brasstray.batch.task_name import TaskName

# Jobs that repeat on a schedule number their occurrences; other jobs have this one.
ONLY_OCCURRENCE = 0


def format_task_name(task: TaskName) -> str:
    """Format a task name as batch.occurrence.step.index."""
    return f"{task.batch}.{ONLY_OCCURRENCE}.{task.step}.{task.index}"


def parse_task_name(text: str) -> TaskName:
    """Parse a task name; raise ValueError if it is malformed."""
    batch, _, step, index = text.split(".")
    return TaskName(BatchId(batch), int(step), int(index))


__all__ = ["format_task_name", "parse_task_name"]
