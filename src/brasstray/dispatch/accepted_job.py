"""Describe a job that an entry host has accepted."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from datetime import datetime

    from brasstray.job.job_id import JobId
    from brasstray.job.request import JobRequest


@dataclass(frozen=True)
class AcceptedJob:
    """Hold a job's request with its key's expiry, sequence number and weight.

    The sequence number counts jobs in the order of acceptance on this host. The weight
    comes from the operators' table and raises the job's priority.
    """

    job: JobId
    request: JobRequest
    expires: datetime
    sequence_number: int = 0
    weight: float = 1.0


__all__ = ["AcceptedJob"]
