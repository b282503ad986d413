"""Bound what a job may declare and a minion may have."""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING

from brasstray.batch.resources import Resources

if TYPE_CHECKING:
    from brasstray.batch.batch import Batch

# No machine is this large: 10,000 cores, 100 TB and 10,000 GPUs.
MAX_RESOURCES = Resources(10_000_000, 100_000_000, 10_000)
# Longer estimates count as this much; they are rough, and callers wait for seconds.
MAX_ESTIMATE = timedelta(days=1)
# Callers that state a longer timeout are taken to wait for this long.
MAX_TIMEOUT = timedelta(days=1)


def is_possible(needs: Resources) -> bool:
    """Return whether a minion may have the resources `needs`."""
    return Resources().fits(needs) and needs.fits(MAX_RESOURCES)


def can_run(batch: Batch) -> bool:
    """Return whether minions may have what each task of `batch` needs."""
    return all(is_possible(step.needs) for step in batch.steps)


__all__ = ["MAX_ESTIMATE", "MAX_RESOURCES", "MAX_TIMEOUT", "can_run", "is_possible"]
