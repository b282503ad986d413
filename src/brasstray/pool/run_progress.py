"""Track how fast a run has been moving lately."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta

# As long as the longest probe may be held: in a shorter time, the moment of the report
# dominates the measurement.
PACE_WINDOW = timedelta(milliseconds=200)


@dataclass(frozen=True, slots=True)
class ProgressMark:
    """Hold the progress that was reported at one time."""

    at: timedelta
    percent: int = 0


class RunProgress:
    """Keep the reports of a run that are needed to compare its pace now and before."""

    __slots__ = ("_moved", "_newer", "_older")

    def __init__(self, began: timedelta) -> None:
        self._moved = self._older = self._newer = ProgressMark(began)

    @property
    def moved_at(self) -> timedelta:
        """Return when the progress was first reported that was reported last."""
        return self._moved.at

    @property
    def recent(self) -> ProgressMark:
        """Return the report since which the recent pace is measured."""
        return self._older

    def observe(self, percent: int, now: timedelta) -> None:
        """Record that `percent` was reported at `now`."""
        if percent != self._moved.percent:
            self._moved = ProgressMark(now, percent)
        if now - self._newer.at >= PACE_WINDOW:
            self._older = self._newer
            self._newer = ProgressMark(now, percent)


__all__ = ["PACE_WINDOW", "ProgressMark", "RunProgress"]
