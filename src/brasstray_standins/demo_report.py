"""Define the report of a demonstration."""

from __future__ import annotations

from dataclasses import asdict, dataclass, field
from typing import Any


@dataclass(frozen=True)
class JobReport:
    """Hold the outcome of one job and how often its tasks started."""

    name: str
    repeatable: bool
    outcome: str
    reason: str | None
    task_states: dict[str, int]
    most_starts: int
    response_ms: int
    ideal_ms: int
    resubmissions: int


@dataclass
class DemoReport:
    """Hold the jobs, events, counters and violated guarantees of one run."""

    jobs: list[JobReport] = field(default_factory=list)
    events: list[str] = field(default_factory=list)
    counts: dict[str, dict[str, int]] = field(default_factory=dict)
    broken_rules: list[str] = field(default_factory=list)

    def as_json(self) -> dict[str, Any]:
        """Return the report as a dictionary that JSON can encode."""
        return asdict(self)


__all__ = ["DemoReport", "JobReport"]
