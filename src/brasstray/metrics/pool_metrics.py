"""Record metrics of hosts for jobs that are not stored."""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING

from opentelemetry.metrics import Observation

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from opentelemetry.metrics import CallbackOptions, Meter

    from brasstray.batch.outcome import BatchResult

_SECOND = timedelta(seconds=1)
_REASON = "reason"
# Up to 1 an answer is on time, up to 3 it is late, and above 3 it is of little use.
RATIO_BOUNDS = (0.25, 0.5, 0.75, 1.0, 1.5, 2.0, 3.0, 5.0, 10.0)
# From a network round trip to the wait after which most callers have disconnected.
WAIT_BOUNDS_SECONDS = (0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5)


class PoolMetrics:
    """Hold the counters, histograms and gauges of one host."""

    def __init__(self, meter: Meter) -> None:
        self._meter = meter
        self._answers = meter.create_counter(
            "brasstray_answers", description="jobs answered, by outcome"
        )
        self._reasons = meter.create_counter(
            "brasstray_reasons", description="refusals and other decisions, by reason"
        )
        self._rejections = meter.create_counter(
            "brasstray_rejections",
            description="rejections of owners, by priority and reason",
        )
        self._retries = meter.create_counter(
            "brasstray_retries", description="tasks asked for again, by reason"
        )
        self._run_ends = meter.create_counter(
            "brasstray_run_ends", description="runs ended, by how"
        )
        self._minion_restarts = meter.create_counter(
            "brasstray_minion_restarts",
            description="minions started again under their id, by where it was seen",
        )
        self._config_bytes = meter.create_counter(
            "brasstray_config_bytes",
            unit="By",
            description="configuration passed between hosts, by what became of it",
        )
        self._latency = meter.create_histogram(
            "brasstray_latency_ratio",
            description="response time over the objective",
            explicit_bucket_boundaries_advisory=RATIO_BOUNDS,
        )
        self._queue_wait = meter.create_histogram(
            "brasstray_queue_wait_seconds",
            unit="s",
            description="wait for a start",
            explicit_bucket_boundaries_advisory=WAIT_BOUNDS_SECONDS,
        )

    def add_gauge(
        self, name: str, description: str, read: Callable[[], Mapping[str, float]]
    ) -> None:
        """Add a gauge that calls `read` at each scrape; keys become the label `of`."""

        def observations(_: CallbackOptions) -> list[Observation]:
            return [Observation(value, {"of": key}) for key, value in read().items()]

        self._meter.create_observable_gauge(
            name, callbacks=[observations], description=description
        )

    def count_answer(
        self, result: BatchResult, elapsed: timedelta, objective: timedelta
    ) -> None:
        """Count an answer by outcome and reason, and record its latency ratio."""
        self._answers.add(1, {"outcome": result.outcome.value})
        self._latency.record(elapsed / max(objective, _SECOND / 1_000))
        if result.reason is not None:
            self.count_reason(result.reason.value)

    def count_reason(self, reason: str) -> None:
        """Count a refusal or another decision by its reason."""
        self._reasons.add(1, {_REASON: reason})

    def count_rejection(self, priority: int, reason: str) -> None:
        """Count a rejection by the owner of a pool."""
        self._rejections.add(1, {"priority": priority, _REASON: reason})

    def count_retry(self, reason: str) -> None:
        """Count a task that is requested again."""
        self._retries.add(1, {_REASON: reason})

    def count_minion_restart(self, seen_in: str) -> None:
        """Count a minion that started again under its id, by where it was seen."""
        self._minion_restarts.add(1, {"seen_in": seen_in})

    def count_config_bytes(self, use: str, size: int) -> None:
        """Count bytes of configurations exchanged with hosts, by their use."""
        self._config_bytes.add(size, {"what": use})

    def count_start(self, waited: timedelta) -> None:
        """Count a start, and record how long its task was queued."""
        self._queue_wait.record(waited / _SECOND)

    def count_end(self, end: str) -> None:
        """Count the end of a run, by how it ended."""
        self._run_ends.add(1, {"end": end})


__all__ = ["PoolMetrics"]
