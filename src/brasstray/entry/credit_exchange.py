"""Exchange slot credits between the entry hosts of a data centre on demand."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from typing import TYPE_CHECKING

import anyio

from brasstray.job.incarnation import host_of
from brasstray.peer.errors import PeerError
from brasstray.peer.messages import BorrowSlots, BorrowSlotsReply, GrantSlots

if TYPE_CHECKING:
    from datetime import timedelta

    from brasstray.clock.clock import Clock
    from brasstray.dispatch.minion_load import MinionLoad
    from brasstray.dispatch.minion_pool import MinionPool
    from brasstray.entry.config import EntryConfig
    from brasstray.entry.membership import Membership
    from brasstray.job.ids import IncarnationId, ServiceName
    from brasstray.peer.peers import Peers

MAX_LENDERS = 3


@dataclass
class _UnmetRequest:
    """Hold what a peer has requested and not yet received.

    `remaining` is the rest of the request; `owed` is the part of it that this host
    grants as soon as credits become idle.
    """

    service: ServiceName
    remaining: int
    owed: int
    requested_at: timedelta


class CreditExchange:
    """Borrow credits from peers while tasks wait, and grant credits that peers request.

    A credit is the right to fill one slot of one minion. Its holder reuses it as long
    as it has work. Idle credits go to peers with waiting tasks. If both hosts have
    work, the one with more credits yields until both hold the same number, so that a
    small job gets slots beside a large one. A credit lost in transit is replaced by
    CreditReconciler. A credit held twice causes a refused start, never a second one.
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
        self._unmet_requests: dict[IncarnationId, _UnmetRequest] = {}
        self._reserved: dict[IncarnationId, Counter[str]] = {}
        self._idle_event = anyio.Event()
        pool.set_idle_callback(self._on_idle_credit)

    def _on_idle_credit(self, load: MinionLoad) -> None:
        if not self._unmet_requests:
            return
        self._idle_event.set()
        if self._pool.demand:
            self._reserve(load)

    def _reserve(self, load: MinionLoad) -> None:
        # While jobs wait here, a credit is idle only until the next slot assignment.
        # Unless it is reserved now, the peer's request is never served.
        for peer, request in self._unmet_requests.items():
            if request.owed > 0 and request.service in load.services:
                self._pool.drop_credits(load, 1)
                self._deduct(peer, request, 1)
                self._reserved.setdefault(peer, Counter())[load.listed.name] += 1
                return

    async def run(self) -> None:
        """Borrow and grant credits until cancelled."""
        async with anyio.create_task_group() as group:
            group.start_soon(self._borrow)
            group.start_soon(self._serve_requests)

    async def _borrow(self) -> None:
        while True:
            await self._pool.wait_for_demand()
            async with anyio.create_task_group() as group:
                for service, count in self._pool.demand.items():
                    for peer in self._lenders():
                        group.start_soon(self._request_credits, peer, service, count)
            await self._clock.sleep(self._config.timing.borrow_interval)

    def _lenders(self) -> list[IncarnationId]:
        live = sorted(self._membership.live(), key=lambda member: -member.held_credits)
        return [member.incarnation for member in live[:MAX_LENDERS]]

    async def _request_credits(
        self, peer: IncarnationId, service: ServiceName, count: int
    ) -> None:
        message = BorrowSlots(
            service=service, wanted=count, held=self._pool.held_credits
        )
        timeout = self._config.timing.peer_timeout
        try:
            reply = await self._peers.call(host_of(peer), peer, message, timeout)
        except PeerError:
            return
        if isinstance(reply, BorrowSlotsReply):
            self._pool.add_credits(reply.minions)

    def grant(self, peer: IncarnationId, message: BorrowSlots) -> BorrowSlotsReply:
        """Grant idle credits to `peer`, and remember the unmet part of its request."""
        granted: dict[str, int] = {}
        if not self._pool.demand:
            granted = self._pool.yield_credits(message.service, message.wanted)
        count = sum(granted.values())
        remaining = message.wanted - count
        surplus = self._pool.held_credits - (message.held + count)
        if remaining > 0:
            self._unmet_requests[peer] = _UnmetRequest(
                service=message.service,
                remaining=remaining,
                owed=min(remaining, max(0, surplus // 2)),
                requested_at=self._clock.monotonic(),
            )
        else:
            self._unmet_requests.pop(peer, None)
        return BorrowSlotsReply(minions=granted)

    async def _serve_requests(self) -> None:
        while True:
            await self._idle_event.wait()
            self._idle_event = anyio.Event()
            # The delay batches credits that become idle together into one message.
            await self._clock.sleep(self._config.timing.grant_delay)
            async with anyio.create_task_group() as group:
                reserved, self._reserved = self._reserved, {}
                for peer, minions in reserved.items():
                    group.start_soon(self._send_grant, peer, dict(minions))
                for peer, request in self._due_requests():
                    granted = self._pool.yield_credits(request.service, request.owed)
                    if granted:
                        self._deduct(peer, request, sum(granted.values()))
                        group.start_soon(self._send_grant, peer, granted)

    def _due_requests(self) -> list[tuple[IncarnationId, _UnmetRequest]]:
        now = self._clock.monotonic()
        limit = 2 * self._config.timing.borrow_interval
        for peer in [
            p for p, r in self._unmet_requests.items() if now - r.requested_at > limit
        ]:
            del self._unmet_requests[peer]
        if not self._pool.demand:
            for request in self._unmet_requests.values():
                request.owed = request.remaining
        due_requests = [
            (peer, request)
            for peer, request in self._unmet_requests.items()
            if request.owed > 0
        ]
        return sorted(due_requests, key=lambda item: item[1].owed)

    def _deduct(self, peer: IncarnationId, request: _UnmetRequest, count: int) -> None:
        request.owed -= count
        request.remaining -= count
        if request.remaining <= 0:
            self._unmet_requests.pop(peer, None)

    async def _send_grant(self, peer: IncarnationId, granted: dict[str, int]) -> None:
        timeout = self._config.timing.peer_timeout
        try:
            await self._peers.call(
                host_of(peer), peer, GrantSlots(minions=granted), timeout
            )
        except PeerError:
            return

    async def hand_over_credits(self) -> None:
        """Grant all idle credits to a peer; called while draining."""
        live = [member for member in self._membership.live() if not member.draining]
        services: Counter[ServiceName] = Counter()
        for load in self._pool.minions:
            services.update(load.services)
        for service in services if live else ():
            granted = self._pool.yield_credits(service, self._pool.held_credits)
            if granted:
                await self._send_grant(live[0].incarnation, granted)


__all__ = ["CreditExchange"]
