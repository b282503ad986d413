"""Run one host: coordinate its callers' jobs, and own the pool when elected."""

from __future__ import annotations

from datetime import timedelta
from functools import partial
from typing import TYPE_CHECKING

import anyio

from brasstray.batch.ids import NO_TOKEN, PoolId
from brasstray.batch.outcome import BatchOutcome, BatchResult, GiveUpReason
from brasstray.coordinator.coordinator import Coordinator, critical_path
from brasstray.host.coordinator_contact import CoordinatorContact
from brasstray.host.learned_feed import LearnedFeed
from brasstray.host.load_notifier import LoadNotifier
from brasstray.host.local_requester import LocalRequester
from brasstray.host.minion_feed import MinionFeed
from brasstray.host.operator_state import OperatorState
from brasstray.host.ownership import Ownership
from brasstray.host.pool_directory import PoolDirectory
from brasstray.host.pool_handover import PoolHandover
from brasstray.host.requester_link import RequesterLink
from brasstray.host.requester_links import RequesterLinks
from brasstray.host.succession import Succession
from brasstray.host.suspension_detector import SuspensionDetector
from brasstray.peer.message.config_part import ConfigPart
from brasstray.peer.message.config_wanted import ConfigWanted
from brasstray.peer.message.hello import Hello
from brasstray.peer.message.ping import Ping
from brasstray.peer.message.pool_minions import PoolMinions
from brasstray.peer.message.pool_state import PoolState
from brasstray.peer.message.run_tasks import RunTasks
from brasstray.peer.message.stop_tasks import StopTasks
from brasstray.peer.message.successors import Successors
from brasstray.peer.message.tasks_ended import TasksEnded
from brasstray.peer.message.tasks_returned import TasksReturned
from brasstray.pool.owner import PoolOwner
from brasstray.pool.pool_load import PoolLoad

if TYPE_CHECKING:
    from anyio.abc import TaskGroup

    from brasstray.batch.batch import Batch
    from brasstray.batch.configuration import Configuration
    from brasstray.batch.queue import Queue
    from brasstray.host.current_config import CurrentConfig
    from brasstray.host.evacuations import Evacuations
    from brasstray.host.host_dependencies import Events, HostDependencies
    from brasstray.host.identity import HostIdentity
    from brasstray.host.owner_record import OwnedPool
    from brasstray.host.timing import HostTiming
    from brasstray.job.ids import DataCentreName
    from brasstray.peer.message_stream import MessageStream
    from brasstray.peer.pool_messages import PoolMessage

_MILLISECOND = timedelta(milliseconds=1)


class PoolHost:
    """Connect the coordinator, the ownership and the pool owner of one host."""

    def __init__(
        self,
        identity: HostIdentity,
        dependencies: HostDependencies,
        timing: HostTiming,
        remote_factor: float,
        data_centres: frozenset[DataCentreName] = frozenset(),
        *,
        prioritize: bool = False,
    ) -> None:
        self._identity = identity
        self._dependencies = dependencies
        self._timing = timing
        self._remote_factor = remote_factor
        self._prioritize = prioritize
        self._clock = clock = dependencies.clock
        self._events = events = dependencies.events
        self._operator_state = OperatorState(
            dependencies.operators, data_centres, clock, timing, events
        )
        self._evacuations = self._operator_state.evacuations
        self._pool = PoolId(str(identity.data_centre))
        self._requesters = RequesterLinks(identity.data_centre)
        self._minion_feed = MinionFeed(
            identity.data_centre,
            dependencies.minion_list,
            self._operator_state.config,
            self._requesters,
            clock,
            timing,
            events,
        )
        self._directory = PoolDirectory(
            identity,
            dependencies.opener,
            clock,
            dependencies.uptime,
            timing,
            events,
            self._operator_state,
            self.handle_pool_message,
            lambda pool, sent: self._coordinator.claim(pool, sent),
            lambda pool: self._coordinator.has_tasks_at(pool),
        )
        self._learned = LearnedFeed(
            self._pool,
            identity.host,
            self._directory,
            self._requesters,
            self._state,
            clock,
            events,
        )
        self._coordinator = Coordinator(
            self._pool,
            self._directory,
            clock,
            timing.coordinator,
            events,
            dependencies.random,
            self._check_suspension,
        )
        self._succession = Succession(identity.host)
        self._contact = CoordinatorContact(dependencies.uptime)
        self._ownership = Ownership(
            self._pool,
            identity,
            dependencies.store,
            self._directory,
            clock,
            dependencies.random,
            timing,
            events,
            self._start_owner,
            self._stop_owner,
            self._contact.reset,
            self._succession,
            self._evacuations,
            self._check_suspension,
        )
        self._owner: PoolOwner | None = None
        self._owner_scope: anyio.CancelScope | None = None
        self._local_requester = LocalRequester(
            identity.host, partial(self.handle_pool_message, self._pool), clock
        )
        self._group: TaskGroup | None = None
        self._draining = False
        self._handover = PoolHandover(
            self._pool, identity.power, self._requesters, clock, events
        )
        self._load_notifier = LoadNotifier(
            clock, timing, lambda: self._owner, self._notify_other_owners
        )
        self._suspension_detector = SuspensionDetector(
            clock,
            dependencies.uptime,
            timing,
            events,
            self._is_active,
            self._discard_state,
        )
        self._drain_deadline: timedelta | None = None
        self._started_at: timedelta | None = None

    @property
    def identity(self) -> HostIdentity:
        """Return the identity of this host."""
        return self._identity

    @property
    def events(self) -> Events:
        """Return the receiver of this host's events."""
        return self._events

    @property
    def coordinator(self) -> Coordinator:
        """Return the coordinator of this host's jobs."""
        return self._coordinator

    @property
    def config(self) -> CurrentConfig:
        """Return the configuration in force on this host."""
        return self._operator_state.config

    @property
    def evacuations(self) -> Evacuations:
        """Return the evacuated data centres, as far as this host knows."""
        return self._evacuations

    @property
    def owner(self) -> PoolOwner | None:
        """Return the owner, or None if this host does not own its pool."""
        return self._owner

    @property
    def owned_confirmed_ago(self) -> timedelta:
        """Return how long ago the store last confirmed that this host owns its pool."""
        return self._clock.monotonic() - self._ownership.confirmed_at

    async def confirm_owned(self) -> None:
        """Check with the store that this host still owns its pool, if it owns one.

        Without this check, operators could see two owners: a host that was late, or
        whose watch of the store went silent, still considers itself the owner. It gives
        up the pool if the store lists another owner, and keeps it if the store does not
        answer.
        """
        if self._owner is not None:
            await self._ownership.refresh()

    @property
    def draining(self) -> bool:
        """Return whether this host is draining."""
        return self._draining

    @property
    def ready(self) -> bool:
        """Return whether callers should be routed to this host."""
        return (
            not self._draining
            and self.config.current is not None
            and bool(self._directory.reachable() or self._directory.connectable())
        )

    @property
    def owners(self) -> dict[PoolId, OwnedPool]:
        """Return the owner of each pool, as far as this host knows."""
        return self._directory.owners

    @property
    def reachable(self) -> set[PoolId]:
        """Return the pools whose owners are reachable."""
        return set(self._directory.reachable())

    @property
    def connectable(self) -> set[PoolId]:
        """Return the pools that are not reachable yet, but accept requests."""
        return set(self._directory.connectable())

    @property
    def links(self) -> list[RequesterLink]:
        """Return the connections on which other hosts request tasks from this one."""
        return list(self._requesters)

    async def run(self) -> None:
        """Run the host until cancelled."""
        self._started_at = self._clock.monotonic()
        async with anyio.create_task_group() as group:
            self._group = group
            self._directory.use_task_group(group)
            group.start_soon(self._operator_state.run)
            group.start_soon(self._follow_evacuations)
            group.start_soon(self._ownership.follow)
            group.start_soon(self._ownership.claim_when_vacant)
            group.start_soon(self._coordinator.watch_unreachable)
            group.start_soon(self._suspension_detector.run)
            group.start_soon(self._load_notifier.run)
            group.start_soon(self._handover.watch, self._may_hand_over)

    def drain(self, time_left: timedelta | None = None) -> None:
        """Have another host take over the pool; continue with the active jobs.

        All jobs are answered by the end of `time_left`, if that is given. This host
        keeps the pool until another host has claimed it: while the store is
        unreachable, no host can, and the pool would have no owner.
        """
        if self._draining:
            return
        self._draining = True
        self._events.draining()
        self._ownership.drain()
        self._requesters.send_state()
        if time_left is not None:
            self._drain_deadline = self._clock.monotonic() + time_left
            assert self._group is not None
            self._group.start_soon(self._end_jobs_after, time_left)

    async def _end_jobs_after(self, time_left: timedelta) -> None:
        await self._clock.sleep(time_left)
        self._coordinator.end_all_jobs()

    async def wait_for_first_config(self) -> Configuration | None:
        """Return the configuration in force, or None if there is none.

        In the first `first_config_timeout` after its start, the host waits for one.
        Otherwise, callers would be rejected when all hosts have just started, between
        listening and the first answer of the store. Later, it is not known when a
        configuration will arrive, and callers are told immediately.
        """
        if self.config.current is None:
            now = self._clock.monotonic()
            since = (
                now - self._started_at if self._started_at is not None else timedelta(0)
            )
            left = max(timedelta(0), self._timing.first_config_timeout - since)
            with anyio.move_on_after(left.total_seconds()):
                await self.config.wait_available()
        return self.config.current

    async def run_job(
        self, batch: Batch, queue: Queue, timeout: timedelta
    ) -> BatchResult:
        """Run `batch` and return its result, at the latest after `timeout`.

        Requests still arrive on open connections while this host drains. One that is
        unfinished when the process ends would get no answer, so a job that cannot
        complete before that is refused immediately, as not run. So is one that may have
        waited unread during a suspension, until its caller gave up.
        """
        self._check_suspension()
        age = self._suspension_detector.possible_request_age
        if age and critical_path(batch) >= timeout - age:
            detail = f"received up to {age // _MILLISECOND} ms ago"
            self._events.request_refused(batch.id, GiveUpReason.TOO_LATE, detail)
            return BatchResult(BatchOutcome.NOT_RUN, GiveUpReason.TOO_LATE)
        if self._drain_deadline is not None:
            left = self._drain_deadline - self._clock.monotonic()
            if critical_path(batch) >= left:
                self._events.request_refused(
                    batch.id, GiveUpReason.STOPPING, f"{left // _MILLISECOND} ms left"
                )
                return BatchResult(BatchOutcome.NOT_RUN, GiveUpReason.STOPPING)
        return await self._coordinator.run(batch, queue, timeout - age)

    # Ownership of the pool

    def _start_owner(self, owned: OwnedPool) -> None:
        assert self._group is not None
        if self._owner is not None:
            self._stop_owner("superseded by a newer claim of this host")
        contact_age = self._contact.age
        owner = self._owner = PoolOwner(
            self._pool,
            owned.token,
            self._dependencies.minions,
            self._clock,
            self._timing.pool,
            self._remote_factor,
            self._directory,
            self._events,
            lambda: self._ownership.confirm(owned),
            self._minion_feed.last_known_minions,
            lambda: self._evacuations.is_evacuated(self._pool),
            contact_age,
            self._check_suspension,
            prioritize=self._prioritize,
        )
        self._learned.start_tenure(owner, self._minion_feed.last_known_minions)
        self._events.pool_taken(self._pool, owned.token, "claimed", contact_age)
        self._handover.start_tenure()
        self._owner_scope = anyio.CancelScope()
        self._group.start_soon(self._run_owner, owner, self._owner_scope)
        self._directory.set_local_pool(self._pool, self._handle_local, self._load)
        self._requesters.send_state()
        self._coordinator.claim(self._pool)

    async def _run_owner(self, owner: PoolOwner, scope: anyio.CancelScope) -> None:
        with scope:
            async with anyio.create_task_group() as group:
                group.start_soon(self._minion_feed.poll, owner)
                group.start_soon(self._learned.run)
                await owner.run()
                group.cancel_scope.cancel()
        if owner is self._owner and owner.deposed:
            self._ownership.release()
            self._stop_owner("a minion has seen a higher token")

    def _may_hand_over(self) -> bool:
        return self._owner is not None and not self._draining

    def _stop_owner(self, reason: str) -> None:
        self._handover.end_tenure()
        self._learned.end_tenure()
        owner, self._owner = self._owner, None
        if owner is None or self._owner_scope is None:
            return
        owner.depose()
        self._directory.clear_local_pool()
        self._owner_scope.cancel()
        self._events.pool_left(self._pool, owner.token, reason)
        self._requesters.send_state()

    async def _follow_evacuations(self) -> None:
        """Apply each change of the evacuations, and send it to the connected hosts.

        Waiting tasks are moved to other pools, or may start again, and hosts that the
        store rejects learn of the change within a heartbeat.
        """
        while True:
            await self._evacuations.wait_for_change()
            if self._owner is not None:
                self._owner.review()
            self._requesters.send_state()

    def _notify_other_owners(self) -> None:
        self._requesters.send_state(self._directory.owns_other_pool)

    def _load(self) -> PoolLoad:
        return self._owner.load() if self._owner is not None else PoolLoad()

    def _state(self) -> PoolState:
        owner = self._owner
        load = self._load()
        return PoolState(
            incarnation=self._identity.incarnation,
            pool=owner.pool if owner else None,
            token=owner.token if owner else NO_TOKEN,
            free_slots=load.free_slots,
            wait_ms=load.wait_ms,
            waits_ms=load.waits_ms,
            ready=owner is not None and owner.recovered,
            resigning=self._draining or self._handover.requested,
            config_version=self.config.version,
            evacuations=self._evacuations.current,
            contact_age_ms=_ceil_ms(owner.contact_age) if owner else None,
        )

    # Messages to the owner of the local pool

    async def serve(self, stream: MessageStream) -> None:
        """Serve a connection that another host has opened, until it closes."""
        link = RequesterLink(
            stream,
            self._clock,
            self._timing,
            self._state,
            self._handle_request,
            self._events,
        )
        self._requesters.add(link)
        try:
            reason = await link.run()
        finally:
            self._requesters.discard(link)
            if self._owner is not None:
                self._requesters.announce_successors()
        if reason != "silent":
            await self._clock.sleep(link.reconnect_time)
        self._events.requester_lost(link.name, reason)
        if self._owner is not None:
            self._owner.drop_requester(link)

    def _handle_request(self, link: RequesterLink, message: PoolMessage) -> None:
        match message:
            case Hello():
                link.record_hello(message)
                self._events.requester_reached(link.name)
                if self._owner is not None:
                    self._minion_feed.send_minions(link)
                    self._requesters.announce_successors()
                    self._learned.report_to(link)
                self._operator_state.handle_heartbeat(link.name, message, link.send)
            case Ping():
                link.record_ping(message)
                self._operator_state.handle_heartbeat(link.name, message, link.send)
            case ConfigWanted() | ConfigPart():
                self._operator_state.handle_config_message(
                    link.name, message, link.send
                )
            case RunTasks():
                if self._owner is not None:
                    self._owner.run_tasks(link, message)
            case StopTasks():
                if self._owner is not None:
                    self._owner.stop_tasks(link, message.batch)

    def _handle_local(self, message: PoolMessage) -> None:
        if self._owner is None:
            return
        if isinstance(message, RunTasks):
            self._owner.run_tasks(self._local_requester, message)
        elif isinstance(message, StopTasks):
            self._owner.stop_tasks(self._local_requester, message.batch)

    # Messages to the coordinator

    def handle_pool_message(self, pool: PoolId, message: PoolMessage) -> None:
        """Handle a message from the owner of `pool`."""
        match message:
            case TasksEnded():
                self._coordinator.handle_tasks_ended(pool, message)
            case TasksReturned():
                self._coordinator.handle_tasks_returned(pool, message)
            case PoolState():
                self._directory.reset_reserved_slots(pool)
                if self._is_from_current_owner(message):
                    self._contact.record_state(message)
                if message.pool == pool:
                    self._learned.receive(pool, message.token, message.learned)
                if message.free_slots and self._owner is not None:
                    self._owner.review()
                send = partial(self._directory.send, pool)
                self._operator_state.handle_heartbeat(str(pool), message, send)
            case Successors() if pool == self._pool:
                self._succession.set_successors(message.hosts)
                self._learned.receive(pool, message.token, message.learned)
            case PoolMinions() if pool == self._pool:
                self._minion_feed.record_minions(message.minions)
            case ConfigWanted() | ConfigPart():
                send = partial(self._directory.send, pool)
                self._operator_state.handle_config_message(str(pool), message, send)

    def _is_from_current_owner(self, state: PoolState) -> bool:
        owned = self._directory.owned(self._pool)
        return (
            owned is not None
            and state.pool == self._pool
            and state.token >= owned.token
        )

    def _check_suspension(self) -> None:
        self._suspension_detector.check()

    def _is_active(self) -> bool:
        return self._owner is not None or self._coordinator.active_count > 0

    def _discard_state(self) -> None:
        """Give up the pool and end every job, after a suspension.

        Another host may have taken over the pool during the suspension, and minions
        that the new owner has not reached yet would still obey this one. The tasks that
        the coordinator requested are lost too, because owners received no heartbeats.
        """
        if self._owner is not None:
            self._ownership.release()
            self._stop_owner("process was suspended")
        self._ownership.reset_vacancy()
        # What was sent here before may still wait to be read.
        self._requesters.close()
        self._contact.reset()
        self._coordinator.end_all_jobs()


def _ceil_ms(duration: timedelta) -> int:
    return -(-duration // _MILLISECOND)


__all__ = ["PoolHost"]
