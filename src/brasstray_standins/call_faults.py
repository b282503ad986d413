"""Choose at random which calls to minions are delayed or lose their response."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta
from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from random import Random


class CallOutcome(Enum):
    """Classify what happens to a call.

    An UNANSWERED call is executed and its response is lost. A LATE call is executed
    after a delay, and has no response either.
    """

    ANSWERED = "answered"
    UNANSWERED = "unanswered"
    LATE = "late"


@dataclass
class RandomCallFaults:
    """Delay a share of all calls by up to `max_delay`, and lose other responses."""

    random: Random
    delayed_share: float
    unanswered_share: float
    max_delay: timedelta = timedelta(seconds=6)

    def draw(self) -> CallOutcome:
        """Return the outcome of one call."""
        sample = self.random.random()
        if sample < self.delayed_share:
            return CallOutcome.LATE
        if sample < self.delayed_share + self.unanswered_share:
            return CallOutcome.UNANSWERED
        return CallOutcome.ANSWERED

    def draw_delay(self) -> timedelta:
        """Return the delay of a late call."""
        return self.random.random() * self.max_delay


__all__ = ["RandomCallFaults", "CallOutcome"]
