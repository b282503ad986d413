"""Describe why the owner of a pool rejected tasks."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class RejectionReason:
    """Hold what the owner of a pool knew when it rejected tasks.

    `share` is the mean recent work of the callers of the same priority over that of the
    caller, so below 1 if it had more than others. `report_age_ms` is the age of the
    oldest load report of another pool, None if none is known.
    """

    evacuated: bool
    shortage: bool
    share: float
    report_age_ms: int | None

    @property
    def name(self) -> str:
        """Return the name of the reason in metrics."""
        if self.evacuated:
            return "evacuated"
        return "shortage" if self.shortage else "rejected"


__all__ = ["RejectionReason"]
