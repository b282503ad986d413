"""Define the observer of a coordinator's decisions, for logs and metrics."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from datetime import timedelta

    from brasstray.batch.ids import BatchId, PoolId
    from brasstray.batch.outcome import BatchResult, GiveUpReason
    from brasstray.coordinator.active_batch import ActiveBatch


class CoordinatorEvents(Protocol):
    """Receive each decision; implementations must not block."""

    def answered(
        self, active: ActiveBatch, result: BatchResult, took: timedelta
    ) -> None:
        """Record that a job has its result, `took` after it was submitted."""

    def request_refused(self, job: str, reason: GiveUpReason, detail: str) -> None:
        """Record that a job was refused before any task of it was queued."""

    def job_failed(self, batch: BatchId, error: Exception) -> None:
        """Record that handling a job raised an error, which ends the job."""

    def moved(self, active: ActiveBatch, count: int, pool: PoolId) -> None:
        """Record that tasks were sent to another pool than the previous one."""

    def claimed(self, active: ActiveBatch, count: int, pool: PoolId) -> None:
        """Record that tasks were requested again, from a new owner or on a new link."""


__all__ = ["CoordinatorEvents"]
