"""Describe the state of the modelled system."""

from __future__ import annotations

from typing import NamedTuple

Records = frozenset[str]
NOTHING: Records = frozenset()


class Leader(NamedTuple):
    """A host in its role as leader of the journal.

    `view` is what it believes, `queue` what of that the platform is not known to
    have, `copied` what of the queue a replica is known to hold.
    """

    mode: str  # "standby", "sealed", "leads", "deposed" or "dead"
    view: Records = NOTHING
    queue: Records = NOTHING
    replicated: Records = NOTHING
    offline: bool = False
    notified_replicas: frozenset[int] = frozenset()
    in_doubt: bool = False
    next_segment: int = 0


class Replica(NamedTuple):
    """A host in its role as replica of the first term; `copies` None: no notice."""

    alive: bool = True
    fenced: bool = False
    copies: Records | None = None


class Executor(NamedTuple):
    """A host in its role as executor: may it run the job, and what was started."""

    alive: bool = True
    bound: bool = False
    started: frozenset[int] = frozenset()


class State(NamedTuple):
    """The whole system: one job of two tasks under one key, two entry hosts.

    Host A leads the first term; host B may begin the second at any moment, whether
    A is dead, cut off, paused or well. `journal` holds (term, records) per segment.
    """

    journal: tuple[tuple[int, Records], ...]
    platform: str  # "up", "down" or "up again"
    lost_replies_left: int
    leader_a: Leader
    leader_b: Leader
    replies: tuple[Records | None | str, ...]  # what each replica told B
    replicas: tuple[Replica, Replica]
    executor_a: Executor
    executor_b: Executor
    starts: tuple[int, int]
    reported: Records


def initial() -> State:
    """Return the state in which A leads and nothing was submitted."""
    return State(
        journal=((1, NOTHING),),
        platform="up",
        lost_replies_left=1,
        leader_a=Leader("leads", next_segment=1),
        leader_b=Leader("standby"),
        replies=("unasked", "unasked"),
        replicas=(Replica(), Replica()),
        executor_a=Executor(),
        executor_b=Executor(),
        starts=(0, 0),
        reported=NOTHING,
    )


__all__ = ["NOTHING", "Executor", "Leader", "Records", "Replica", "State", "initial"]
