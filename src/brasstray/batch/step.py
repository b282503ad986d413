"""Describe tasks of a job that are alike."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from datetime import timedelta

    from brasstray.batch.resources import Resources


@dataclass(frozen=True)
class Step:
    """Hold what each of `count` tasks needs.

    `estimate` is the caller's guess of one task's duration, often far off. `after`
    lists the steps that must be done first. `rack` is where the data lies, `label` what
    a minion must have, and `max_per_minion` bounds how many tasks share one (0: any).
    """

    count: int
    needs: Resources
    estimate: timedelta
    after: tuple[int, ...] = ()
    rack: str = ""
    label: str = ""
    max_per_minion: int = 0


__all__ = ["Step"]
