"""Define the errors of calls from the owner of a pool to a minion."""

from __future__ import annotations

from enum import Enum


class StartRefusal(Enum):
    """List the reasons for which a minion refuses a start."""

    STALE_RUN = "stale_run"
    LEASE_PASSED = "lease_passed"
    NO_ROOM = "no_room"
    UNHEALTHY = "unhealthy"
    MALFORMED = "malformed"


class MinionCallError(Exception):
    """Base class of the errors of calls to minions."""


class MinionNoResponseError(MinionCallError):
    """No response arrived; the call may take effect now or later."""


class MinionGoneError(MinionCallError):
    """Another incarnation answers at the address; the runs of this one have ended."""


class MinionRestartedError(MinionCallError):
    """A later incarnation under the same id replied, and may have done the call."""

    def __init__(self, born: int) -> None:
        super().__init__(str(born))
        self.born = born


class FencedError(MinionCallError):
    """The minion has seen a higher fencing token, and did not carry out the call."""


class OwnerDeposedError(FencedError):
    """The owner no longer owns the pool, so the call was not sent."""


class StartRefusedError(MinionCallError):
    """The minion did not start the task."""

    def __init__(self, refusal: StartRefusal) -> None:
        super().__init__(refusal.value)
        self.refusal = refusal


__all__ = [
    "FencedError",
    "MinionCallError",
    "MinionGoneError",
    "MinionNoResponseError",
    "MinionRestartedError",
    "OwnerDeposedError",
    "StartRefusal",
    "StartRefusedError",
]
