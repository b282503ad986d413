"""Define the state of the job protocol's model."""

from __future__ import annotations

from typing import NamedTuple

Records = frozenset[str]
NOTHING: Records = frozenset()


class Leader(NamedTuple):
    """A host in its role as leader of the journal.

    `view` holds the records it knows, `queue` those of them that the platform is not
    known to have stored, and `replicated` those of the queue that are committed by
    replica copies. `notified_replicas` know that the leader works offline. `in_doubt`
    means that records of the previous term may be missing from `view`.
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
    """A replica of the first term; `copies` is None until the leader notifies it."""

    alive: bool = True
    fenced: bool = False
    copies: Records | None = None


class Executor(NamedTuple):
    """A host as executor: whether the job is bound to it, and the tasks it started."""

    alive: bool = True
    bound: bool = False
    started: frozenset[int] = frozenset()


class State(NamedTuple):
    """The whole system: one job of two tasks under one key, two entry hosts.

    Host A leads the first term. Host B may start the second at any time, whether A is
    dead, partitioned, paused or healthy. `journal` holds (term, records) per segment.
    `reported` holds the answers that the caller has received.
    """

    journal: tuple[tuple[int, Records], ...]
    platform: str  # "up", "down" or "up again"
    lost_replies_left: int
    leader_a: Leader
    leader_b: Leader
    replies: tuple[
        Records | None | str, ...
    ]  # each replica's reply to B's fence request
    replicas: tuple[Replica, Replica]
    executor_a: Executor
    executor_b: Executor
    starts: tuple[int, int]
    reported: Records


def initial() -> State:
    """Return the state in which A leads and no job has been submitted."""
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
