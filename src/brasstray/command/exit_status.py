"""Define the exit statuses of the command line."""

from __future__ import annotations

from enum import IntEnum

from brasstray.job.outcome import Outcome


class ExitStatus(IntEnum):
    """Describe how a command ended, for scripts."""

    COMPLETE = 0
    FAILED = 1
    BAD_USAGE = 2
    REFUSED = 3
    NOT_YET_KNOWN = 4
    UNREACHABLE = 5


def exit_status_for(outcome: Outcome) -> ExitStatus:
    """Return the exit status for `outcome`."""
    match outcome:
        case Outcome.COMPLETE:
            return ExitStatus.COMPLETE
        case Outcome.FAILED:
            return ExitStatus.FAILED
        case Outcome.REFUSED:
            return ExitStatus.REFUSED
        case Outcome.NOT_YET_KNOWN:
            return ExitStatus.NOT_YET_KNOWN


__all__ = ["ExitStatus", "exit_status_for"]
