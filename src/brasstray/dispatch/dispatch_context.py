"""Group the collaborators that all job runs of an entry host share."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from random import Random

    from anyio.abc import TaskGroup

    from brasstray.clock.clock import Clock
    from brasstray.dispatch.minion_pool import MinionPool
    from brasstray.dispatch.retry_budget import RetryBudget
    from brasstray.dispatch.timing import DispatchTiming
    from brasstray.metrics.entry_metrics import EntryMetrics
    from brasstray.minion.minions import Minions


@dataclass(frozen=True)
class DispatchContext:
    """Hold the collaborators of a job run; starts run as tasks in `group`."""

    group: TaskGroup
    pool: MinionPool
    minions: Minions
    clock: Clock
    random: Random
    timing: DispatchTiming
    metrics: EntryMetrics
    retry_budget: RetryBudget


__all__ = ["DispatchContext"]
