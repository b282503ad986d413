"""Define the identifier of a job."""

from __future__ import annotations

from pydantic import BaseModel, ConfigDict

from brasstray.job.ids import CallerName, KeyText


class JobId(BaseModel):
    """Identify a job by caller and key; callers may use the same key independently."""

    model_config = ConfigDict(frozen=True)

    caller: CallerName
    key: KeyText


__all__ = ["JobId"]
