"""Make sure that every slot of every minion has one credit somewhere."""

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

# Heartbeats are up to half a second old, so a credit that moved in that time is in
# both counts or in neither. Only what is wrong in every round for so long is mended.
CONFIRMING_ROUNDS = 4


class CreditReconciler:
    """Count the credits of the minions that this host is home to, by heartbeats.

    A minion's home is the live host with the highest hash of both names, so hosts
    agree on it as far as they agree on who lives. Credits that died with their holder
    or were lost on the way are missing in several rounds, and are minted anew.
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
        self._assigned_peers: dict[str, IncarnationId | None] = {}

    async def run(self) -> None:
        """Count and mint until cancelled."""
        # Peers are heard first: their credits would otherwise be minted twice.
        await self._clock.sleep(self._config.timing.suspect_after)
        while True:
            self._reconcile()
            await self._clock.sleep(self._config.timing.reconcile_interval)

    def _reconcile(self) -> None:
        held_elsewhere: Counter[str] = Counter()
        live = self._membership.live()
        for member in live:
            held_elsewhere.update(member.holdings)
        candidates = [m.incarnation for m in live if not m.draining]
        for load in self._pool.loads:
            minion = load.listed.name
            if not load.staying or self.assigned_peer(minion, candidates) is not None:
                self._shortfalls.pop(minion, None)
                continue
            self._correct(
                load, load.listed.slots - load.credits - held_elsewhere[minion]
            )

    def _correct(self, load: MinionLoad, shortfall: int) -> None:
        name = load.listed.name
        first_round = name not in self._shortfalls
        recent = self._shortfalls.setdefault(name, deque(maxlen=CONFIRMING_ROUNDS))
        recent.append(shortfall)
        if first_round and shortfall == load.listed.slots:
            # Nobody has a credit of this minion: it or the data centre is new.
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
        """Return which of `peers` is home to `minion`, or None if this host is."""
        if peers != self._peers:
            self._peers, self._assigned_peers = list(peers), {}
        if minion not in self._assigned_peers:
            own_score = _rendezvous_score(self._config.incarnation, minion)
            best_peer = max(
                peers, key=lambda name: _rendezvous_score(name, minion), default=None
            )
            assigned_here = (
                best_peer is None or _rendezvous_score(best_peer, minion) <= own_score
            )
            self._assigned_peers[minion] = None if assigned_here else best_peer
        return self._assigned_peers[minion]

    def holdings_by_peer(self) -> dict[IncarnationId, dict[str, int]]:
        """Return this host's credits, by the peer that counts them."""
        live = [m.incarnation for m in self._membership.live() if not m.draining]
        holdings: dict[IncarnationId, dict[str, int]] = {}
        for load in self._pool.loads:
            assigned_peer = (
                self.assigned_peer(load.listed.name, live) if load.credits else None
            )
            if assigned_peer is not None:
                holdings.setdefault(assigned_peer, {})[load.listed.name] = load.credits
        return holdings


def _rendezvous_score(host: str, minion: str) -> bytes:
    return hashlib.blake2b(f"{host}/{minion}".encode(), digest_size=8).digest()


__all__ = ["CreditReconciler"]
