"""Count what hosts do with jobs that are not stored."""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from opentelemetry.metrics import Meter

    from brasstray.batch.outcome import BatchResult

_SECOND = timedelta(seconds=1)
_REASON = "reason"


class PoolMetrics:
    """Hold the counters and histograms of one host."""

    def __init__(self, meter: Meter) -> None:
        self._answers = meter.create_counter(
            "brasstray_answers", description="jobs answered, by outcome"
        )
        self._reasons = meter.create_counter(
            "brasstray_reasons", description="refusals and other decisions, by reason"
        )
        self._retries = meter.create_counter(
            "brasstray_retries", description="tasks asked for again, by reason"
        )
        self._ends = meter.create_counter(
            "brasstray_run_ends", description="runs ended, by how"
        )
        self._latency = meter.create_histogram(
            "brasstray_latency_ratio",
            description="response time over the objective",
        )
        self._wait = meter.create_histogram(
            "brasstray_queue_wait_seconds", unit="s", description="wait for a start"
        )

    def count_answer(
        self, result: BatchResult, took: timedelta, objective: timedelta
    ) -> None:
        """Count an answer by outcome and reason, and its time over the objective."""
        self._answers.add(1, {"outcome": result.outcome.value})
        self._latency.record(took / max(objective, _SECOND / 1_000))
        if result.reason is not None:
            self.count_reason(result.reason.value)

    def count_reason(self, reason: str) -> None:
        """Count a refusal or another decision by its reason."""
        self._reasons.add(1, {_REASON: reason})

    def count_retry(self, reason: str) -> None:
        """Count a task that is asked for again."""
        self._retries.add(1, {_REASON: reason})

    def count_start(self, waited: timedelta) -> None:
        """Count a start and how long its task had waited."""
        self._wait.record(waited / _SECOND)

    def count_end(self, how: str) -> None:
        """Count the end of a run."""
        self._ends.add(1, {"end": how})


__all__ = ["PoolMetrics"]
