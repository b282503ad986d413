"""Specify who may start a job's tasks and who may report its answer.

Each function called by `steps` yields the enabled transitions of one kind. Pauses,
partitions, lost messages and crashes of hosts other than A are modelled as transitions
that are never taken. A lost reply is a transition whose effect the sender does not see.
There are no clocks: the effect of a timeout may occur at any time.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from spec.fail_fast import fail_fast_model
from spec.state import Executor, Leader, Replica, State, initial
from spec.variant import Variant

if TYPE_CHECKING:
    from collections.abc import Iterator

    from minicheck import Protocol

Step = tuple[str, State]
HOSTS = ("a", "b")
TERM = {"a": 1, "b": 2}
TASKS = (0, 1)


def steps(s: State, variant: Variant) -> Iterator[Step]:
    """Yield every transition enabled in `s`."""
    yield from crashes_and_outages(s)
    for host in HOSTS:
        yield from submit(s, host)
        yield from start_tasks(s, host)
        yield from report_complete(s, host, variant)
        yield from fence(s, host)
        yield from report_failed(s, host, variant)
        yield from flush(s, host, variant)
        if variant is Variant.TAKEOVER_RESTARTS_TASKS:
            yield from restart_fenced_tasks(s, host)
    yield from replicate(s, variant)
    yield from take_over(s, variant)


def crashes_and_outages(s: State) -> Iterator[Step]:
    """Host A crashes; the platform has one outage and recovers.

    A crashed replica is modelled as one that never replies again, since its copies can
    only be read through its replies.
    """
    if s.leader_a.mode != "dead":
        yield (
            "A crashes",
            s._replace(leader_a=Leader("dead"), executor_a=Executor(alive=False)),
        )
    if s.platform == "up":
        yield "platform goes down", s._replace(platform="down")
    if s.platform == "down":
        yield "platform comes back", s._replace(platform="up again")


def submit(s: State, host: str) -> Iterator[Step]:
    """A host that received the job asks a leader to bind it."""
    executor = _executor(s, host)
    if not executor.alive or executor.bound:
        return
    for name in HOSTS:
        leader = _leader(s, name)
        if leader.mode != "leads":
            continue
        bound_host = _bound_host(leader)
        if bound_host is None and not leader.in_doubt:
            yield f"{name} queues bind:{host}", _enqueue(s, name, f"bind:{host}")
        elif bound_host == host and _committed(leader, f"bind:{host}"):
            bound = executor._replace(bound=True)
            yield f"{host} is bound to the job", _with_executor(s, host, bound)


def start_tasks(s: State, host: str) -> Iterator[Step]:
    """The executor starts each task that it has not recorded as started."""
    executor = _executor(s, host)
    if not (executor.alive and executor.bound):
        return
    # Tasks are interchangeable, so one start order covers both.
    task = len(executor.started)
    if task in TASKS:
        yield f"{host} starts task {task}", _start_task(s, host, task)


def restart_fenced_tasks(s: State, host: str) -> Iterator[Step]:
    """Broken variant: a host restarts a task of a job whose executor is fenced."""
    executor = _executor(s, host)
    for name in HOSTS:
        leader = _leader(s, name)
        bound_host = _bound_host(leader)
        if not executor.alive or bound_host in (None, host):
            continue
        if f"fence:{bound_host}" in leader.view and 0 not in executor.started:
            yield f"{host} starts task 0 again", _start_task(s, host, 0)


def report_complete(s: State, host: str, variant: Variant) -> Iterator[Step]:
    """The executor reports the answer only after it is committed."""
    executor = _executor(s, host)
    if not executor.alive or executor.started != frozenset(TASKS):
        return
    if variant is Variant.REPORTED_BEFORE_COMMIT:
        yield f"{host} reports complete", s._replace(reported=s.reported | {"complete"})
    for name in HOSTS:
        leader = _leader(s, name)
        if leader.mode != "leads":
            continue
        answer = f"answer:{host}"
        if answer in leader.view:
            if _committed(leader, answer):
                yield (
                    f"{host} reports complete",
                    s._replace(reported=s.reported | {"complete"}),
                )
        elif f"fence:{host}" not in leader.view:
            yield f"{name} queues {answer}", _enqueue(s, name, answer)


def fence(s: State, host: str) -> Iterator[Step]:
    """A leader fences the executor, which may be alive or dead."""
    leader = _leader(s, host)
    bound_host = _bound_host(leader)
    if leader.mode != "leads" or leader.offline or bound_host is None:
        return
    if f"fence:{bound_host}" not in leader.view:
        yield f"{host} queues fence", _enqueue(s, host, f"fence:{bound_host}")


def report_failed(s: State, host: str, variant: Variant) -> Iterator[Step]:
    """A leader reports failure for a fenced executor without a committed answer."""
    leader = _leader(s, host)
    bound_host = _bound_host(leader)
    if leader.mode != "leads" or bound_host is None or leader.in_doubt:
        return
    fence_record, answer = f"fence:{bound_host}", f"answer:{bound_host}"
    flushed = (
        fence_record not in leader.queue or variant is Variant.FENCE_REPORTED_EARLY
    )
    if fence_record in leader.view and flushed and answer not in leader.view:
        yield f"{host} reports failed", s._replace(reported=s.reported | {"failed"})


def flush(s: State, host: str, variant: Variant) -> Iterator[Step]:
    """A leader appends its queue with compare-and-swap on the next segment number."""
    leader = _leader(s, host)
    if leader.mode != "leads" or not leader.queue:
        return
    if s.platform == "down":
        if not leader.offline:
            yield f"{host} goes offline", _with_leader(s, host, _go_offline(leader))
        return
    if leader.next_segment < len(s.journal):
        term, records = s.journal[leader.next_segment]
        if term != TERM[host]:
            deposed = Leader("deposed")
            yield f"{host} learns it is deposed", _with_leader(s, host, deposed)
        else:
            updated = _after_flush(leader, records)
            yield f"{host} reads its own write back", _with_leader(s, host, updated)
        return
    written = s._replace(journal=(*s.journal, (TERM[host], leader.queue)))
    updated = _after_flush(leader, leader.queue)
    yield f"{host} writes a segment", _with_leader(written, host, updated)
    if s.lost_replies_left:
        lost = written._replace(lost_replies_left=0)
        if variant is Variant.LOST_REPLY_IS_FAILURE:
            without_write = leader._replace(
                view=leader.view - leader.queue, queue=frozenset()
            )
            yield (
                f"{host} forgets a lost write",
                _with_leader(lost, host, without_write),
            )
        else:
            yield (
                f"{host} writes, reply lost",
                _with_leader(lost, host, _go_offline(leader)),
            )


def replicate(s: State, variant: Variant) -> Iterator[Step]:
    """While offline, the first term's leader copies its queue to each replica.

    Once every replica was notified, a record is committed when one replica has it.
    """
    if s.leader_a.mode != "leads" or not s.leader_a.offline:
        return
    for i, replica in enumerate(s.replicas):
        if not replica.alive:
            continue
        if replica.fenced and variant is not Variant.LATE_COPY_ACCEPTED:
            yield "A is refused a copy", s._replace(leader_a=Leader("deposed"))
            continue
        with_copy = replica._replace(
            copies=(replica.copies or frozenset()) | s.leader_a.queue
        )
        copy_stored = _with_replica(s, i, with_copy)
        notified_replicas = s.leader_a.notified_replicas | {i}
        all_notified = (
            len(notified_replicas) == len(s.replicas)
            or variant is Variant.ONE_NOTIFICATION_ENOUGH
        )
        replicated = (
            s.leader_a.replicated | s.leader_a.queue
            if all_notified
            else s.leader_a.replicated
        )
        acknowledged = s.leader_a._replace(
            notified_replicas=notified_replicas, replicated=replicated
        )
        yield f"R{i} stores a copy", copy_stored._replace(leader_a=acknowledged)
        yield f"R{i} stores a copy, reply lost", copy_stored


def take_over(s: State, variant: Variant) -> Iterator[Step]:
    """Host B seals the journal, fences the replicas and becomes leader."""
    if s.leader_b.mode == "standby" and s.platform != "down":
        view = frozenset().union(*(records for _, records in s.journal))
        sealed = Leader("sealed", view=view, next_segment=len(s.journal) + 1)
        journal = (*s.journal, (2, frozenset()))
        yield "B seals the journal", s._replace(leader_b=sealed, journal=journal)
    if s.leader_b.mode != "sealed":
        return
    for i, replica in enumerate(s.replicas):
        if replica.alive and s.replies[i] == "unasked":
            replies = list(s.replies)
            replies[i] = replica.copies
            fenced = _with_replica(s, i, replica._replace(fenced=True))
            yield f"B fences R{i}", fenced._replace(replies=tuple(replies))
    fence_replies = [r for r in s.replies if r != "unasked"]
    never_offline = None in fence_replies
    if (
        never_offline
        or len(fence_replies) == len(s.replicas)
        or variant is Variant.REPLICAS_NOT_READ
    ):
        yield "B leads", _begin_term(s, fence_replies, in_doubt=False)
    else:
        in_doubt = variant is not Variant.DOUBT_IGNORED
        yield "B leads in doubt", _begin_term(s, fence_replies, in_doubt=in_doubt)


def _begin_term(s: State, fence_replies: list, in_doubt: bool) -> State:
    copies = frozenset().union(*(records or frozenset() for records in fence_replies))
    view = s.leader_b.view | copies
    # The recovered copies are appended in the same transition: B serves no request
    # before the append is confirmed.
    if s.platform == "down":
        return s
    journal = (*s.journal, (2, copies))
    leader = Leader("leads", view=view, in_doubt=in_doubt, next_segment=len(journal))
    return s._replace(leader_b=leader, journal=journal, replies=("done", "done"))


def _leader(s: State, host: str) -> Leader:
    return s.leader_a if host == "a" else s.leader_b


def _executor(s: State, host: str) -> Executor:
    return s.executor_a if host == "a" else s.executor_b


def _with_leader(s: State, host: str, leader: Leader) -> State:
    return s._replace(leader_a=leader) if host == "a" else s._replace(leader_b=leader)


def _with_executor(s: State, host: str, executor: Executor) -> State:
    return (
        s._replace(executor_a=executor)
        if host == "a"
        else s._replace(executor_b=executor)
    )


def _with_replica(s: State, i: int, replica: Replica) -> State:
    return s._replace(
        replicas=(replica, s.replicas[1]) if i == 0 else (s.replicas[0], replica)
    )


def _enqueue(s: State, host: str, record: str) -> State:
    leader = _leader(s, host)
    queued = leader._replace(view=leader.view | {record}, queue=leader.queue | {record})
    return _with_leader(s, host, queued)


def _bound_host(leader: Leader) -> str | None:
    return next((h for h in HOSTS if f"bind:{h}" in leader.view), None)


def _committed(leader: Leader, record: str) -> bool:
    stored = record not in leader.queue or record in leader.replicated
    return record in leader.view and stored


def _go_offline(leader: Leader) -> Leader:
    return leader._replace(
        offline=True, notified_replicas=frozenset(), replicated=frozenset()
    )


def _after_flush(leader: Leader, records: frozenset[str]) -> Leader:
    queue = leader.queue - records
    online = leader._replace(
        queue=queue,
        replicated=leader.replicated & queue,
        next_segment=leader.next_segment + 1,
    )
    if queue:
        return online
    return online._replace(offline=False, notified_replicas=frozenset())


def _start_task(s: State, host: str, task: int) -> State:
    executor = _executor(s, host)
    starts = list(s.starts)
    starts[task] += 1
    started = executor._replace(started=executor.started | {task})
    return _with_executor(s, host, started)._replace(starts=tuple(starts))


def no_second_start(s: dict) -> bool:
    """No task starts more than once."""
    return all(count <= 1 for count in s["starts"])


def no_two_answers(s: dict) -> bool:
    """The caller never receives two different answers."""
    return not {"complete", "failed"} <= s["reported"]


def no_partial_answer(s: dict) -> bool:
    """A job is reported complete only if every task was started."""
    return "complete" not in s["reported"] or all(s["starts"])


def record_matches(s: dict) -> bool:
    """A failure is reported only if the journal holds a fence."""
    records = frozenset().union(*(records for _, records in s["journal"]))
    return "failed" not in s["reported"] or bool(records & {"fence:a", "fence:b"})


INVARIANTS = {
    check.__name__: check
    for check in (no_second_start, no_two_answers, no_partial_answer, record_matches)
}


def model(variant: Variant = Variant.AS_DESIGNED) -> Protocol:
    """Return the model of `variant` for the checker."""
    return fail_fast_model(
        variant.value, State, initial(), lambda s: steps(s, variant), INVARIANTS
    )


__all__ = ["INVARIANTS", "model", "steps"]
