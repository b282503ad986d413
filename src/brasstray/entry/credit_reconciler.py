"""Keep exactly one credit for every slot of every minion in the data centre."""

from __future__ import annotations

import hashlib
from collections import Counter, deque
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from brasstray.clock.clock import Clock
    from brasstray.dispatch.minion_load import MinionLoad
    from brasstray.dispatch.minion_pool import MinionPool
    from brasstray.entry.config import EntryConfig
    from brasstray.entry.membership import Membership
    from brasstray.job.ids import IncarnationId

# Heartbeats are up to half a second old, so a credit that has moved meanwhile is
# counted at both hosts or at neither. Only a difference that is found in this many
# rounds in a row is corrected.
CONFIRMING_ROUNDS = 4


class CreditReconciler:
    """Compare the credits of the minions assigned to this host with their slots.

    Heartbeats report the credits that peers hold. Minions are assigned to hosts by
    rendezvous hashing over the live hosts, so hosts agree on the assignment as far as
    they agree on which hosts are live. Credits lost with their holder or in transit
    are missing in several rounds in a row, and are then created again.
    """

    def __init__(
        self,
        config: EntryConfig,
        membership: Membership,
        pool: MinionPool,
        clock: Clock,
    ) -> None:
        self._config = config
        self._membership = membership
        self._pool = pool
        self._clock = clock
        self._shortfalls: dict[str, deque[int]] = {}
        self._peers: list[IncarnationId] = []
        self._assigned: dict[str, IncarnationId | None] = {}

    async def run(self) -> None:
        """Reconcile at regular intervals until cancelled."""
        # Wait for the heartbeats of peers, or credits that they hold are created twice.
        await self._clock.sleep(self._config.timing.suspect_after)
        while True:
            self._reconcile()
            await self._clock.sleep(self._config.timing.reconcile_interval)

    def _reconcile(self) -> None:
        elsewhere: Counter[str] = Counter()
        live = self._membership.live()
        for member in live:
            elsewhere.update(member.holdings)
        candidates = [m.incarnation for m in live if not m.draining]
        for load in self._pool.minions:
            minion = load.listed.name
            if (
                not load.accepts_work
                or self.assigned_peer(minion, candidates) is not None
            ):
                self._shortfalls.pop(minion, None)
                continue
            self._correct(load, load.listed.slots - load.credits - elsewhere[minion])

    def _correct(self, load: MinionLoad, shortfall: int) -> None:
        name = load.listed.name
        first_round = name not in self._shortfalls
        recent = self._shortfalls.setdefault(name, deque(maxlen=CONFIRMING_ROUNDS))
        recent.append(shortfall)
        if first_round and shortfall == load.listed.slots:
            # No host holds a credit of this minion: it or the data centre is new.
            self._pool.add_credits({name: shortfall})
            recent.clear()
        elif len(recent) == CONFIRMING_ROUNDS and min(recent) > 0:
            self._pool.add_credits({name: min(recent)})
            recent.clear()
        elif len(recent) == CONFIRMING_ROUNDS and max(recent) < 0:
            self._pool.drop_credits(load, -max(recent))
            recent.clear()

    def assigned_peer(
        self, minion: str, peers: list[IncarnationId]
    ) -> IncarnationId | None:
        """Return the peer that `minion` is assigned to, or None if it is this host."""
        if peers != self._peers:
            self._peers, self._assigned = list(peers), {}
        if minion not in self._assigned:
            own = _score(self._config.incarnation, minion)
            best = max(peers, key=lambda name: _score(name, minion), default=None)
            ours = best is None or _score(best, minion) <= own
            self._assigned[minion] = None if ours else best
        return self._assigned[minion]

    def holdings_by_peer(self) -> dict[IncarnationId, dict[str, int]]:
        """Return this host's credits by minion, for each peer that reconciles them."""
        live = [m.incarnation for m in self._membership.live() if not m.draining]
        holdings: dict[IncarnationId, dict[str, int]] = {}
        for load in self._pool.minions:
            peer = self.assigned_peer(load.listed.name, live) if load.credits else None
            if peer is not None:
                holdings.setdefault(peer, {})[load.listed.name] = load.credits
        return holdings


def _score(host: str, minion: str) -> bytes:
    return hashlib.blake2b(f"{host}/{minion}".encode(), digest_size=8).digest()


__all__ = ["CreditReconciler"]
