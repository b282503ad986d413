"""Log the events of a host, and count those that operators monitor."""

from __future__ import annotations

import traceback
from datetime import timedelta
from pathlib import Path
from typing import TYPE_CHECKING

from eliot import log_message

from brasstray.batch.outcome import BatchOutcome
from brasstray.pool.probe_reply import RunEnd

if TYPE_CHECKING:
    from brasstray.batch.evacuation_set import EvacuationSet
    from brasstray.batch.ids import BatchId, ConfigVersion, FencingToken, PoolId
    from brasstray.batch.outcome import BatchResult, GiveUpReason
    from brasstray.coordinator.active_batch import ActiveBatch
    from brasstray.job.ids import HostName
    from brasstray.metrics.pool_metrics import PoolMetrics
    from brasstray.pool.errors import StartRefusal
    from brasstray.pool.incarnation import SeenIn
    from brasstray.pool.lease_snapshot import LeaseSnapshot
    from brasstray.pool.minion import Minion
    from brasstray.pool.minion_health import Evidence
    from brasstray.pool.pool_task import TaskPhase
    from brasstray.pool.rejection_reason import RejectionReason
    from brasstray.pool.run_record import RunRecord
    from brasstray.pool.run_verdict import RunVerdict
    from brasstray.pool.step_tasks import StepTasks

_MILLISECOND = timedelta(milliseconds=1)
# Ignored entries that are remembered as logged; a fleet has a few hundred minions.
MAX_IGNORED_ENTRIES = 1_000
MAX_ERROR_LENGTH = 200


class EventLog:
    """Log events with eliot and count them."""

    def __init__(self, metrics: PoolMetrics) -> None:
        self._metrics = metrics
        self._unavailable: set[str] = set()
        self._ignored_reasons: dict[str, str] = {}

    # Jobs

    def answered(
        self, active: ActiveBatch, result: BatchResult, elapsed: timedelta
    ) -> None:
        """Record the result of a job."""
        objective = active.due - active.submitted_at
        self._metrics.count_answer(result, elapsed, objective)
        reason = result.reason.value if result.reason else None
        log_message(
            "brasstray:answer",
            job=active.batch.id,
            queue=active.queue.name,
            tasks=sum(step.count for step in active.batch.steps),
            outcome=result.outcome.value,
            reason=reason,
            took_ms=elapsed // _MILLISECOND,
            objective_ms=objective // _MILLISECOND,
            timeout_ms=(active.limit - active.submitted_at) // _MILLISECOND,
            unfinished={
                f"{step}.{index}": pool
                for (step, index), pool in list(active.placed.items())[:8]
            }
            if result.outcome is not BatchOutcome.SUCCEEDED
            else None,
        )

    def job_failed(self, batch: BatchId, error: Exception) -> None:
        """Record that handling a job raised an error, which ends the job."""
        self._metrics.count_reason("job_error")
        log_message(
            "brasstray:job_error",
            job=batch,
            error=repr(error)[:MAX_ERROR_LENGTH],
            where=_origin(error),
        )

    def moved(self, active: ActiveBatch, count: int, pool: PoolId) -> None:
        """Record that tasks are sent to another pool than the first one."""
        self._metrics.count_reason("moved")
        log_message("brasstray:moved", job=active.batch.id, tasks=count, pool=pool)

    def claimed(self, active: ActiveBatch, count: int, pool: PoolId) -> None:
        """Record that tasks are claimed again from a pool with a new owner or link."""
        self._metrics.count_retry("claimed")
        log_message("brasstray:claimed", job=active.batch.id, tasks=count, pool=pool)

    # Runs

    def started(self, minion: Minion, record: RunRecord, waited: timedelta) -> None:
        """Record that a start is being sent."""
        del minion, record
        self._metrics.count_start(waited)

    def ended(self, minion: Minion, record: RunRecord, end: RunEnd) -> None:
        """Record the end of a run; only runs that did not succeed are logged."""
        self._metrics.count_end(end.value)
        if end is RunEnd.DONE:
            return
        log_message(
            "brasstray:run_ended",
            **_run_fields(minion, record),
            end=end.value,
            percent=record.percent,
            expected_ms=record.expected // _MILLISECOND,
            wanted=record.task is not None,
        )

    def refused(self, minion: Minion, record: RunRecord, reason: StartRefusal) -> None:
        """Record that a minion refused a start."""
        self._metrics.count_retry(reason.value)
        log_message(
            "brasstray:start_refused",
            **_run_fields(minion, record),
            reason=reason.value,
        )

    def unanswered(self, minion: Minion, record: RunRecord) -> None:
        """Record that a start had no response."""
        self._metrics.count_retry("unanswered")
        log_message(
            "brasstray:start_unanswered",
            **_run_fields(minion, record),
        )

    def run_found(
        self, minion: Minion, record: RunRecord, phase: TaskPhase | None
    ) -> None:
        """Record a run that this owner did not start."""
        log_message(
            "brasstray:run_found",
            **_run_fields(minion, record),
            phase=phase.value if phase else None,
        )

    def restarted(
        self, before: Minion, after: Minion, seen_in: SeenIn, ended: int, open_runs: int
    ) -> None:
        """Record that a minion has started again under its id."""
        self._metrics.count_minion_restart(seen_in.value)
        log_message(
            "brasstray:minion_restarted",
            minion=after.entry.id,
            born_before=before.entry.born,
            born=after.entry.born,
            seen_in=seen_in.value,
            ended=ended,
            open=open_runs,
        )

    def leases_expired(
        self, minion: Minion, lease_snapshot: LeaseSnapshot, *, certain: bool
    ) -> None:
        """Record that the leases of all runs on an unreachable minion have expired."""
        self._metrics.count_reason("leases_expired" if certain else "expiry_uncertain")
        log_message(
            "brasstray:leases_expired",
            minion=minion.entry.id,
            reach=minion.reach.value,
            runs=len(minion.runs),
            certain=certain,
            asked=lease_snapshot.asked,
            until_ms=lease_snapshot.until_ms,
            clock_ms=lease_snapshot.clock_ms,
            shown_ago_ms=lease_snapshot.clock_age // _MILLISECOND,
        )

    def recovered(
        self, pool: PoolId, minions: int, unreached: int, queued: int, given_up: int
    ) -> None:
        """Record that an owner has recovered its pool, or stopped waiting to."""
        log_message(
            "brasstray:pool_recovered",
            pool=pool,
            minions=minions,
            unreached=unreached,
            queued=queued,
            given_up=given_up,
        )

    def orphans_stopped(self, pool: PoolId, runs: int, contact_age: timedelta) -> None:
        """Record that a new owner stops the runs that no coordinator has claimed."""
        self._metrics.count_reason("orphans_stopped")
        log_message(
            "brasstray:orphans_stopped",
            pool=pool,
            runs=runs,
            contact_age_ms=contact_age // _MILLISECOND,
        )

    def renewal_withheld(self, minion: Minion, contact_age: timedelta) -> None:
        """Record that the leases on a minion are not renewed, because of one run."""
        self._metrics.count_reason("renewal_withheld")
        log_message(
            "brasstray:renewal_withheld",
            minion=minion.entry.id,
            runs=len(minion.runs),
            contact_age_ms=contact_age // _MILLISECOND,
        )

    def straggler_stopped(
        self, minion: Minion, record: RunRecord, reason: RunVerdict
    ) -> None:
        """Record that a run is stopped so that its task begins again elsewhere."""
        self._metrics.count_reason(f"straggler_{reason.value}")
        log_message(
            "brasstray:straggler_stopped",
            **_run_fields(minion, record),
            reason=reason.value,
            percent=record.percent,
            expected_ms=record.expected // _MILLISECOND,
        )

    def long_task(self, minion: Minion, record: RunRecord) -> None:
        """Record that a run is slow because its task is long."""
        self._metrics.count_reason("long_task")
        log_message(
            "brasstray:long_task",
            **_run_fields(minion, record),
            percent=record.percent,
            expected_ms=record.expected // _MILLISECOND,
        )

    def suspected(self, minion: Minion, reason: Evidence) -> None:
        """Record that a minion is suspected and gets no tasks for a while."""
        self._metrics.count_reason(f"suspected_{reason.value}")
        log_message(
            "brasstray:minion_suspected", minion=minion.entry.id, evidence=reason.value
        )

    def trusted(self, minion: Minion) -> None:
        """Record that a suspected minion has completed a run."""
        log_message("brasstray:minion_trusted", minion=minion.entry.id)

    def reach_changed(self, minion: Minion) -> None:
        """Record that the reachability of a minion has changed."""
        log_message(
            "brasstray:minion_reach",
            minion=minion.entry.id,
            address=f"{minion.entry.host}:{minion.entry.port}",
            reach=minion.reach.value,
            runs=len(minion.runs),
        )

    def forwarded(self, step: StepTasks, count: int, pool: str) -> None:
        """Record that tasks were forwarded to a pool with free capacity."""
        self._metrics.count_reason("forwarded")
        log_message("brasstray:forwarded", job=step.batch, tasks=count, pool=pool)

    def evacuated_tasks(self, step: StepTasks, count: int, pool: str) -> None:
        """Record that tasks were sent to another pool, as theirs is evacuated."""
        self._metrics.count_reason("evacuated_tasks")
        log_message("brasstray:evacuated_tasks", job=step.batch, tasks=count, pool=pool)

    def rejected(
        self, step: StepTasks, count: int, wait_ms: int, reason: RejectionReason
    ) -> None:
        """Record that tasks were refused, as they could not end before the timeout."""
        self._metrics.count_reason("evacuated" if reason.evacuated else "rejected")
        self._metrics.count_rejection(step.priority, reason.name)
        log_message(
            "brasstray:rejected",
            job=step.batch,
            tasks=count,
            wait_ms=wait_ms,
            evacuated=reason.evacuated,
            shortage=reason.shortage,
            priority=step.priority,
            caller=step.requester.name,
            share=round(reason.share, 2),
            report_age_ms=reason.report_age_ms,
        )

    def step_failed(
        self, batch: BatchId, step: int, error: BaseException | None, detail: str
    ) -> None:
        """Record that the tasks of a step have failed without a run."""
        self._metrics.count_reason("step_failed")
        log_message(
            "brasstray:step_failed",
            job=batch,
            step=step,
            error=detail[:MAX_ERROR_LENGTH],
            where=_origin(error),
        )

    def dropped(self, step: StepTasks, reason: str) -> None:
        """Record that the tasks of a step are no longer needed."""
        self._metrics.count_reason(f"dropped_{reason}")
        log_message(
            "brasstray:dropped", job=step.batch, tasks=len(step.tasks), reason=reason
        )

    # The host

    def config_adopted(self, version: ConfigVersion, source: str) -> None:
        """Record that a newer configuration is in force."""
        log_message("brasstray:config_adopted", version=version, source=source)

    def config_wanted(self, host: str, version: ConfigVersion, known: int) -> None:
        """Record that a newer configuration is requested from a host."""
        self._metrics.count_reason("config_wanted")
        log_message("brasstray:config_wanted", host=host, version=version, known=known)

    def config_not_told(self, host: str, version: ConfigVersion, known: int) -> None:
        """Record that the host sent no further part before the timeout."""
        self._metrics.count_reason("config_not_told")
        log_message(
            "brasstray:config_not_told", host=host, version=version, known=known
        )

    def config_told(self, host: str, version: ConfigVersion, size: int) -> None:
        """Record that the last part of a text of `size` bytes was sent to a host."""
        self._metrics.count_reason("config_told")
        self._metrics.count_config_bytes("told", size)
        log_message("brasstray:config_told", host=host, version=version, bytes=size)

    def config_unneeded(self, source: str, size: int) -> None:
        """Record that `size` bytes of text were received and discarded."""
        self._metrics.count_reason("config_unneeded")
        self._metrics.count_config_bytes("unneeded", size)
        log_message("brasstray:config_unneeded", source=source, bytes=size)

    def config_unreadable(self, source: str, reason: str) -> None:
        """Record that a configuration cannot be parsed; the last one stays in force."""
        log_message("brasstray:config_unreadable", source=source, reason=reason)

    def evacuations_changed(self, evacuations: EvacuationSet, source: str) -> None:
        """Record that the set of evacuated data centres has changed."""
        self._metrics.count_reason("evacuations_changed")
        log_message(
            "brasstray:evacuations_changed",
            data_centres=sorted(evacuations.data_centres),
            as_of=evacuations.as_of,
            source=source,
        )

    def request_refused(self, job: str, reason: GiveUpReason, detail: str) -> None:
        """Record that a request was refused before any task of it was queued."""
        self._metrics.count_reason(reason.value)
        log_message(
            "brasstray:refused", job=job, reason=reason.value, detail=detail[:200]
        )

    def entry_ignored(self, name: str, reason: str) -> None:
        """Record an ignored entry of the store; log it when the reason changes."""
        if self._note_reason(name, reason):
            self._metrics.count_reason("entry_ignored")
            log_message("brasstray:entry_ignored", name=name, reason=reason[:200])

    def _note_reason(self, name: str, reason: str) -> bool:
        """Return whether `reason` differs from the last one for `name`."""
        if self._ignored_reasons.get(name) == reason:
            return False
        if len(self._ignored_reasons) >= MAX_IGNORED_ENTRIES:
            self._ignored_reasons.clear()
        self._ignored_reasons[name] = reason
        return True

    def history_lost(self, name: str) -> None:
        """Record that the store has discarded its history and is read in full."""
        log_message("brasstray:history_lost", what=name)

    def store_lost(self, name: str, reason: str) -> None:
        """Record a failed request for `name` to the store; log it once per outage."""
        self._metrics.count_reason("store_unavailable")
        if name not in self._unavailable:
            self._unavailable.add(name)
            log_message("brasstray:store_lost", what=name, reason=reason)

    def store_back(self, name: str) -> None:
        """Record that the store answers requests for `name` again."""
        if name in self._unavailable:
            self._unavailable.discard(name)
            log_message("brasstray:store_back", what=name)

    def pool_taken(
        self,
        pool: PoolId,
        token: FencingToken,
        reason: str,
        contact_age: timedelta | None,
    ) -> None:
        """Record that this host owns a pool."""
        self._metrics.count_reason("pool_taken")
        log_message(
            "brasstray:pool_taken",
            pool=pool,
            token=token,
            reason=reason,
            contact_age_ms=None if contact_age is None else contact_age // _MILLISECOND,
        )

    def pool_moving(self, pool: PoolId, to: HostName) -> None:
        """Record that a host with more power is asked to take the pool."""
        self._metrics.count_reason("pool_moving")
        log_message("brasstray:pool_moving", pool=pool, to=to)

    def pool_left(self, pool: PoolId, token: FencingToken, reason: str) -> None:
        """Record that this host no longer owns a pool."""
        log_message("brasstray:pool_left", pool=pool, token=token, reason=reason)

    def pool_claim_failed(self, pool: PoolId, reason: str) -> None:
        """Record that another host was faster, or that the store gave no answer."""
        log_message("brasstray:pool_claim_failed", pool=pool, reason=reason)

    def owner_reached(self, pool: PoolId, host: str) -> None:
        """Record that the owner of a pool is reachable."""
        log_message("brasstray:owner_reached", pool=pool, host=host)

    def owner_lost(self, pool: PoolId, host: str, reason: str) -> None:
        """Record that the owner of a pool is unreachable."""
        log_message("brasstray:owner_lost", pool=pool, host=host, reason=reason)

    def values_adopted(self, source: str, count: int, oldest_age: timedelta) -> None:
        """Record that the owner here uses values that another one has learned."""
        self._metrics.count_reason("values_adopted")
        log_message(
            "brasstray:values_adopted",
            source=source,
            values=count,
            oldest_ms=oldest_age // _MILLISECOND,
        )

    def values_ignored(self, source: str, count: int, reason: str) -> None:
        """Record ignored values of a host; log them when the reason changes."""
        self._metrics.count_reason("values_ignored")
        if self._note_reason(f"values of {source}", reason):
            log_message(
                "brasstray:values_ignored",
                source=source,
                values=count,
                reason=reason[:200],
            )

    def requester_reached(self, host: str) -> None:
        """Record that a host has opened a link to this one."""
        log_message("brasstray:requester_reached", host=host)

    def requester_lost(self, host: str, reason: str) -> None:
        """Record that a host that requested tasks is unreachable."""
        log_message("brasstray:requester_lost", host=host, reason=reason)

    def message_oversized(self, host: str, kind: str) -> None:
        """Record that a message for a host is too large to be sent, and dropped."""
        self._metrics.count_reason("message_oversized")
        log_message("brasstray:message_oversized", host=host, kind=kind)

    def loop_late(self, milliseconds: int) -> None:
        """Record that the event loop of this process lagged by too much."""
        self._metrics.count_reason("loop_late")
        log_message("brasstray:loop_late", milliseconds=milliseconds)

    def suspended(self, milliseconds: int) -> None:
        """Record that this process was suspended and discards what it knew."""
        log_message("brasstray:suspended", milliseconds=milliseconds)

    def draining(self) -> None:
        """Record that this host is draining: it finishes its jobs and leaves."""
        log_message("brasstray:draining")


def _origin(error: BaseException | None) -> str:
    """Return the file and line at which `error` was raised."""
    trace = traceback.extract_tb(error.__traceback__) if error else None
    return f"{Path(trace[-1].filename).name}:{trace[-1].lineno}" if trace else ""


def _run_fields(minion: Minion, record: RunRecord) -> dict[str, object]:
    """Return the fields that identify a run in a log line."""
    return {
        "job": record.name.batch,
        "task": f"{record.name.step}.{record.name.index}",
        "run": record.run,
        "minion": minion.entry.id,
    }


__all__ = ["EventLog"]
