"""List the protocol as designed, and ways to break it."""

from __future__ import annotations

from enum import Enum


class Variant(Enum):
    """Choose which rule, if any, the modelled protocol leaves out."""

    AS_DESIGNED = "as designed"
    LATE_COPY_ACCEPTED = "a replica keeps copies of a fenced term"
    REPLICAS_NOT_READ = "a new leader reads the platform only"
    ONE_NOTIFICATION_ENOUGH = (
        "an offline leader counts copies before all have its notice"
    )
    DOUBT_IGNORED = "a new leader takes keys for new though a replica's word is missing"
    REPORTED_BEFORE_COMMIT = "an answer is told before it is committed"
    FENCE_REPORTED_EARLY = "a fence is told of before the platform has it"
    TAKEOVER_RESTARTS_TASKS = "a host that learns of a dead executor starts the tasks"
    LOST_REPLY_IS_FAILURE = "a write whose reply was lost is taken as not written"


__all__ = ["Variant"]
