"""Define one row of the operators' table."""

from __future__ import annotations

from pydantic import BaseModel, ConfigDict, Field

from brasstray.job.ids import PeriodName, ServiceName
from brasstray.job.request import MAX_DEADLINE, MAX_TASKS

ANY_PERIOD = PeriodName("*")
_NAME_PATTERN = r"^[A-Za-z0-9_.*-]{1,64}$"


class TableRow(BaseModel):
    """Hold the settings for a service's jobs in one period, or in any (`*`)."""

    model_config = ConfigDict(frozen=True, extra="forbid")

    service: ServiceName = Field(pattern=_NAME_PATTERN)
    period: PeriodName = Field(default=ANY_PERIOD, pattern=_NAME_PATTERN)
    weight: float = Field(default=1.0, gt=0, le=1_000)
    open: bool = True
    repeatable: bool = False
    max_tasks: int = Field(default=MAX_TASKS, ge=1, le=MAX_TASKS)
    max_deadline_ms: int = Field(
        default=int(MAX_DEADLINE.total_seconds() * 1_000),
        ge=1,
        le=int(MAX_DEADLINE.total_seconds() * 1_000),
    )


COLUMNS = tuple(TableRow.model_fields)

__all__ = ["ANY_PERIOD", "COLUMNS", "TableRow"]
