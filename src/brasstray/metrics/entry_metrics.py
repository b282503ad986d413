"""Count answers, retries, starts and peer messages with OpenTelemetry."""

from __future__ import annotations

from typing import TYPE_CHECKING

from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.metrics.export import InMemoryMetricReader

if TYPE_CHECKING:
    from enum import Enum

    from opentelemetry.metrics import Meter

_REASON = "reason"


class EntryMetrics:
    """Hold the counters of one entry host."""

    def __init__(self, meter: Meter) -> None:
        self._answers = meter.create_counter("brasstray.answers")
        self._reasons = meter.create_counter("brasstray.reasons")
        self._retries = meter.create_counter("brasstray.retries")
        self._starts = meter.create_counter("brasstray.starts")
        self._peer_calls = meter.create_counter("brasstray.peer_calls")

    def count_answer(self, outcome: Enum, reason: Enum | None) -> None:
        """Count an answer to a caller by outcome, and by reason if it has one."""
        self._answers.add(1, {"outcome": outcome.value})
        if reason is not None:
            self._reasons.add(1, {_REASON: reason.value})

    def count_retry(self, reason: Enum) -> None:
        """Count a start that had no result and is retried."""
        self._retries.add(1, {_REASON: reason.value})

    def count_start(self) -> None:
        """Count a task sent to a minion."""
        self._starts.add(1)

    def count_peer_call(self, kind: str) -> None:
        """Count a message to another entry host by kind."""
        self._peer_calls.add(1, {"kind": kind})


class InMemoryMetrics:
    """Keep counters in memory, for programs that print their totals."""

    def __init__(self) -> None:
        self._reader = InMemoryMetricReader()
        self._provider = MeterProvider([self._reader])

    def metrics(self, host: str) -> EntryMetrics:
        """Return the counters of `host`."""
        return EntryMetrics(self._provider.get_meter(host))

    def totals(self) -> dict[str, dict[str, int]]:
        """Return the sum over all hosts, by counter and attribute values."""
        totals: dict[str, dict[str, int]] = {}
        data = self._reader.get_metrics_data()
        for resource in data.resource_metrics if data else ():
            for scope in resource.scope_metrics:
                for metric in scope.metrics:
                    counts = totals.setdefault(metric.name, {})
                    for point in metric.data.data_points:
                        name = ",".join(map(str, (point.attributes or {}).values()))
                        counts[name] = counts.get(name, 0) + int(point.value)  # type: ignore[union-attr]
        return totals


__all__ = ["EntryMetrics", "InMemoryMetrics"]
