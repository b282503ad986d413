"""Define the requests that callers send."""

from __future__ import annotations

import hashlib
from datetime import timedelta
from functools import cached_property
from typing import Any

from pydantic import BaseModel, ConfigDict, Field, JsonValue

from brasstray.job.ids import PeriodName, ServiceName

MAX_TASKS = 1_700
MAX_DEADLINE = timedelta(minutes=10)
DEFAULT_DEADLINE = timedelta(seconds=60)
DIGEST_BYTES = 16


class TaskRequest(BaseModel):
    """Describe one task of a job."""

    model_config = ConfigDict(frozen=True, extra="forbid", strict=True)

    payload: JsonValue
    declared_ms: int | None = Field(default=None, ge=0, le=3_600_000)


class JobRequest(BaseModel):
    """Describe a job: tasks that are answered together."""

    model_config = ConfigDict(frozen=True, extra="forbid", strict=True)

    service: ServiceName = Field(min_length=1, max_length=64)
    period: PeriodName = Field(min_length=1, max_length=64)
    tasks: list[TaskRequest] = Field(min_length=1, max_length=MAX_TASKS)
    repeatable: bool = False
    deadline_ms: int = Field(
        default=DEFAULT_DEADLINE // timedelta(milliseconds=1),
        ge=1,
        le=MAX_DEADLINE // timedelta(milliseconds=1),
    )

    @property
    def deadline(self) -> timedelta:
        """Return the time limit for the answer, from the job's first acceptance."""
        return timedelta(milliseconds=self.deadline_ms)

    @cached_property
    def digest(self) -> str:
        """Return a digest for comparing two requests that use the same key."""
        return digest_of(self.model_dump_json().encode())


def digest_of(data: bytes) -> str:
    """Return the BLAKE2b digest of `data` in hexadecimal."""
    return hashlib.blake2b(data, digest_size=DIGEST_BYTES).hexdigest()


def format_validation_errors(errors: list[Any]) -> str:
    """Format pydantic's list of validation errors as one line."""
    return "; ".join(
        f"{'.'.join(str(part) for part in error['loc']) or 'body'}: {error['msg']}"
        for error in errors
    )


__all__ = [
    "MAX_DEADLINE",
    "MAX_TASKS",
    "JobRequest",
    "TaskRequest",
    "digest_of",
    "format_validation_errors",
]
