"""Move slot credits between the entry hosts of a data centre to where work waits."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from typing import TYPE_CHECKING

import anyio

from brasstray.job.incarnation import host_of
from brasstray.peer.errors import PeerError
from brasstray.peer.messages import BorrowSlots, GrantSlots, SlotsGranted

if TYPE_CHECKING:
    from datetime import timedelta

    from brasstray.clock.clock import Clock
    from brasstray.dispatch.minion_load import MinionLoad
    from brasstray.dispatch.minion_pool import MinionPool
    from brasstray.entry.config import EntryConfig
    from brasstray.entry.membership import Membership
    from brasstray.job.ids import IncarnationId, ServiceName
    from brasstray.peer.peers import Peers

ASKED_PEERS = 3


@dataclass
class _Claim:
    """What a peer asked for and did not get: a wish, and what it is owed of it."""

    service: ServiceName
    wanted: int
    owed: int
    asked_at: timedelta


class CreditExchange:
    """Ask peers for credits while tasks wait, and yield credits to peers that ask.

    A credit is the right to fill one slot of one minion. Its holder uses it again and
    again while it has work. Idle credits go to peers whose tasks wait; if both have
    work, the one that holds more yields until both hold alike, so a small job finds
    slots beside a large one. A credit that is lost on its way is minted anew by its
    minion's home; one held twice costs a refusal, never a second start.
    """

    def __init__(
        self,
        config: EntryConfig,
        membership: Membership,
        pool: MinionPool,
        peers: Peers,
        clock: Clock,
    ) -> None:
        self._config = config
        self._membership = membership
        self._pool = pool
        self._peers = peers
        self._clock = clock
        self._claims: dict[IncarnationId, _Claim] = {}
        self._reserved: dict[IncarnationId, Counter[str]] = {}
        self._idle = anyio.Event()
        pool.set_idle_callback(self._on_idle_credit)

    def _on_idle_credit(self, load: MinionLoad) -> None:
        if not self._claims:
            return
        self._idle.set()
        if self._pool.demand:
            self._reserve(load)

    def _reserve(self, load: MinionLoad) -> None:
        # Guards against a claim that is never served: with jobs waiting here, a credit
        # is idle only for this moment.
        for peer, claim in self._claims.items():
            if claim.owed > 0 and claim.service in load.services:
                self._pool.drop_credits(load, 1)
                self._settle(peer, claim, 1)
                self._reserved.setdefault(peer, Counter())[load.listed.name] += 1
                return

    async def run(self) -> None:
        """Borrow and yield until cancelled."""
        async with anyio.create_task_group() as group:
            group.start_soon(self._borrow)
            group.start_soon(self._serve_claims)

    async def _borrow(self) -> None:
        while True:
            await self._pool.wait_for_demand()
            async with anyio.create_task_group() as group:
                for service, count in self._pool.demand.items():
                    for peer in self._asked_peers():
                        group.start_soon(self._ask, peer, service, count)
            await self._clock.sleep(self._config.timing.borrow_interval)

    def _asked_peers(self) -> list[IncarnationId]:
        live = sorted(self._membership.live(), key=lambda member: -member.held_credits)
        return [member.incarnation for member in live[:ASKED_PEERS]]

    async def _ask(self, peer: IncarnationId, service: ServiceName, count: int) -> None:
        message = BorrowSlots(
            service=service, wanted=count, held=self._pool.held_credits
        )
        timeout = self._config.timing.peer_timeout
        try:
            reply = await self._peers.call(host_of(peer), peer, message, timeout)
        except PeerError:
            return
        if isinstance(reply, SlotsGranted):
            self._pool.add_credits(reply.minions)

    def grant(self, peer: IncarnationId, message: BorrowSlots) -> SlotsGranted:
        """Return idle credits for `peer`, and remember what else it wants."""
        given: dict[str, int] = {}
        if not self._pool.demand:
            given = self._pool.yield_credits(message.service, message.wanted)
        count = sum(given.values())
        wanted = message.wanted - count
        surplus = self._pool.held_credits - (message.held + count)
        if wanted > 0:
            self._claims[peer] = _Claim(
                service=message.service,
                wanted=wanted,
                owed=min(wanted, max(0, surplus // 2)),
                asked_at=self._clock.monotonic(),
            )
        else:
            self._claims.pop(peer, None)
        return SlotsGranted(minions=given)

    async def _serve_claims(self) -> None:
        while True:
            await self._idle.wait()
            self._idle = anyio.Event()
            # Credits that become idle together go in one message.
            await self._clock.sleep(self._config.timing.grant_delay)
            async with anyio.create_task_group() as group:
                reserved, self._reserved = self._reserved, {}
                for peer, minions in reserved.items():
                    group.start_soon(self._grant, peer, dict(minions))
                for peer, claim in self._due():
                    given = self._pool.yield_credits(claim.service, claim.owed)
                    if given:
                        self._settle(peer, claim, sum(given.values()))
                        group.start_soon(self._grant, peer, given)

    def _due(self) -> list[tuple[IncarnationId, _Claim]]:
        now = self._clock.monotonic()
        limit = 2 * self._config.timing.borrow_interval
        for peer in [p for p, d in self._claims.items() if now - d.asked_at > limit]:
            del self._claims[peer]
        if not self._pool.demand:
            for claim in self._claims.values():
                claim.owed = claim.wanted
        due = [(peer, claim) for peer, claim in self._claims.items() if claim.owed > 0]
        return sorted(due, key=lambda item: item[1].owed)

    def _settle(self, peer: IncarnationId, claim: _Claim, count: int) -> None:
        claim.owed -= count
        claim.wanted -= count
        if claim.wanted <= 0:
            self._claims.pop(peer, None)

    async def _grant(self, peer: IncarnationId, given: dict[str, int]) -> None:
        timeout = self._config.timing.peer_timeout
        try:
            await self._peers.call(
                host_of(peer), peer, GrantSlots(minions=given), timeout
            )
        except PeerError:
            return

    async def give_all_away(self) -> None:
        """Leave idle credits to a peer; to be called while draining."""
        live = [member for member in self._membership.live() if not member.draining]
        services: Counter[ServiceName] = Counter()
        for load in self._pool.loads:
            services.update(load.services)
        for service in services if live else ():
            given = self._pool.yield_credits(service, self._pool.held_credits)
            if given:
                await self._grant(live[0].incarnation, given)


__all__ = ["CreditExchange"]
