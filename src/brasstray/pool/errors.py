"""Name what can go wrong between the owner of a pool and a minion."""

from __future__ import annotations

from enum import Enum


class StartRefusal(Enum):
    """Tell why a minion did not start a task."""

    STALE_RUN = "stale_run"
    LEASE_PASSED = "lease_passed"
    NO_ROOM = "no_room"
    UNHEALTHY = "unhealthy"
    MALFORMED = "malformed"


class MinionCallError(Exception):
    """Base of the errors of calls to minions."""


class MinionSilentError(MinionCallError):
    """No response came; the call may take effect now or later."""


class MinionGoneError(MinionCallError):
    """Another incarnation responds at the address; all that ran here has ended."""


class FencedError(MinionCallError):
    """The minion has seen a higher fencing token; nothing was done."""


class StartRefusedError(MinionCallError):
    """The minion did not start the task."""

    def __init__(self, refusal: StartRefusal) -> None:
        super().__init__(refusal.value)
        self.refusal = refusal


__all__ = [
    "FencedError",
    "MinionCallError",
    "MinionGoneError",
    "MinionSilentError",
    "StartRefusal",
    "StartRefusedError",
]
