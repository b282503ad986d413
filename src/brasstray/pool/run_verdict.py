"""List why a run takes longer than usual."""

from __future__ import annotations

from enum import Enum


class RunVerdict(Enum):
    """List the causes of a run's duration, as far as its owner can tell.

    LONG_TASK: the task itself is long, so it would be as slow elsewhere.
    SLOW_MINION: the minion is slow, and the run is better begun again elsewhere.
    STUCK: the run does not move, while other runs on its minion may.
    """

    USUAL = "usual"
    LONG_TASK = "long_task"
    SLOW_MINION = "slow_minion"
    STUCK = "stuck"


__all__ = ["RunVerdict"]
