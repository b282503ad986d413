"""Define who is told of the decisions of an owner, for logs and counters."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from datetime import timedelta

    from brasstray.batch.ids import PoolId
    from brasstray.pool.errors import StartRefusal
    from brasstray.pool.lease_reckoning import LeaseReckoning
    from brasstray.pool.minion import Minion
    from brasstray.pool.minion_health import Evidence
    from brasstray.pool.pool_task import TaskPhase
    from brasstray.pool.probe_reply import RunEnd
    from brasstray.pool.run_record import RunRecord
    from brasstray.pool.step_tasks import StepTasks


class OwnerEvents(Protocol):
    """Receive decisions; never blocks."""

    def started(self, minion: Minion, record: RunRecord, waited: timedelta) -> None:
        """A start is being sent."""

    def ended(self, minion: Minion, record: RunRecord, end: RunEnd) -> None:
        """A run has ended."""

    def refused(self, minion: Minion, record: RunRecord, why: StartRefusal) -> None:
        """A minion refused a start."""

    def unanswered(self, minion: Minion, record: RunRecord) -> None:
        """A start had no response."""

    def run_found(
        self, minion: Minion, record: RunRecord, phase: TaskPhase | None
    ) -> None:
        """A run is seen that this owner did not start.

        `phase` is where its task was until then; None if nobody asks for it.
        """

    def leases_expired(
        self, minion: Minion, reckoning: LeaseReckoning, *, certain: bool
    ) -> None:
        """All runs on an unreachable minion have ended.

        Unless that is `certain`, their tasks are returned with an unknown outcome.
        """

    def recovered(
        self, pool: PoolId, minions: int, unreached: int, queued: int, given_up: int
    ) -> None:
        """An owner knows what its minions run, or waits no longer to learn it.

        Of the tasks that an earlier owner had, so many run nowhere and are queued, and
        so many are returned with an unknown outcome.
        """

    def suspected(self, minion: Minion, why: Evidence) -> None:
        """A minion gets no tasks for a while."""

    def trusted(self, minion: Minion) -> None:
        """A suspected minion has ended a run well."""

    def reach_changed(self, minion: Minion) -> None:
        """A minion came into reach or went out of it."""

    def forwarded(self, step: StepTasks, count: int, pool: str) -> None:
        """Tasks were forwarded to a pool that has free capacity."""

    def evacuated_tasks(self, step: StepTasks, count: int, pool: str) -> None:
        """Tasks were sent to another pool, as their own is evacuated."""

    def rejected(
        self, step: StepTasks, count: int, wait_ms: int, *, evacuated: bool
    ) -> None:
        """Tasks were refused, as they could not end before their caller leaves.

        Where the data centre is evacuated, no other pool was reachable to send them to.
        """

    def dropped(self, step: StepTasks, why: str) -> None:
        """The tasks of a step are not wanted any more."""


__all__ = ["OwnerEvents"]
