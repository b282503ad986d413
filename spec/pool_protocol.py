"""Specify which owner may run a task on which minion, and when it may run elsewhere.

The model has one task, two minions and two owners of the pool. The first owner has
token 1; the second may take over with token 2 at any time, whether the first is dead,
paused or healthy. Start messages arrive at any later time, or never. Silence is
modelled as a transition that is never taken. A lease is valid or not; a start message
carries its own lease, which is valid until the transition `the lease ... lapses` is
taken for its minion. One lease extension may be delayed and take effect after the
minion has answered later calls. A status query returns the active runs and extends no
lease; a run that is being stopped appears in no status reply.

With restarts, a minion may start again under its id at any step. It then knows no run
and no stop, and its clock is another, so that a start in transit whose lease had
expired is valid again. Two things are assumed, not shown: an order that the earlier
incarnation had rejected, by a stop or a higher token, is not carried out by the next
one; and an owner whose token the earlier one would have rejected, as another has taken
the pool, sends nothing more to the next one before its successor does. Without the
second assumption the model is refuted, as a new incarnation knows no token.
"""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING, NamedTuple

from spec.fail_fast import fail_fast_model

if TYPE_CHECKING:
    from collections.abc import Iterator

    from minicheck import Protocol

Step = tuple[str, "State"]
MINIONS = (0, 1)
# Enough for a start to be sent, lost, sent elsewhere and found by the second owner.
MAX_RUNS = 2


class PoolVariant(Enum):
    """Select the rule, if any, that the model omits."""

    AS_DESIGNED = "as designed"
    START_BEFORE_FENCING = "a new owner starts tasks before it has fenced every minion"
    NO_REPLY_IS_REFUSAL = (
        "a task whose start was not answered is started elsewhere at once"
    )
    SILENT_IS_DEAD = "tasks of a silent minion are restarted before the lease expires"
    LEASE_BEFORE_STOP = (
        "a lease is renewed on a reconnected minion before late starts are stopped"
    )
    OWNERSHIP_UNCONFIRMED = "a replaced owner restarts tasks after lease expiry"
    DELAYED_EXTENSION_IGNORED = "tasks are restarted while a lease extension is delayed"
    FOREIGN_LEASE_IGNORED = "a lease granted by an earlier owner is treated as expired"
    PENDING_STOP_IGNORED = "a new owner treats a run that is being stopped as ended"
    LATE_START_FORGOTTEN = (
        "a task whose start was not reported is queued when its minion starts again"
    )
    LEASE_OUTLIVES_RESTART = (
        "the end of an earlier incarnation's lease is that of a start on the next one"
    )
    SENT_START_FORGOTTEN = "a job is reported as not run although a start was sent"


class Minion(NamedTuple):
    """A minion; `token` is the highest token seen and `running` the active run, or 0.

    Runs up to `highest_barred_run` may not start. `late_extension` means that a delayed
    extension made the lease outlast the expiry that owners compute from earlier calls;
    a later renewal covers it, and so does the first reply to a new owner. `leased_by`
    is the token of the owner that last granted the lease, `stopping` the run that is
    being stopped, or 0.
    """

    token: int = 1
    lease: bool = True
    running: int = 0
    highest_barred_run: int = 0
    late_extension: bool = False
    leased_by: int = 1
    stopping: int = 0
    incarnation: int = 0


class StartMessage(NamedTuple):
    """A start in transit; `lease_valid` until the lease that it carries expires."""

    minion: int
    token: int
    run: int
    lease_valid: bool = True


class Extension(NamedTuple):
    """A lease extension that is delayed on its way to a minion."""

    minion: int
    token: int


class Owner(NamedTuple):
    """An owner's view of the task and the minions.

    `unanswered_starts` are the (minion, run) pairs whose outcome is unknown, and
    `delayed_extension` the minion whose lease extension had no reply. `phase` is "away"
    (not yet owning), "settling", "found", "waiting", "sent", "active", "stopping",
    "silent" or "given up". `incarnations` are those of the minions as
    the owner knows them, and `unprobed` the minions that have not answered it since
    they started again.
    """

    phase: str
    minion: int = 0
    run: int = 0
    unanswered_starts: frozenset[tuple[int, int]] = frozenset()
    fenced: frozenset[int] = frozenset()
    unreachable: frozenset[int] = frozenset()
    delayed_extension: int | None = None
    incarnations: tuple[int, int] = (0, 0)
    unprobed: frozenset[int] = frozenset()


class State(NamedTuple):
    """The whole system; `sent` once any start was sent, `refused` once the job was.

    `restarts_left` is None if minions do not start again under their ids.
    """

    minions: tuple[Minion, Minion]
    start_messages: frozenset[StartMessage]
    first: Owner
    second: Owner
    sent: bool = False
    refused: bool = False
    extension: Extension | None = None
    extensions_left: int = 1
    restarts_left: int | None = None


def initial(restarts: int | None) -> State:
    """Return the state in which the first owner has the task and has not sent it.

    With restarts, no lease extension is delayed, to limit the number of states.
    """
    all_minions = frozenset(MINIONS)
    return State(
        (Minion(), Minion()),
        frozenset(),
        Owner("waiting", fenced=all_minions),
        Owner("away"),
        extensions_left=1 if restarts is None else 0,
        restarts_left=restarts,
    )


def steps(s: State, variant: PoolVariant) -> Iterator[Step]:
    """Yield every transition enabled in `s`."""
    yield from deliver(s)
    for name, token in (("first", 1), ("second", 2)):
        owner: Owner = getattr(s, name)
        if owner.phase == "away":
            continue
        yield from send_start(s, name, token, owner, variant)
        yield from observe_run(s, name, token, owner)
        yield from resolve_start(s, name, token, owner, variant)
        yield from lose_contact(s, name, owner, variant)
        yield from restore_contact(s, name, token, owner, variant)
        yield from delay_extension(s, name, token, owner)
        yield from see_restart(s, name, owner, variant)
        yield from probe_restarted(s, name, token, owner)
    yield from restart(s)
    yield from take_over(s, variant)
    yield from refuse_job(s, variant)


def deliver(s: State) -> Iterator[Step]:
    """Deliver messages; a minion obeys only the highest token that it has seen."""
    for message in s.start_messages:
        minion = s.minions[message.minion]
        left = s._replace(start_messages=s.start_messages - {message})
        allowed = (
            message.token >= minion.token and message.run > minion.highest_barred_run
        )
        if allowed and (message.lease_valid or minion.lease) and not minion.running:
            begun = minion._replace(
                token=message.token,
                running=message.run,
                lease=True,
                highest_barred_run=message.run,
                leased_by=message.token,
            )
            yield (
                f"run {message.run} begins on {message.minion}",
                _with_receiver(left, message, begun),
            )
        else:
            yield f"run {message.run} is rejected by {message.minion}", left
    if s.extension is not None:
        number, token = s.extension
        arrived = s._replace(extension=None)
        if token >= s.minions[number].token:
            extended = s.minions[number]._replace(late_extension=True, lease=True)
            arrived = _with_minion(arrived, number, extended)
        yield f"a delayed extension reaches {number}", arrived
    for number, minion in enumerate(s.minions):
        if minion.running:
            ended = minion._replace(running=0)
            yield f"the run on {number} ends", _with_minion(s, number, ended)
        if minion.stopping:
            stopped = minion._replace(stopping=0)
            yield (
                f"the stop on {number} is carried out",
                _with_minion(s, number, stopped),
            )


def send_start(
    s: State, name: str, token: int, owner: Owner, variant: PoolVariant
) -> Iterator[Step]:
    """An owner certain that the task runs nowhere starts it on a reachable minion."""
    if owner.phase != "waiting" or s.refused or owner.run >= MAX_RUNS:
        return
    if (
        owner.fenced != frozenset(MINIONS)
        and variant is not PoolVariant.START_BEFORE_FENCING
    ):
        return
    for number in sorted(owner.fenced - owner.unreachable - owner.unprobed):
        run = owner.run + 1
        message = StartMessage(number, token, run)
        placed = owner._replace(phase="sent", minion=number, run=run)
        state = s._replace(
            start_messages=s.start_messages | {message}, sent=True, **{name: placed}
        )
        yield f"{name} sends run {run} to {number}", state


def observe_run(s: State, name: str, token: int, owner: Owner) -> Iterator[Step]:
    """The owner sees its run in a status reply, or is notified of its end."""
    if owner.phase not in ("sent", "active") or owner.minion in owner.unreachable:
        return
    if _is_replaced(s, owner, owner.minion):
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
    elif owner.phase == "active" and minion.stopping != owner.run:
        done = owner._replace(phase="waiting")
        yield f"{name} is notified of the end", s._replace(**{name: done})
    if owner.phase == "active" and minion.running == owner.run:
        # A straggler: the owner stops it to run the task elsewhere.
        stopped = owner._replace(phase="stopping")
        state = _with_minion(s, owner.minion, _stop(minion, owner.run))
        yield f"{name} has its slow run stopped", state._replace(**{name: stopped})


def resolve_start(
    s: State, name: str, token: int, owner: Owner, variant: PoolVariant
) -> Iterator[Step]:
    """Stop an unanswered start; an acknowledged stop bars the run permanently.

    The owner waits until a run that is being stopped has ended.
    """
    if owner.minion in owner.unreachable:
        return
    replaced = _is_replaced(s, owner, owner.minion)
    if (
        owner.phase == "stopping"
        and not replaced
        and not s.minions[owner.minion].stopping
    ):
        finished = owner._replace(phase="waiting")
        yield (
            f"{name} is notified that its run was stopped",
            s._replace(**{name: finished}),
        )
    if owner.phase != "sent":
        return
    if variant is PoolVariant.NO_REPLY_IS_REFUSAL:
        again = owner._replace(phase="waiting")
        yield f"{name} treats silence as a refusal", s._replace(**{name: again})
    minion = s.minions[owner.minion]
    if minion.token <= token:
        stopped = _stop(minion, owner.run)
        if replaced:
            # The answer does not say which incarnation carried the stop out.
            yield (
                f"{name} has its run stopped on a later incarnation",
                _with_minion(s, owner.minion, stopped),
            )
            return
        resolved = owner._replace(phase="stopping" if stopped.stopping else "waiting")
        state = _with_minion(s, owner.minion, stopped)._replace(**{name: resolved})
        yield f"{name} has its run stopped", state


def delay_extension(s: State, name: str, token: int, owner: Owner) -> Iterator[Step]:
    """A lease extension gets no reply, but its minion answers a later call."""
    if not s.extensions_left or owner.phase not in ("sent", "active"):
        return
    number = owner.minion
    if number in owner.unreachable or s.minions[number].token > token:
        return
    missed = owner._replace(delayed_extension=number)
    state = s._replace(
        extension=Extension(number, token), extensions_left=0, **{name: missed}
    )
    yield f"an extension of {name} to {number} is delayed", state


def lose_contact(
    s: State, name: str, owner: Owner, variant: PoolVariant
) -> Iterator[Step]:
    """The task's minion falls silent; after some time every lease there has expired.

    Silence of the other minion needs no transition, since nothing has to be sent there.
    """
    may_run = owner.phase in ("sent", "found", "active", "stopping")
    if may_run and owner.minion not in owner.unreachable:
        number = owner.minion
        silent = owner._replace(unreachable=owner.unreachable | {number})
        if owner.phase == "sent":
            unanswered = owner.unanswered_starts | {(number, owner.run)}
            silent = silent._replace(unanswered_starts=unanswered)
        ignores_lease = variant is PoolVariant.SILENT_IS_DEAD
        silent = silent._replace(phase="waiting" if ignores_lease else "silent")
        yield f"{number} falls silent to {name}", s._replace(**{name: silent})
    if owner.phase == "silent":
        # The owner confirms with the store that it still owns the pool, because a
        # successor may have extended the lease that seems to have expired.
        replaced = name == "first" and s.second.phase != "away"
        confirmed = not replaced or variant is PoolVariant.OWNERSHIP_UNCONFIRMED
        if owner.delayed_extension == owner.minion:
            confirmed = confirmed and variant is PoolVariant.DELAYED_EXTENSION_IGNORED
        if confirmed:
            expired = _expire(s, name, owner, variant)
            yield f"the lease on {owner.minion} lapses", expired
        else:
            given_up = owner._replace(phase="given up")
            yield f"{name} gives up the task", s._replace(**{name: given_up})


def _expire(s: State, name: str, owner: Owner, variant: PoolVariant) -> State:
    number = owner.minion
    late = (number, owner.run) in owner.unanswered_starts
    if (
        s.restarts_left is not None
        and late
        and variant is not PoolVariant.LEASE_OUTLIVES_RESTART
    ):
        return _end_late_start(s, name, owner)
    if _is_replaced(s, owner, number):
        # The runs of the earlier incarnation are over; nothing is known of the next.
        return s._replace(**{name: _freed(s, name, owner)})
    start_messages = frozenset(
        message._replace(lease_valid=False) if message.minion == number else message
        for message in s.start_messages
    )
    expired = s.minions[number]
    token = 1 if name == "first" else 2
    lease_known = (
        expired.leased_by == token or variant is not PoolVariant.FOREIGN_LEASE_IGNORED
    )
    if expired.token == token and lease_known and not expired.late_extension:
        expired = expired._replace(lease=False, running=0, stopping=0)
    freed = _freed(s, name, owner)
    return _with_minion(s, number, expired)._replace(
        start_messages=start_messages, **{name: freed}
    )


def _freed(s: State, name: str, owner: Owner) -> Owner:
    """Return the owner once its run has ended with a silent or restarted minion."""
    if s.restarts_left is None:
        return owner._replace(phase="waiting")
    # A new owner starts nothing before its recovery is over.
    phase = "settling" if name == "second" else "waiting"
    return _adopt_other_run(s, owner._replace(phase=phase), owner.minion)


def _end_late_start(s: State, name: str, owner: Owner) -> State:
    """Wait until the start is too old for any incarnation to carry out, or to run."""
    number = owner.minion
    start_messages = frozenset(
        message
        for message in s.start_messages
        if (message.minion, message.run) != (number, owner.run)
    )
    minion = s.minions[number]
    token = 1 if name == "first" else 2
    if minion.token <= token and minion.leased_by <= token:
        minion = minion._replace(lease=False, running=0, stopping=0)
    freed = _freed(s, name, owner)
    return _with_minion(s, number, minion)._replace(
        start_messages=start_messages, **{name: freed}
    )


def restart(s: State) -> Iterator[Step]:
    """A minion starts again under its id, and knows nothing of before."""
    if not s.restarts_left:
        return
    for number, minion in enumerate(s.minions):
        # The token stays: see the module's text.
        begun = Minion(
            token=minion.token,
            lease=False,
            leased_by=0,
            incarnation=minion.incarnation + 1,
        )
        start_messages = frozenset(
            message._replace(lease_valid=True) if message.minion == number else message
            for message in s.start_messages
            if message.minion != number
            or (
                message.token >= minion.token
                and message.run > minion.highest_barred_run
            )
        )
        restarted = _with_minion(s, number, begun)._replace(
            start_messages=start_messages, restarts_left=s.restarts_left - 1
        )
        yield f"{number} starts again", restarted


def see_restart(
    s: State, name: str, owner: Owner, variant: PoolVariant
) -> Iterator[Step]:
    """The owner reads the entry of a later incarnation, or gets a reply from it.

    A run that the earlier one had reported has ended. Any other start may be in transit
    still, or have begun, and is stopped first.
    """
    for number in MINIONS:
        if not _is_replaced(s, owner, number):
            continue
        incarnations = list(owner.incarnations)
        incarnations[number] = s.minions[number].incarnation
        seen = owner._replace(
            incarnations=tuple(incarnations),
            unprobed=owner.unprobed | {number},
            unreachable=owner.unreachable - {number},
        )
        if owner.minion == number and owner.phase not in ("waiting", "settling"):
            phase = _phase_after_restart(owner, variant)
            seen = seen._replace(phase=phase)
            if phase == "waiting":
                seen = _freed(s, name, seen)
        yield f"{name} sees that {number} started again", s._replace(**{name: seen})


def _adopt_other_run(s: State, owner: Owner, restarted: int) -> Owner:
    """Keep to a run that was found elsewhere meanwhile, as of a replaced owner."""
    for number in sorted(owner.fenced - owner.unreachable - {restarted}):
        minion = s.minions[number]
        if owner.phase not in ("waiting", "settling") or _is_replaced(s, owner, number):
            continue
        if minion.running:
            phase = "active" if owner.phase == "waiting" else "found"
            return owner._replace(phase=phase, minion=number, run=minion.running)
        if minion.stopping:
            return owner._replace(phase="stopping", minion=number, run=minion.stopping)
    return owner


def _phase_after_restart(owner: Owner, variant: PoolVariant) -> str:
    late = (owner.minion, owner.run) in owner.unanswered_starts
    if owner.phase == "given up":
        return owner.phase
    if owner.phase == "sent" or (owner.phase == "silent" and late):
        forgets = variant is PoolVariant.LATE_START_FORGOTTEN
        return "waiting" if forgets else "sent"
    return "waiting"


def probe_restarted(s: State, name: str, token: int, owner: Owner) -> Iterator[Step]:
    """A later incarnation answers: late starts are stopped, then a lease is granted."""
    for number in sorted(owner.unprobed - owner.unreachable):
        minion = s.minions[number]
        if minion.token > token or _is_replaced(s, owner, number):
            continue
        resolved = frozenset(
            start for start in owner.unanswered_starts if start[0] == number
        )
        for _, run in resolved:
            minion = _stop(minion, run)
        probed = owner._replace(
            unprobed=owner.unprobed - {number},
            unanswered_starts=owner.unanswered_starts - resolved,
        )
        leased = minion._replace(lease=True, token=token, leased_by=token)
        yield (
            f"{name} leases {number} after its restart",
            _with_minion(s, number, leased)._replace(**{name: probed}),
        )


def _is_replaced(s: State, owner: Owner, number: int) -> bool:
    """Return whether the minion has started again and the owner does not know."""
    return s.minions[number].incarnation != owner.incarnations[number]


def restore_contact(
    s: State, name: str, token: int, owner: Owner, variant: PoolVariant
) -> Iterator[Step]:
    """A minion is reachable again: stop late starts there, then renew its lease."""
    for number in sorted(owner.unreachable):
        minion = s.minions[number]
        if minion.token > token or (owner.phase == "silent" and owner.minion == number):
            continue
        if _is_replaced(s, owner, number):
            continue
        resolved = frozenset(
            start for start in owner.unanswered_starts if start[0] == number
        )
        if variant is not PoolVariant.LEASE_BEFORE_STOP:
            for _, run in resolved:
                minion = _stop(minion, run)
        restored = owner._replace(
            unreachable=owner.unreachable - {number},
            unanswered_starts=owner.unanswered_starts - resolved,
        )
        leased = minion._replace(
            lease=True, token=token, late_extension=False, leased_by=token
        )
        yield (
            f"{name} renews the lease on {number}",
            _with_minion(s, number, leased)._replace(**{name: restored}),
        )


def take_over(s: State, variant: PoolVariant) -> Iterator[Step]:
    """The second owner takes the pool, then queries and leases each minion.

    It relies on the replies as the complete list of active runs once the runs that
    were being stopped at the time of the query have had time to end.
    """
    owner = s.second
    if owner.phase == "away":
        taken = Owner("settling", run=0)
        if variant is PoolVariant.START_BEFORE_FENCING:
            taken = Owner("waiting", run=0)
        yield "second takes the pool", s._replace(second=taken)
        return
    for number in MINIONS:
        if number in owner.fenced:
            continue
        minion = s.minions[number]
        incarnations = list(owner.incarnations)
        incarnations[number] = minion.incarnation
        seen = owner._replace(
            fenced=owner.fenced | {number},
            incarnations=tuple(incarnations),
            unprobed=owner.unprobed - {number},
        )
        if minion.running and owner.phase == "settling":
            seen = seen._replace(phase="found", minion=number, run=minion.running)
        elif minion.running and owner.phase == "waiting":
            seen = seen._replace(phase="active", minion=number, run=minion.running)
        fenced = minion._replace(token=2, late_extension=False)
        yield (
            f"second queries {number}",
            _with_minion(s, number, fenced)._replace(second=seen),
        )
    for number in sorted(owner.fenced - owner.unreachable):
        minion = s.minions[number]
        if _is_replaced(s, owner, number) or number in owner.unprobed:
            continue
        if minion.leased_by != 2:
            leased = minion._replace(lease=True, leased_by=2)
            yield f"second leases {number}", _with_minion(s, number, leased)
    stopped = not any(minion.stopping for minion in s.minions)
    no_pending_stop = stopped or variant is PoolVariant.PENDING_STOP_IGNORED
    all_seen = owner.fenced == frozenset(MINIONS) and no_pending_stop
    if all_seen and owner.phase in ("settling", "found"):
        phase = "waiting" if owner.phase == "settling" else "active"
        resolved = owner._replace(phase=phase)
        yield "second knows what runs", s._replace(second=resolved)


def refuse_job(s: State, variant: PoolVariant) -> Iterator[Step]:
    """Report the job as not run; none of its tasks may be sent after that."""
    if s.refused or s.first.phase != "waiting":
        return
    if not s.sent or variant is PoolVariant.SENT_START_FORGOTTEN:
        yield "the job is refused as not run", s._replace(refused=True)


def _stop(minion: Minion, run: int) -> Minion:
    barred = minion._replace(highest_barred_run=max(minion.highest_barred_run, run))
    if minion.running and minion.running <= run:
        return barred._replace(running=0, stopping=minion.running)
    return barred


def _with_receiver(s: State, message: StartMessage, minion: Minion) -> State:
    return _with_minion(s, message.minion, minion)


def _with_minion(s: State, number: int, minion: Minion) -> State:
    minions = list(s.minions)
    minions[number] = minion
    return s._replace(minions=tuple(minions))


def never_two_runs(s: dict) -> bool:
    """The task never has two active runs at the same time."""
    return sum(bool(m.running) + bool(m.stopping) for m in s["minions"]) <= 1


def not_run_is_true(s: dict) -> bool:
    """No start was sent for a job that was reported as not run."""
    return not (s["refused"] and s["sent"])


POOL_INVARIANTS = {check.__name__: check for check in (never_two_runs, not_run_is_true)}


def pool_model(
    variant: PoolVariant = PoolVariant.AS_DESIGNED, restarts: int | None = None
) -> Protocol:
    """Return the model of `variant`, with that many restarts under the same id."""
    return fail_fast_model(
        variant.value,
        State,
        initial(restarts),
        lambda s: steps(s, variant),
        POOL_INVARIANTS,
    )


__all__ = ["POOL_INVARIANTS", "PoolVariant", "pool_model"]
