"""Describe where jobs of one kind come from and how they are to be served."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from datetime import timedelta

    from brasstray.batch.ids import QueueName
    from brasstray.job.ids import ServiceName


@dataclass(frozen=True)
class Queue:
    """Hold how jobs are recognized, which service runs them, and their objective.

    A job is on time within `stretch` times its longest chain of tasks plus `slack`.
    Priority 0 comes first. A task is given up after `attempts` runs that failed.
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
