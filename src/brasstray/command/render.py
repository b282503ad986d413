"""Format answers for the terminal."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from brasstray.job.answer import Answer


def answer_lines(answer: Answer) -> list[str]:
    """Format `answer` as lines of text."""
    reason = f" ({answer.reason.value})" if answer.reason else ""
    lines = [f"{answer.key or 'no key'}: {answer.outcome.value}{reason}"]
    if answer.detail:
        lines.append(f"  {answer.detail}")
    states = Counter(task.state.value for task in answer.tasks)
    if states:
        counts = ", ".join(f"{count} {state}" for state, count in states.items())
        lines.append(f"  tasks: {counts}")
    if answer.committed is not None:
        lines.append(f"  the answer was committed as {answer.committed.value}")
    if answer.digest is not None:
        lines.append(f"  digest: {answer.digest}")
    if answer.retry_after_ms is not None:
        lines.append(f"  retry in {answer.retry_after_ms} ms with the same key")
    return lines


__all__ = ["answer_lines"]
