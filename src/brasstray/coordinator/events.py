"""Define who is told of the decisions of a coordinator, for logs and counters."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from datetime import timedelta

    from brasstray.batch.ids import PoolId
    from brasstray.batch.outcome import BatchResult
    from brasstray.coordinator.active_batch import ActiveBatch


class CoordinatorEvents(Protocol):
    """Receive decisions; never blocks."""

    def answered(
        self, active: ActiveBatch, result: BatchResult, took: timedelta
    ) -> None:
        """A job has its result."""

    def moved(self, active: ActiveBatch, count: int, pool: PoolId) -> None:
        """Tasks go to another pool than the one first asked."""

    def claimed(self, active: ActiveBatch, count: int, pool: PoolId) -> None:
        """Tasks are asked for again at a pool with a new owner or link."""


__all__ = ["CoordinatorEvents"]
