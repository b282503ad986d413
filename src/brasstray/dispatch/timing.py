"""Define the delays and limits of job runs."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta


@dataclass(frozen=True)
class DispatchTiming:
    """Configure retries, backoff, ejection and the retention of results.

    `full_backoff` applies to a minion that refused a start because its slots are full,
    `failure_backoff` to one whose start failed otherwise.
    """

    min_retry_delay: timedelta = timedelta(milliseconds=10)
    max_retry_delay: timedelta = timedelta(seconds=1)
    full_backoff: timedelta = timedelta(milliseconds=20)
    failure_backoff: timedelta = timedelta(seconds=1)
    eject_after_failures: int = 2
    min_ejection: timedelta = timedelta(seconds=5)
    max_ejection: timedelta = timedelta(seconds=60)
    max_ejected_share: float = 0.3
    task_timeout: timedelta = timedelta(seconds=30)
    max_repeats: int = 3
    result_retention: timedelta = timedelta(minutes=15)


__all__ = ["DispatchTiming"]
