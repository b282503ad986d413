"""Describe the free capacity of a pool and how long a new task would wait."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True)
class PoolLoad:
    """Hold what other hosts learn of a pool.

    `excess` is how many tasks were sent there beyond the free slots it reported last.
    """

    free_slots: int = 0
    wait_ms: int = 0
    excess: int = 0


__all__ = ["PoolLoad"]
