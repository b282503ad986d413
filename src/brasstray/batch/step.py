"""Define a group of identical tasks within a job."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from datetime import timedelta

    from brasstray.batch.resources import Resources


@dataclass(frozen=True)
class Step:
    """Hold the number of tasks and what each of them needs.

    `estimate` is the caller's estimate of one task's duration, often far off. `after`
    lists the steps that must be done first. `rack` is where the data is stored, `label`
    is one that the minion must have, and `max_per_minion` limits how many tasks run on
    one minion (0: no limit).
    """

    count: int
    needs: Resources
    estimate: timedelta
    after: tuple[int, ...] = ()
    rack: str = ""
    label: str = ""
    max_per_minion: int = 0


__all__ = ["Step"]
