"""Draw orders of events in which a minion forgets ends that nobody has read."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass, field
from datetime import timedelta
from random import Random

from tests.pool.takeover import JOB, Requester, request
from tests.pool.test_restarts import BORN, ms, own, report_born, run_short_tasks

from brasstray.batch.ids import FencingToken
from brasstray.batch.task_name import TaskName
from brasstray.peer.message.tasks_ended import TasksEnded
from brasstray.peer.message.tasks_returned import TasksReturned
from brasstray_standins.leased_minion import Work
from brasstray_standins.leased_minions import ONE_WAY_DELAY

EARLIER_JOB, LATER_JOB = "b" * 16, "c" * 16
EARLIER_TASKS = 6
# Longer than three runs of each task on a minion that is suspected meanwhile.
MAX_DURATION = timedelta(seconds=20)


@dataclass
class TimedRequester(Requester):
    """Keep when each task of a job was answered, and how.

    A task is refused if its minions are suspected until its caller gives up.
    """

    pool: object
    done: dict[int, list[timedelta]] = field(default_factory=lambda: defaultdict(list))
    refused: dict[int, list[timedelta]] = field(
        default_factory=lambda: defaultdict(list)
    )
    unknown: dict[int, list[timedelta]] = field(
        default_factory=lambda: defaultdict(list)
    )

    def send(self, message):
        now = self.pool.clock.monotonic()
        match message:
            case TasksEnded():
                for index in (*message.done, *message.failed):
                    self.done[index].append(now)
            case TasksReturned():
                kind = self.unknown if message.outcome_unknown else self.refused
                for index in message.indices:
                    kind[index].append(now)

    send_deferred = send

    def answers(self, index):
        return self.done[index] + self.refused[index] + self.unknown[index]


@dataclass
class LostEndOrder:
    """Let a probe of before a restart remove ends while their minion is cut off.

    `lost` has the tasks whose end it removed unread, with their starts until then, and
    `back_at` is when the minions answered again.
    """

    pool: object
    random: Random
    lost: dict[TaskName, int] = field(default_factory=dict)
    back_at: timedelta = timedelta(0)

    def __post_init__(self):
        self.requesters = {JOB: TimedRequester(self.pool)}
        self.widths = {JOB: self.random.randint(1, 3)}
        # The start has been answered, and the leases outlast the silence.
        self.cut_after_ms = self.random.randint(3, 150)
        self.unread_ms = self.random.choice((60, 150, 300))

    async def run(self):
        pool, random = self.pool, self.random
        report_born(pool)
        owner, calls = await own(pool)
        await run_short_tasks(pool, owner, EARLIER_JOB, EARLIER_TASKS)
        restarted = list(pool.stand_ins.values())[: random.choice((1, 2))]
        stale = {stand_in: stand_in.entry for stand_in in restarted}
        for stand_in in restarted:
            stand_in.restart(BORN + 5_000)
        await pool.clock.sleep(ms(500))
        owner.update_minions(pool.entries)
        await pool.clock.sleep(ms(200))
        self._ask(owner, JOB)
        await pool.clock.sleep(ms(self.cut_after_ms))
        calls.cut.update(stand_in.entry.id for stand_in in restarted)
        await pool.clock.sleep(ms(self.unread_ms))
        removed = set()
        for stand_in, entry in stale.items():
            removed |= await self._probe_late(stand_in, entry)
        await pool.clock.sleep(ms(random.choice((0, 0, 50))))
        calls.cut.clear()
        self.back_at = pool.clock.monotonic()
        # A reply that was on its way has listed the end all the same.
        await pool.clock.sleep(3 * ONE_WAY_DELAY)
        unread = {key for m in owner.minions for key in m.runs if key in removed}
        starts = pool.recorder.starts
        self.lost = {task: starts.count(task) for task, _ in unread}
        if random.random() < 0.5:
            await pool.clock.sleep(ms(random.randint(0, 300)))
            self.requesters[LATER_JOB] = TimedRequester(pool)
            self.widths[LATER_JOB] = random.randint(1, 3)
            self._ask(owner, LATER_JOB)
        while pool.clock.monotonic() < MAX_DURATION and not self._all_answered:
            await pool.clock.sleep(ms(20))
        await pool.clock.sleep(ms(500))
        self.left = {m.entry.id: len(m.runs) for m in owner.minions if m.runs}

    def _ask(self, owner, job):
        for index in range(self.widths[job]):
            self.pool.recorder.work_by_task[TaskName(job, 0, index)] = Work(
                self.pool.recorder.default_work.needs,
                ms(self._draw_work_ms()),
                self.random.random() < 0.25,
            )
        message = request(claimed=False, job=job, width=self.widths[job])
        owner.run_tasks(self.requesters[job], message)

    def _draw_work_ms(self):
        if self.random.random() < 0.3:
            return self.random.choice((20, 60, 150, 300, 700))
        return self.cut_after_ms + self.random.randint(10, self.unread_ms)

    async def _probe_late(self, stand_in, stale):
        """Remove ends as a late probe does; return the runs whose end that was."""
        number = self.random.choice((1, 2, EARLIER_TASKS))
        reply = await stand_in.hold(stale, FencingToken(1), 0, None, ms(0))
        await stand_in.hold(stale, FencingToken(1), number, None, ms(0))
        return {(end.task, end.run) for end in reply.ended if end.number <= number}

    @property
    def _all_answered(self):
        return all(
            requester.answers(index)
            for job, requester in self.requesters.items()
            for index in range(self.widths[job])
        )

    def faults(self, answer_within):
        """Return what a caller or a minion would find wrong, as messages."""
        faults = list(self.pool.recorder.broken)
        starts = self.pool.recorder.starts
        for task, before in self.lost.items():
            if starts.count(task) > before:
                faults.append(f"{task} may be done, and started again")
        for job, requester in self.requesters.items():
            for index in range(self.widths[job]):
                name = TaskName(job, 0, index)
                answers = requester.answers(index)
                if len(answers) != 1:
                    faults.append(f"{name} has {len(answers)} answers")
                elif name in self.lost and answers[0] - self.back_at > answer_within:
                    faults.append(f"{name} is answered {answers[0] - self.back_at} on")
                if requester.refused[index] and name in self.lost:
                    faults.append(f"{name} is refused, though it may be done")
                if requester.unknown[index] and name not in self.lost:
                    faults.append(f"{name} is unknown, though its end was not lost")
        if self.left:
            faults.append(f"capacity is still used: {self.left}")
        return faults


async def play_lost_ends(pool, seed):
    """Play one drawn order; return what was played."""
    order = LostEndOrder(pool, Random(f"lost ends {seed}"))
    await order.run()
    return order
