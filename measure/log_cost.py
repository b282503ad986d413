"""Measure the CPU time of a log line and of a scrape of the metrics."""

from __future__ import annotations

import os
import time
from dataclasses import dataclass
from datetime import timedelta
from typing import TYPE_CHECKING

from eliot import add_destinations, log_message, remove_destination
from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.metrics.export import InMemoryMetricReader

from brasstray.batch.outcome import BatchOutcome, BatchResult
from brasstray.clock.loop import LoopClock
from brasstray.log.bounded_output import (
    MAX_BUFFERED_LINES,
    MAX_LINES_PER_SECOND,
    BoundedOutput,
)
from brasstray.metrics.pool_metrics import PoolMetrics
from brasstray.metrics.prometheus_text import prometheus_text

if TYPE_CHECKING:
    from collections.abc import Callable

ROUNDS = 40
SCRAPES = 200
REASONS = 30


@dataclass(frozen=True)
class CostRow:
    """Hold the CPU time and size of one log line or scrape."""

    what: str
    processor_us: float
    bytes_each: float


def run(seed: int) -> list[CostRow]:
    """Return one row for each cost; `seed` is not used."""
    del seed
    return [_written_lines(), _dropped_lines(), _scrape()]


def _log_answer(number: int) -> None:
    log_message(
        "brasstray:answer",
        job=f"{number:016x}",
        queue="saldo",
        tasks=8,
        outcome="succeeded",
        reason=None,
        took_ms=95,
        objective_ms=156,
        patience_ms=1_900,
        unfinished=None,
    )


def _written_lines() -> CostRow:
    readable, writable = os.pipe()
    os.set_blocking(readable, False)
    output = BoundedOutput(writable, LoopClock())
    written = 0

    def lines() -> None:
        nonlocal written
        for number in range(MAX_LINES_PER_SECOND // ROUNDS):
            _log_answer(number)
        output.flush()
        written += len(os.read(readable, 1 << 20))

    count = MAX_LINES_PER_SECOND // ROUNDS * ROUNDS
    cpu_us = _cpu_us_with_output(output, lambda: [lines() for _ in range(ROUNDS)])
    os.close(readable)
    os.close(writable)
    return CostRow("log line, written", cpu_us / count, written / count)


def _dropped_lines() -> CostRow:
    output = BoundedOutput(os.open(os.devnull, os.O_WRONLY), LoopClock())
    for number in range(MAX_BUFFERED_LINES):
        output({"number": number})
    cpu_us = _cpu_us_with_output(
        output, lambda: [_log_answer(n) for n in range(MAX_BUFFERED_LINES)]
    )
    return CostRow("log line, dropped", cpu_us / MAX_BUFFERED_LINES, 0.0)


def _cpu_us_with_output(output: BoundedOutput, work: Callable[[], object]) -> float:
    add_destinations(output)
    try:
        return _cpu_us(work)
    finally:
        remove_destination(output)


def _scrape() -> CostRow:
    reader = InMemoryMetricReader()
    metrics = PoolMetrics(MeterProvider([reader]).get_meter("measure"))
    result = BatchResult(BatchOutcome.SUCCEEDED)
    metrics.count_answer(result, timedelta(seconds=1), timedelta(seconds=1))
    metrics.count_start(timedelta(milliseconds=8))
    for number in range(REASONS):
        metrics.count_reason(f"reason_{number}")
    size = len(prometheus_text(reader.get_metrics_data()))

    def scrapes() -> None:
        for _ in range(SCRAPES):
            prometheus_text(reader.get_metrics_data())

    return CostRow("scrape of the metrics", _cpu_us(scrapes) / SCRAPES, float(size))


def _cpu_us(work: Callable[[], object]) -> float:
    started_at = time.process_time()
    work()
    return (time.process_time() - started_at) * 1e6


__all__ = ["CostRow", "run"]
