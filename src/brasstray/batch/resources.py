"""Define amounts of processor, memory and GPUs."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Resources:
    """Hold the resources that a task requests or that a minion has.

    `cpu_millis` is in thousandths of a core.
    """

    cpu_millis: int = 0
    memory_mb: int = 0
    gpus: int = 0

    def __add__(self, other: Resources) -> Resources:
        return Resources(
            self.cpu_millis + other.cpu_millis,
            self.memory_mb + other.memory_mb,
            self.gpus + other.gpus,
        )

    def __sub__(self, other: Resources) -> Resources:
        return Resources(
            self.cpu_millis - other.cpu_millis,
            self.memory_mb - other.memory_mb,
            self.gpus - other.gpus,
        )

    def fits(self, available: Resources) -> bool:
        """Tell whether `available` is at least this much of every resource."""
        return (
            self.cpu_millis <= available.cpu_millis
            and self.memory_mb <= available.memory_mb
            and self.gpus <= available.gpus
        )


__all__ = ["Resources"]
