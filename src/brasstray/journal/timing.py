"""Define the journal's intervals and timeouts."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta


@dataclass(frozen=True)
class JournalTiming:
    """Hold a leader's intervals, timeouts and limits; none affects safety."""

    write_interval: timedelta = timedelta(milliseconds=20)
    write_burst: int = 10
    min_retry_delay: timedelta = timedelta(milliseconds=500)
    max_retry_delay: timedelta = timedelta(seconds=5)
    commit_timeout: timedelta = timedelta(seconds=3)
    replica_retry_delay: timedelta = timedelta(milliseconds=250)
    replica_check_interval: timedelta = timedelta(seconds=1)
    fence_timeout: timedelta = timedelta(seconds=2)
    key_lifetime: timedelta = timedelta(hours=4)
    offline_margin: timedelta = timedelta(minutes=90)
    lease_interval: timedelta = timedelta(seconds=5)
    compaction_interval: timedelta = timedelta(minutes=5)

    @property
    def expiry_allowance(self) -> timedelta:
        """Return how far in the future the keys that a segment permits may expire.

        The margin is how long keys of full lifetime can still be bound in an outage.
        After the loss of a leader and all its replicas, it is how long such keys are in
        doubt.
        """
        return self.key_lifetime + self.offline_margin


__all__ = ["JournalTiming"]
