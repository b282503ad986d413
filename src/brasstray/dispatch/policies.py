"""Define the policies that select a slot, and those that order waiting jobs."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True)
class UniformRandom:
    """Select any minion at random, whatever its load; a baseline for measurements."""


@dataclass(frozen=True)
class TwoChoices:
    """Sample two minions with free slots; select the one with fewer own starts."""


@dataclass(frozen=True)
class SlotCredits:
    """Select only slots for which this host holds a credit."""


SlotPolicy = UniformRandom | TwoChoices | SlotCredits


@dataclass(frozen=True)
class FirstComeFirst:
    """Serve the job that was accepted first."""


@dataclass(frozen=True)
class RoundRobin:
    """Serve the waiting jobs in turn, one task each."""


@dataclass(frozen=True)
class ShortestRemainingFirst:
    """Serve the job with the fewest unfinished tasks, divided by its weight."""


OrderPolicy = FirstComeFirst | RoundRobin | ShortestRemainingFirst

__all__ = [
    "FirstComeFirst",
    "OrderPolicy",
    "RoundRobin",
    "ShortestRemainingFirst",
    "SlotCredits",
    "SlotPolicy",
    "TwoChoices",
    "UniformRandom",
]
