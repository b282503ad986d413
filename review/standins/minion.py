"""Stand in for minions that run tasks under leases and fencing tokens."""

from __future__ import annotations

import asyncio
import json

from standins.http import Server

STOP_S = 0.02
MAX_LEASE_MS = 1_000
TICK_S = 0.002


class Run:
    """Hold one run of a task on one minion."""

    def __init__(self, task, run, needs_cpu, work_s, now):
        self.task, self.run, self.cpu, self.work_s = task, run, needs_cpu, work_s
        self.began = now
        self.stopped_at = None


class Minion:
    """Start whatever it is told to start, and record it.

    `plan(task, spec)` returns the thousandths of a core and the seconds of a task.
    """

    def __init__(self, store, record, number, zone, plan, cpu=16_000):
        self.id = f"i-{zone}-{number}"
        self.zone = zone
        self.cpu = cpu
        self.runs = {}
        self._store, self._record, self._plan = store, record, plan
        self._token = 0
        self._until_ms = 0
        self._highest = {}
        self._ends = []
        self._end_count = 0
        self._ended = asyncio.Event()
        self._seq = 0
        # The start of this minion in Unix ms; None if it does not report that.
        self.born = None
        # Returns whether a call is carried out but left unanswered.
        self.mute = lambda _: False

    async def start(self):
        """Listen, and register in the store at each beat."""
        self._server = await Server(self._respond).start()
        self._loop = asyncio.get_running_loop()
        self._origin = self._loop.time() - 5
        self._tasks = [
            asyncio.create_task(self._tick()),
            asyncio.create_task(self._beat()),
        ]
        return self

    @property
    def clock_ms(self):
        """Return the time of the own steady clock."""
        return int((self._loop.time() - self._origin) * 1_000)

    @property
    def used(self):
        """Return the thousandths of a core in use, also by what is being stopped."""
        return sum(run.cpu for run in self.runs.values())

    async def _beat(self):
        while True:
            self.register()
            await asyncio.sleep(1.5)

    def register(self):
        """Write the entry of this minion into the store."""
        self._seq += 1
        entry = {
            "Service": "s",
            "Address": f"127.0.0.1:{self._server.port}",
            "Zone": self.zone,
            "Version": "v1",
            "Slots": 8,
            "State": "ready",
            "ColdLeftMs": 0,
            "Capacity": {"Cpu": self.cpu, "MemMb": 32_768, "Gpu": 0},
            "Labels": ["a", "r1"],
            "ClockMs": self.clock_ms,
            "Seq": self._seq,
        }
        if self.born is not None:
            entry["born"] = self.born
        self._store.put(f"servers/{self.id}", json.dumps(entry).encode())

    async def _tick(self):
        while True:
            await asyncio.sleep(TICK_S)
            now, expired = self._loop.time(), self.clock_ms >= self._until_ms
            for run in list(self.runs.values()):
                if run.stopped_at is not None:
                    if now - run.stopped_at >= STOP_S:
                        self._end(run, "stopped")
                elif now - run.began >= run.work_s:
                    self._end(run, "done")
                elif expired:
                    self._end(run, "lapsed")

    def _end(self, run, how):
        del self.runs[run.task]
        self._end_count += 1
        self._ends.append([self._end_count, run.task, run.run, how, ""])
        self._record.add("end", minion=self.id, task=run.task, run=run.run, how=how)
        self._ended.set()
        self._ended = asyncio.Event()

    def _extend(self, until_ms):
        longest = self.clock_ms + MAX_LEASE_MS
        self._until_ms = max(self._until_ms, min(until_ms, longest))

    async def _respond(self, request):
        if request.path == "/health":
            return 200, {}
        muted = self.mute(request)
        status, content = await self._carry_out(request)
        if self.born is not None:
            content["born"] = self.born
        return None if muted else (status, content)

    async def _carry_out(self, request):
        if request.headers.get("x-target-instance", self.id) != self.id:
            return 421, {}
        body = request.json()
        token = body.get("FencingToken", 0)
        if token < self._token:
            return 409, {"ClockMs": self.clock_ms, "Reason": "fence"}
        self._token = token
        match request.path:
            case "/-/hold":
                return await self._hold(body)
            case "/-/run-start":
                return self._start(body)
            case "/-/run-stop":
                return self._stop(body)
        return 400, {"ClockMs": self.clock_ms}

    async def _hold(self, body):
        if body.get("UntilMs"):
            self._extend(body["UntilMs"])
        seen = body.get("LastSeen", 0)
        self._ends = [end for end in self._ends if end[0] > seen]
        if not self._ends and body.get("WaitMs"):
            try:
                async with asyncio.timeout(body["WaitMs"] / 1_000):
                    await self._ended.wait()
            except TimeoutError:
                pass
        now = self._loop.time()
        running = [
            [r.task, r.run, "", min(99, int(100 * (now - r.began) / r.work_s)), r.cpu]
            for r in self.runs.values()
            if r.stopped_at is None
        ]
        return 200, {
            "ClockMs": self.clock_ms,
            "Running": running,
            "Finished": self._ends[:500],
        }

    def _start(self, body):
        task, number = body["Task"], body["Run"]
        here = self.runs.get(task)
        if here is not None and here.run == number:
            return 200, {"ClockMs": self.clock_ms}
        self._extend(body["UntilMs"])
        if number <= self._highest.get(task, 0):
            return 409, {"ClockMs": self.clock_ms, "Reason": "old"}
        if body["UntilMs"] <= self.clock_ms:
            return 409, {"ClockMs": self.clock_ms, "Reason": "late"}
        self._highest[task] = number
        cpu, work_s = self._plan(task, body["Spec"])
        self.runs[task] = Run(task, number, cpu, work_s, self._loop.time())
        self._record.add(
            "start",
            minion=self.id,
            task=task,
            run=number,
            token=body["FencingToken"],
            used=self.used,
            capacity=self.cpu,
        )
        return 200, {"ClockMs": self.clock_ms}

    def _stop(self, body):
        task, number = body["Task"], body["Run"]
        self._highest[task] = max(number, self._highest.get(task, 0))
        run = self.runs.get(task)
        if run is not None and run.run <= number and run.stopped_at is None:
            run.stopped_at = self._loop.time()
        return 200, {"ClockMs": self.clock_ms}
