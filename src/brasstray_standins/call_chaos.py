"""Draw at random what becomes of calls to minions."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta
from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from random import Random


class CallOutcome(Enum):
    """Tell what becomes of a call.

    UNANSWERED: it is carried out and its response lost. LATE: it is carried out later,
    and has no response.
    """

    ANSWERED = "answered"
    UNANSWERED = "unanswered"
    LATE = "late"


@dataclass
class CallChaos:
    """Hold back a share of all calls up to `max_delay`, and lose other responses."""

    random: Random
    delayed_share: float
    unanswered_share: float
    max_delay: timedelta = timedelta(seconds=6)

    def draw(self) -> CallOutcome:
        """Return the fate of one call."""
        sample = self.random.random()
        if sample < self.delayed_share:
            return CallOutcome.LATE
        if sample < self.delayed_share + self.unanswered_share:
            return CallOutcome.UNANSWERED
        return CallOutcome.ANSWERED

    def draw_delay(self) -> timedelta:
        """Return how long a late call is held back."""
        return self.random.random() * self.max_delay


__all__ = ["CallChaos", "CallOutcome"]
