"""Define the identifier types of jobs, pools and runs."""

from __future__ import annotations

from typing import NewType

BatchId = NewType("BatchId", str)
ConfigVersion = NewType("ConfigVersion", int)
FencingToken = NewType("FencingToken", int)
PoolId = NewType("PoolId", str)
QueueName = NewType("QueueName", str)
RunNumber = NewType("RunNumber", int)

NO_CONFIG = ConfigVersion(0)
NO_TOKEN = FencingToken(0)

__all__ = [
    "NO_CONFIG",
    "NO_TOKEN",
    "BatchId",
    "ConfigVersion",
    "FencingToken",
    "PoolId",
    "QueueName",
    "RunNumber",
]
