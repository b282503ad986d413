"""Define the identifier types of jobs, callers, hosts and minions."""

from __future__ import annotations

from typing import NewType

CallerName = NewType("CallerName", str)
DataCentreName = NewType("DataCentreName", str)
HostName = NewType("HostName", str)
IncarnationId = NewType("IncarnationId", str)
KeyText = NewType("KeyText", str)
MinionId = NewType("MinionId", str)
MinionKey = NewType("MinionKey", str)
PeriodName = NewType("PeriodName", str)
ServiceName = NewType("ServiceName", str)

__all__ = [
    "CallerName",
    "DataCentreName",
    "HostName",
    "IncarnationId",
    "KeyText",
    "MinionId",
    "MinionKey",
    "PeriodName",
    "ServiceName",
]
