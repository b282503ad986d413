"""Draw orders in which starts are carried out late by a minion's next start."""

from __future__ import annotations

from dataclasses import dataclass, replace

from tests.pool.restart_orders import BORN, MAX_DURATION, TICK, RestartOrder, ms

LIST_INTERVAL_MS = 500
# Silence lets the task start elsewhere at about 1.2 s where nothing holds it.
MAX_LATE_MS = 3_500


@dataclass
class LateStartOrder(RestartOrder):
    """Let minions crash with unanswered starts, and start again out of reach.

    The starts are carried out before the owner, or its successor, reaches them.
    """

    async def run(self):
        pool, random = self.pool, self.random
        for stand_in in pool.stand_ins.values():
            stand_in.entry = replace(stand_in.entry, born=BORN)
        await self._start_owner(1)
        late = ms(random.randint(300, MAX_LATE_MS))
        self.calls.call_delay = late
        await pool.clock.sleep(ms(120))
        self.calls.delayed_starts = random.choice((1, 1, 2))
        self.requester.ask(self.owners[-1], claimed=False)
        while self.calls.delayed_starts:
            await pool.clock.sleep(ms(1))
        sent = pool.clock.monotonic()
        lists_from = sent + random.choice((ms(0), late, late + ms(600)))
        pool.group.start_soon(self._list_from, lists_from)
        out_of_reach_until = sent + late + ms(random.randint(50, 900))
        for minion_id in self._used_minions()[:1]:
            pool.group.start_soon(
                self._restart_out_of_reach, minion_id, sent + late, out_of_reach_until
            )
        if random.random() < 0.25:
            await pool.clock.sleep(ms(random.randint(0, 1_500)))
            await self._take_over()
        while pool.clock.monotonic() < MAX_DURATION and self.requester.open_tasks:
            await pool.clock.sleep(TICK)
        await pool.clock.sleep(ms(300))

    async def _start_owner(self, token):
        self.calls = self.pool.calls()
        owner, self.scope = self.pool.start_owner(token, self.calls)
        self.owners.append(owner)
        await self.pool.list_all_minions(owner)

    async def _list_from(self, begin):
        clock = self.pool.clock
        while True:
            if clock.monotonic() >= begin:
                for owner in self.owners:
                    if not owner.deposed:
                        owner.update_minions(self.pool.entries)
            await clock.sleep(ms(self.random.randint(1, LIST_INTERVAL_MS)))

    async def _restart_out_of_reach(self, minion_id, before, until):
        clock, random = self.pool.clock, self.random
        stand_in = self.pool.stand_ins[minion_id]
        calls = self.calls
        calls.cut.add(minion_id)
        stand_in.crash()
        for _ in range(random.choice((1, 1, 2))):
            await clock.sleep((before - clock.monotonic()) * random.random())
            self.born += random.randint(1, 5_000)
            stand_in.restart(self.born, random.choice((0, 50, 100_000)))
            self.restarts += 1
        await clock.sleep(until - clock.monotonic())
        calls.cut.discard(minion_id)
