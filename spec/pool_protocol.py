"""Specify who may run a task on which minion, and when it may run elsewhere.

One task, two minions, and two owners of the pool: the first has token 1, the second may
take over with token 2 at any moment, whether the first is dead, frozen or well. Starts
travel as messages that arrive at any later moment, or never. Silence is a step that
never comes. A lease is on or off; an order carries a lease of its own that is on until
`the lease lapses` has been taken for its minion. One extension of leases may be held
up, and be carried out after its minion has answered later calls. A look shows what runs
and extends nothing; a run that is being stopped is shown by none.
"""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING, NamedTuple

from spec.early_end import early_ending

if TYPE_CHECKING:
    from collections.abc import Iterator

    from minicheck import Protocol

Step = tuple[str, "State"]
MINIONS = (0, 1)
# Enough for a task to be sent, lost, sent elsewhere, and found by the second owner.
MOST_RUNS = 2


class PoolVariant(Enum):
    """Choose which rule, if any, the modelled protocol leaves out."""

    AS_DESIGNED = "as designed"
    UNFENCED = "a new owner starts tasks before it has fenced every minion"
    OUTCOME_UNKNOWN = "a task whose start was not answered is started elsewhere at once"
    SILENT_IS_DEAD = "a silent minion's tasks are started elsewhere before they lapse"
    HOLD_FIRST = "a minion back in reach is held before late starts are stopped there"
    UNCONFIRMED = "tasks that expired are started again by an owner that was replaced"
    UNEXTENDED = "tasks that expired are started again though an extension is held up"
    FOREIGN_LEASE = "a lease that an earlier owner gave is taken for over"
    UNSTOPPED = "a run that is being stopped is taken for ended by a new owner"
    FORGETFUL = "a job is said not to have run although a start was sent"


class Minion(NamedTuple):
    """A minion: the highest token seen, its lease, the run at work, runs barred.

    `extended` says that an extension came late, so that the lease outlives what owners
    reckon from earlier ones; a hold after it is reckoned from, and covers it, and so
    does the first answer to a new owner. `leased_by` is the token of who gave the lease
    last, `stopping` the run that is being stopped.
    """

    token: int = 1
    lease: bool = True
    running: int = 0
    barred: int = 0
    extended: bool = False
    leased_by: int = 1
    stopping: int = 0


class Order(NamedTuple):
    """A start under way; `fresh` while the lease that it carries has not passed."""

    minion: int
    token: int
    run: int
    fresh: bool = True


class Extension(NamedTuple):
    """An extension of leases that is held up on its way to a minion."""

    minion: int
    token: int


class Owner(NamedTuple):
    """An owner's book: where the task is, and what it must settle first.

    `phase` is "away" (not yet owning), "settling", "found", "waiting", "sent",
    "active", "stopping", "silent" or "given up".
    """

    phase: str
    minion: int = 0
    run: int = 0
    unsettled: frozenset[tuple[int, int]] = frozenset()
    fenced: frozenset[int] = frozenset()
    out_of_reach: frozenset[int] = frozenset()
    held_up: int | None = None


class State(NamedTuple):
    """The whole system."""

    minions: tuple[Minion, Minion]
    orders: frozenset[Order]
    first: Owner
    second: Owner
    sent: bool = False
    refused: bool = False
    extension: Extension | None = None
    extensions_left: int = 1


def initial() -> State:
    """Return the state in which the first owner has the task and has not sent it."""
    reached = frozenset(MINIONS)
    return State(
        (Minion(), Minion()),
        frozenset(),
        Owner("waiting", fenced=reached),
        Owner("away"),
    )


def steps(s: State, variant: PoolVariant) -> Iterator[Step]:
    """Yield every step that can come next."""
    yield from arrivals(s)
    for name, token in (("first", 1), ("second", 2)):
        owner: Owner = getattr(s, name)
        if owner.phase == "away":
            continue
        yield from place(s, name, token, owner, variant)
        yield from hear(s, name, token, owner)
        yield from settle(s, name, token, owner, variant)
        yield from lose_sight(s, name, owner, variant)
        yield from regain(s, name, token, owner, variant)
        yield from miss(s, name, token, owner)
    yield from take_over(s, variant)
    yield from refuse(s, variant)


def arrivals(s: State) -> Iterator[Step]:
    """A start arrives, now or late; the minion obeys the highest token only."""
    for order in s.orders:
        minion = s.minions[order.minion]
        left = s._replace(orders=s.orders - {order})
        allowed = order.token >= minion.token and order.run > minion.barred
        if allowed and (order.fresh or minion.lease) and not minion.running:
            begun = minion._replace(
                token=order.token,
                running=order.run,
                lease=True,
                barred=order.run,
                leased_by=order.token,
            )
            yield f"run {order.run} begins on {order.minion}", _put(left, order, begun)
        else:
            yield f"run {order.run} is rejected by {order.minion}", left
    if s.extension is not None:
        number, token = s.extension
        arrived = s._replace(extension=None)
        if token >= s.minions[number].token:
            extended = s.minions[number]._replace(extended=True, lease=True)
            arrived = _with(arrived, number, extended)
        yield f"an extension comes late to {number}", arrived
    for number, minion in enumerate(s.minions):
        if minion.running:
            ended = minion._replace(running=0)
            yield f"the run on {number} ends", _with(s, number, ended)
        if minion.stopping:
            stopped = minion._replace(stopping=0)
            yield f"the stop on {number} is carried out", _with(s, number, stopped)


def place(
    s: State, name: str, token: int, owner: Owner, variant: PoolVariant
) -> Iterator[Step]:
    """An owner that knows the task to be nowhere starts it on a minion in reach."""
    if owner.phase != "waiting" or s.refused or owner.run >= MOST_RUNS:
        return
    if owner.fenced != frozenset(MINIONS) and variant is not PoolVariant.UNFENCED:
        return
    for number in sorted(owner.fenced - owner.out_of_reach):
        run = owner.run + 1
        order = Order(number, token, run)
        placed = owner._replace(phase="sent", minion=number, run=run)
        state = s._replace(orders=s.orders | {order}, sent=True, **{name: placed})
        yield f"{name} sends run {run} to {number}", state


def hear(s: State, name: str, token: int, owner: Owner) -> Iterator[Step]:
    """A look tells the owner that its run is at work, or an end that it is over."""
    if owner.phase not in ("sent", "active") or owner.minion in owner.out_of_reach:
        return
    minion = s.minions[owner.minion]
    if minion.token > token:
        return
    if minion.running == owner.run:
        if owner.phase == "sent":
            yield (
                f"{name} sees its run",
                s._replace(**{name: owner._replace(phase="active")}),
            )
    elif owner.phase == "active":
        done = owner._replace(phase="waiting")
        yield f"{name} hears of the end", s._replace(**{name: done})
    if owner.phase == "active" and minion.running == owner.run:
        # It is so slow that the task is better run elsewhere.
        stopped = owner._replace(phase="stopping")
        state = _with(s, owner.minion, _stop(minion, owner.run))
        yield f"{name} has its slow run stopped", state._replace(**{name: stopped})


def settle(
    s: State, name: str, token: int, owner: Owner, variant: PoolVariant
) -> Iterator[Step]:
    """A start was not answered: a stop that is answered bars the run for good.

    What is being stopped is waited for.
    """
    if owner.minion in owner.out_of_reach:
        return
    if owner.phase == "stopping" and not s.minions[owner.minion].stopping:
        over = owner._replace(phase="waiting")
        yield f"{name} hears that its run was stopped", s._replace(**{name: over})
    if owner.phase != "sent":
        return
    if variant is PoolVariant.OUTCOME_UNKNOWN:
        again = owner._replace(phase="waiting")
        yield f"{name} takes silence for a refusal", s._replace(**{name: again})
    minion = s.minions[owner.minion]
    if minion.token <= token:
        stopped = _stop(minion, owner.run)
        settled = owner._replace(phase="stopping" if stopped.stopping else "waiting")
        state = _with(s, owner.minion, stopped)._replace(**{name: settled})
        yield f"{name} has its run stopped", state


def miss(s: State, name: str, token: int, owner: Owner) -> Iterator[Step]:
    """An extension has no answer, and its minion answers a later call."""
    if not s.extensions_left or owner.phase not in ("sent", "active"):
        return
    number = owner.minion
    if number in owner.out_of_reach or s.minions[number].token > token:
        return
    missed = owner._replace(held_up=number)
    state = s._replace(
        extension=Extension(number, token), extensions_left=0, **{name: missed}
    )
    yield f"an extension of {name} to {number} is held up", state


def lose_sight(
    s: State, name: str, owner: Owner, variant: PoolVariant
) -> Iterator[Step]:
    """The task's minion falls silent; in time every lease there is over for sure.

    Silence of the other is a step that never comes: nothing need be sent there.
    """
    at_work = owner.phase in ("sent", "found", "active", "stopping")
    if at_work and owner.minion not in owner.out_of_reach:
        number = owner.minion
        silent = owner._replace(out_of_reach=owner.out_of_reach | {number})
        if owner.phase == "sent":
            bars = owner.unsettled | {(number, owner.run)}
            silent = silent._replace(unsettled=bars)
        early = variant is PoolVariant.SILENT_IS_DEAD
        silent = silent._replace(phase="waiting" if early else "silent")
        yield f"{number} falls silent to {name}", s._replace(**{name: silent})
    if owner.phase == "silent":
        # The owner asks the store whether it still owns the pool. A successor may have
        # extended the lease that it takes for over.
        replaced = name == "first" and s.second.phase != "away"
        certain = not replaced or variant is PoolVariant.UNCONFIRMED
        if owner.held_up == owner.minion:
            certain = certain and variant is PoolVariant.UNEXTENDED
        if certain:
            expired = _expire(s, name, owner, variant)
            yield f"the lease on {owner.minion} lapses", expired
        else:
            given_up = owner._replace(phase="given up")
            yield f"{name} gives the task up", s._replace(**{name: given_up})


def _expire(s: State, name: str, owner: Owner, variant: PoolVariant) -> State:
    number = owner.minion
    orders = frozenset(
        order._replace(fresh=False) if order.minion == number else order
        for order in s.orders
    )
    expired = s.minions[number]
    token = 1 if name == "first" else 2
    reckoned = expired.leased_by == token or variant is not PoolVariant.FOREIGN_LEASE
    if expired.token == token and reckoned and not expired.extended:
        expired = expired._replace(lease=False, running=0, stopping=0)
    freed = owner._replace(phase="waiting")
    return _with(s, number, expired)._replace(orders=orders, **{name: freed})


def regain(
    s: State, name: str, token: int, owner: Owner, variant: PoolVariant
) -> Iterator[Step]:
    """A minion is in reach again: stop what may come late there, then hold it."""
    for number in sorted(owner.out_of_reach):
        minion = s.minions[number]
        if minion.token > token or (owner.phase == "silent" and owner.minion == number):
            continue
        settled = frozenset(bar for bar in owner.unsettled if bar[0] == number)
        if variant is not PoolVariant.HOLD_FIRST:
            for _, run in settled:
                minion = _stop(minion, run)
        back = owner._replace(
            out_of_reach=owner.out_of_reach - {number},
            unsettled=owner.unsettled - settled,
        )
        held = minion._replace(lease=True, token=token, extended=False, leased_by=token)
        yield (
            f"{name} holds {number} again",
            _with(s, number, held)._replace(**{name: back}),
        )


def take_over(s: State, variant: PoolVariant) -> Iterator[Step]:
    """The second owner takes the pool, and looks at and holds one minion after another.

    It takes what it sees for all that runs once what was being stopped when it looked
    has had time to end.
    """
    owner = s.second
    if owner.phase == "away":
        taken = Owner("settling", run=0)
        if variant is PoolVariant.UNFENCED:
            taken = Owner("waiting", run=0)
        yield "second takes the pool", s._replace(second=taken)
        return
    for number in MINIONS:
        if number in owner.fenced:
            continue
        minion = s.minions[number]
        seen = owner._replace(fenced=owner.fenced | {number})
        if minion.running and owner.phase == "settling":
            seen = seen._replace(phase="found", minion=number, run=minion.running)
        elif minion.running and owner.phase == "waiting":
            seen = seen._replace(phase="active", minion=number, run=minion.running)
        fenced = minion._replace(token=2, extended=False)
        yield (
            f"second looks at {number}",
            _with(s, number, fenced)._replace(second=seen),
        )
    for number in sorted(owner.fenced - owner.out_of_reach):
        minion = s.minions[number]
        if minion.leased_by != 2:
            held = minion._replace(lease=True, leased_by=2)
            yield f"second holds {number}", _with(s, number, held)
    stopped = not any(minion.stopping for minion in s.minions)
    known = stopped or variant is PoolVariant.UNSTOPPED
    all_seen = owner.fenced == frozenset(MINIONS) and known
    if all_seen and owner.phase in ("settling", "found"):
        phase = "waiting" if owner.phase == "settling" else "active"
        settled = owner._replace(phase=phase)
        yield "second knows what runs", s._replace(second=settled)


def refuse(s: State, variant: PoolVariant) -> Iterator[Step]:
    """The caller is told that the job has not run; nothing of it is sent after that."""
    if s.refused or s.first.phase != "waiting":
        return
    if not s.sent or variant is PoolVariant.FORGETFUL:
        yield "the job is refused as not run", s._replace(refused=True)


def _stop(minion: Minion, run: int) -> Minion:
    barred = minion._replace(barred=max(minion.barred, run))
    if minion.running and minion.running <= run:
        return barred._replace(running=0, stopping=minion.running)
    return barred


def _put(s: State, order: Order, minion: Minion) -> State:
    return _with(s, order.minion, minion)


def _with(s: State, number: int, minion: Minion) -> State:
    minions = list(s.minions)
    minions[number] = minion
    return s._replace(minions=tuple(minions))


def never_two_runs(s: dict) -> bool:
    """The task is never at work twice at the same time."""
    return sum(bool(m.running) + bool(m.stopping) for m in s["minions"]) <= 1


def not_run_is_true(s: dict) -> bool:
    """Nothing of a job that was said not to have run is at work or on its way."""
    return not (s["refused"] and s["sent"])


POOL_INVARIANTS = {check.__name__: check for check in (never_two_runs, not_run_is_true)}


def pool_model(variant: PoolVariant = PoolVariant.AS_DESIGNED) -> Protocol:
    """Return the protocol, as designed or broken, for the checker."""
    return early_ending(
        variant.value, State, initial(), lambda s: steps(s, variant), POOL_INVARIANTS
    )


__all__ = ["POOL_INVARIANTS", "PoolVariant", "pool_model"]
