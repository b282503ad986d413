"""Define a version of the operators' table."""

from __future__ import annotations

from datetime import datetime
from typing import TYPE_CHECKING

from pydantic import BaseModel, ConfigDict, model_validator

from brasstray.table.row import ANY_PERIOD, TableRow

if TYPE_CHECKING:
    from brasstray.job.ids import PeriodName, ServiceName


class Table(BaseModel):
    """Hold one version of the table, with its author and the time of the change."""

    model_config = ConfigDict(frozen=True)

    version: int = 0
    rows: list[TableRow] = []
    author: str = ""
    changed: datetime | None = None
    token: str = ""

    @model_validator(mode="after")
    def reject_duplicate_rows(self) -> Table:
        """Raise ValueError if two rows have the same service and period."""
        seen = set()
        for row in self.rows:
            key = (row.service, row.period)
            if key in seen:
                raise ValueError(f"two rows for {row.service}, {row.period}")
            seen.add(key)
        return self

    def row(self, service: ServiceName, period: PeriodName) -> TableRow | None:
        """Return the row for `period`, falling back to the one for any period."""
        found = None
        for row in self.rows:
            if row.service == service and row.period == period:
                return row
            if row.service == service and row.period == ANY_PERIOD:
                found = row
        return found


__all__ = ["Table"]
