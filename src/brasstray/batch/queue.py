"""Define a queue: which requests it receives and how their jobs are run."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from datetime import timedelta

    from brasstray.batch.ids import QueueName
    from brasstray.job.ids import ServiceName


@dataclass(frozen=True)
class Queue:
    """Hold the route of a queue, the service that runs its jobs, and their objective.

    A job is on time if it ends within `stretch` times the estimated duration of its
    critical path (its longest chain of tasks) plus `slack`. Priority 0 is the highest.
    A task is given up after `attempts` failed runs.
    """

    name: QueueName
    host: str
    prefix: str
    service: ServiceName
    priority: int
    attempts: int
    stretch: float
    slack: timedelta


__all__ = ["Queue"]
