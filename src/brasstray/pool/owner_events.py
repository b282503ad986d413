"""Define the receiver of an owner's decisions, for logs and counters."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from datetime import timedelta

    from brasstray.batch.ids import BatchId, PoolId
    from brasstray.pool.errors import StartRefusal
    from brasstray.pool.incarnation import SeenIn
    from brasstray.pool.lease_snapshot import LeaseSnapshot
    from brasstray.pool.minion import Minion
    from brasstray.pool.minion_health import Evidence
    from brasstray.pool.pool_task import TaskPhase
    from brasstray.pool.probe_reply import RunEnd
    from brasstray.pool.rejection_reason import RejectionReason
    from brasstray.pool.run_record import RunRecord
    from brasstray.pool.run_verdict import RunVerdict
    from brasstray.pool.step_tasks import StepTasks


class OwnerEvents(Protocol):
    """Receive the decisions of an owner; never blocks."""

    def started(self, minion: Minion, record: RunRecord, waited: timedelta) -> None:
        """A start is being sent."""

    def ended(self, minion: Minion, record: RunRecord, end: RunEnd) -> None:
        """A run has ended."""

    def refused(self, minion: Minion, record: RunRecord, reason: StartRefusal) -> None:
        """A minion refused a start."""

    def unanswered(self, minion: Minion, record: RunRecord) -> None:
        """A start had no response."""

    def run_found(
        self, minion: Minion, record: RunRecord, phase: TaskPhase | None
    ) -> None:
        """A run was found that this owner did not start.

        `phase` is the phase of its task until then; None if no requester asks for it.
        """

    def restarted(
        self, before: Minion, after: Minion, seen_in: SeenIn, ended: int, open_runs: int
    ) -> None:
        """A minion has started again under its id.

        `ended` of its runs have ended with it. `open_runs` may begin after it, as it
        had not reported them, and are stopped first.
        """

    def leases_expired(
        self, minion: Minion, lease_snapshot: LeaseSnapshot, *, certain: bool
    ) -> None:
        """All leases on an unreachable minion have expired, and its runs have ended.

        Unless that is `certain`, their tasks are returned with an unknown outcome.
        """

    def recovered(
        self, pool: PoolId, minions: int, unreached: int, queued: int, given_up: int
    ) -> None:
        """A new owner knows the runs on its minions, or has stopped waiting for them.

        `unreached` minions have not answered. Of the tasks that a previous owner had,
        `queued` run nowhere and are queued, and `given_up` are returned with an unknown
        outcome.
        """

    def orphans_stopped(self, pool: PoolId, runs: int, contact_age: timedelta) -> None:
        """The runs that no coordinator has claimed are stopped after a takeover.

        `contact_age` is the age of the last contact between their coordinators and a
        previous owner, at most.
        """

    def renewal_withheld(self, minion: Minion, contact_age: timedelta) -> None:
        """The leases on a minion are not renewed, because of one run there.

        Its coordinator was last heard `contact_age` ago, or has cancelled it then.
        """

    def straggler_stopped(
        self, minion: Minion, record: RunRecord, reason: RunVerdict
    ) -> None:
        """A run is stopped, and its task begins again elsewhere."""

    def long_task(self, minion: Minion, record: RunRecord) -> None:
        """A run is slow because its task is long; it continues."""

    def suspected(self, minion: Minion, reason: Evidence) -> None:
        """A minion was suspended and gets no tasks for a while."""

    def trusted(self, minion: Minion) -> None:
        """A minion is no longer suspected."""

    def reach_changed(self, minion: Minion) -> None:
        """A minion became reachable or unreachable."""

    def forwarded(self, step: StepTasks, count: int, pool: str) -> None:
        """Tasks were forwarded to a pool that has free capacity."""

    def evacuated_tasks(self, step: StepTasks, count: int, pool: str) -> None:
        """Tasks were sent to another pool, as their data centre is evacuated."""

    def rejected(
        self, step: StepTasks, count: int, wait_ms: int, reason: RejectionReason
    ) -> None:
        """Tasks were rejected, as they could not end in time.

        In an evacuated data centre, no other pool was reachable to send them to.
        """

    def step_failed(
        self, batch: BatchId, step: int, error: BaseException | None, detail: str
    ) -> None:
        """The tasks of a step have failed, by `error` or by what they need."""

    def dropped(self, step: StepTasks, reason: str) -> None:
        """The tasks of a step are no longer wanted, or their outcome is unknown."""


__all__ = ["OwnerEvents"]
