"""Find the log line that explains the outcome of a request."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from brasstray.batch.outcome import BatchOutcome, GiveUpReason
from brasstray.pool.probe_reply import RunEnd

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Sequence

    from brasstray.trace.log_line import LogLine

# A lost link is detected, and a job with tasks behind it is given up, within about
# 1.5 s. Older lines cannot have caused the outcome.
CAUSE_WINDOW_SECONDS = 5.0
# Events that delay a request, in order of decreasing cost: after each, the task has to
# wait before it can run elsewhere.
_DELAYS = ("start_unanswered", "run_ended", "start_refused", "claimed", "moved")


@dataclass(frozen=True, slots=True)
class Cause:
    """Hold the line that explains an outcome, if one was found, and its meaning."""

    line: LogLine | None
    meaning: str


def find_cause(timeline: Sequence[LogLine], lines: Sequence[LogLine]) -> Cause:
    """Return the cause of the outcome of the request whose lines are `timeline`.

    `lines` holds the lines of all hosts, because a line about a lost owner or an
    unavailable store names no request.
    """
    answer = next((x for x in reversed(timeline) if x.kind == "answer"), None)
    if answer is None:
        return _cause_without_answer(timeline)
    outcome, reason = answer.text("outcome"), answer.text("reason")
    if outcome == BatchOutcome.SUCCEEDED.value:
        return _cause_of_success(answer, timeline)
    match reason:
        case GiveUpReason.TASK_FAILED.value:
            failed = _last_matching(timeline, _run_ended_with(RunEnd.FAILED))
            return Cause(
                failed, "a task failed in every run that its attempt limit allows"
            )
        case GiveUpReason.OVERLOADED.value:
            rejection = _last_matching(timeline, lambda line: line.kind == "rejected")
            meaning = (
                "an owner estimated that the queued work takes longer than the timeout"
            )
            return Cause(rejection, meaning)
        case GiveUpReason.EVACUATED.value:
            evacuation = _last_matching(
                lines, _logged_by_host_before(answer, "evacuations_changed")
            )
            meaning = (
                "operators have evacuated every data centre that its host can reach"
            )
            return Cause(evacuation or answer, meaning)
        case GiveUpReason.NO_POOL.value:
            lost = _last_in_window(
                answer, lines, ("owner_lost", "pool_left", "store_lost")
            )
            return Cause(lost, "its host could not reach the owner of any pool")
        case GiveUpReason.POOL_LOST.value:
            return _cause_of_lost_pool(answer, timeline, lines)
        case GiveUpReason.TOO_LATE.value:
            delay = _first_delay(timeline)
            return Cause(delay, "the timeout expired before all tasks had ended")
        case GiveUpReason.CALLER_GONE.value | GiveUpReason.CANCELLED.value:
            return Cause(answer, "the caller disconnected or cancelled the request")
        case GiveUpReason.STOPPING.value:
            interruption = _last_in_window(answer, lines, ("suspended", "draining"))
            return Cause(interruption or answer, "its host was suspended or stopped")
    return Cause(
        answer, "no explanation is known for this reason; read the lines in order"
    )


def _cause_without_answer(timeline: Sequence[LogLine]) -> Cause:
    refused = _last_matching(timeline, lambda line: line.kind == "refused")
    if refused is not None:
        return Cause(refused, "refused before any of its tasks was queued")
    meaning = "no answer was logged: its host crashed, or its log lines are missing"
    return Cause(timeline[-1] if timeline else None, meaning)


def _cause_of_success(answer: LogLine, timeline: Sequence[LogLine]) -> Cause:
    if answer.number("took_ms") <= answer.number("objective_ms"):
        return Cause(answer, "answered within the objective")
    delay = _first_delay(timeline)
    if delay is None:
        return Cause(
            answer, "late without a fault: its tasks were queued, or ran for long"
        )
    return Cause(delay, "late: this delayed the task")


def _cause_of_lost_pool(
    answer: LogLine, timeline: Sequence[LogLine], lines: Sequence[LogLine]
) -> Cause:
    in_doubt = _last_matching(
        timeline,
        lambda line: (
            line.kind == "dropped" and line.text("reason") == "outcome_unknown"
        ),
    )
    if in_doubt is not None:
        return Cause(in_doubt, "an owner could not determine whether a task still runs")
    unfinished = answer.fields.get("unfinished")
    pools = set(unfinished.values()) if isinstance(unfinished, dict) else set()
    lost = _last_matching(
        _lines_in_window(answer, lines),
        lambda line: line.kind == "owner_lost" and line.fields.get("pool") in pools,
    )
    return Cause(
        lost, "the owner of a pool that had its tasks was unreachable for too long"
    )


def _first_delay(timeline: Sequence[LogLine]) -> LogLine | None:
    for kind in _DELAYS:
        for line in timeline:
            if line.kind == kind and line.text("end") != RunEnd.DONE.value:
                return line
    return None


def _run_ended_with(end: RunEnd) -> Callable[[LogLine], bool]:
    return lambda line: line.kind == "run_ended" and line.text("end") == end.value


def _logged_by_host_before(answer: LogLine, kind: str) -> Callable[[LogLine], bool]:
    """Return a predicate for lines of the answering host, of any age."""
    return lambda line: (
        line.kind == kind and line.host == answer.host and line.at <= answer.at
    )


def _last_in_window(
    answer: LogLine, lines: Sequence[LogLine], kinds: tuple[str, ...]
) -> LogLine | None:
    return _last_matching(
        _lines_in_window(answer, lines), lambda line: line.kind in kinds
    )


def _lines_in_window(answer: LogLine, lines: Sequence[LogLine]) -> list[LogLine]:
    """Return the lines of the answering host within the window before `answer`."""
    oldest = answer.at - CAUSE_WINDOW_SECONDS
    return [x for x in lines if x.host == answer.host and oldest <= x.at <= answer.at]


def _last_matching(
    lines: Iterable[LogLine], matches: Callable[[LogLine], bool]
) -> LogLine | None:
    found = None
    for line in lines:
        if matches(line):
            found = line
    return found


__all__ = ["Cause", "find_cause"]
