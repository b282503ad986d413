"""Define the variants of the job protocol that the checker explores."""

from __future__ import annotations

from enum import Enum


class Variant(Enum):
    """Select the rule, if any, that the model omits."""

    AS_DESIGNED = "as designed"
    LATE_COPY_ACCEPTED = "a replica accepts copies from a fenced term"
    REPLICAS_NOT_READ = "a new leader reads the platform only"
    ONE_NOTIFICATION_ENOUGH = (
        "an offline leader counts copies before every replica was notified"
    )
    DOUBT_IGNORED = "a new leader treats keys as new although a replica has not replied"
    REPORTED_BEFORE_COMMIT = "an answer is reported before it is committed"
    FENCE_REPORTED_EARLY = "a fence is reported before the platform has stored it"
    TAKEOVER_RESTARTS_TASKS = "a host restarts the tasks of a fenced executor"
    LOST_REPLY_IS_FAILURE = "a write whose reply was lost is treated as failed"


__all__ = ["Variant"]
