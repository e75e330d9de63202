"""Joins the fleet, renews the lease and detects that this incarnation was closed.

Safety does not depend on the lease, which only shows other routers that this one is probably alive.
What a router may do is decided by its permanent incarnation record.
"""

import random
from collections.abc import Awaitable, Callable
from typing import Any

from quinceferry_core.adapters import KvStore
from quinceferry_core.clocks import Clock
from quinceferry_core.exceptions import FencedError, KvError
from quinceferry_core.membership import IncarnationRecord, Member, MemberState
from quinceferry_core.models import IncarnationId
from quinceferryd.blackboard import Blackboard, RouterState
from quinceferryd.controllers import TaskGroupController
from quinceferryd.heartbeats import LeaseRenewal, OwnHeartbeat
from quinceferryd.incarnations import FencingCounter, OwnIncarnation
from quinceferryd.members import MemberView
from quinceferryd.settings import MembershipSettings

JOIN_RETRY_SECONDS = 1.0
"""Mean delay after a failed attempt to join."""

_HEARTBEAT_JITTER = 0.1
_LEAVING_CHECK_SECONDS = 0.5

FencedHook = Callable[[IncarnationId], Awaitable[None]]
"""Called with the fenced incarnation; returns when no more work is done under it."""
JoinHook = Callable[[], Awaitable[None]]
"""Called in a join, after the incarnation record is written and before requests are accepted."""


class MembershipController(TaskGroupController):
    """Owns the identity, the lease, and the incarnation and heartbeat records of this router.

    :param blackboard: shared state.
    :param kv: the key-value service.
    :param clock: source of time.
    :param rng: source of randomness, for spreading the heartbeats of many routers.
    :param settings: lease and heartbeat times.
    :param on_fenced: called when this incarnation was closed; after it returns, the controller
        joins again under a new incarnation.
    """

    def __init__(
        self,
        blackboard: Blackboard,
        kv: KvStore,
        clock: Clock,
        rng: random.Random,
        settings: MembershipSettings,
        on_fenced: FencedHook | None = None,
    ) -> None:
        super().__init__()
        self._blackboard = blackboard
        self._clock = clock
        self._rng = rng
        self._settings = settings
        self.view = MemberView(
            blackboard,
            kv,
            clock,
            settings.lease_ttl_seconds,
            settings.heartbeat_interval_seconds,
        )
        self.fencing_counter = FencingCounter(kv, clock, rng)
        self._incarnation = OwnIncarnation(kv, self.fencing_counter)
        self._heartbeat = OwnHeartbeat(kv, clock, self.view, settings.lease_ttl_seconds)
        self._join_hooks: list[JoinHook] = []
        self._is_listening = False
        self._is_leaving = False
        self.on_fenced = on_fenced
        self.joins = 0
        self.leases_lost = 0

    @property
    def record(self) -> IncarnationRecord | None:
        """Return this router's incarnation record as last written; None before joining."""
        return self._incarnation.record

    @property
    def member(self) -> Member | None:
        """Return this router's heartbeat record; None before joining."""
        return self._heartbeat.member

    @property
    def lease(self) -> str:
        """Return the lease of the heartbeat record; empty while there is none."""
        return self._heartbeat.lease

    @property
    def lease_valid_until(self) -> float:
        """Return the time until which the lease is certainly valid, in monotonic seconds."""
        return self._heartbeat.valid_until

    @property
    def is_published(self) -> bool:
        """Return whether the current heartbeat record has been written."""
        return self._heartbeat.is_published

    def add_join_hook(self, hook: JoinHook) -> None:
        """Register a hook that every join calls before this router accepts requests."""
        self._join_hooks.append(hook)

    async def start(self) -> None:
        """Join in the background, retrying until the key-value service answers."""
        self.spawn(self._maintain_membership(), "membership")
        self.spawn(self.view.follow(), "members-watch")
        self.spawn(self.view.poll(), "members-poll")

    def mark_listening(self) -> None:
        """Mark the listening address as owned by this process; the next heartbeat records it."""
        self._is_listening = True

    def mark_fenced(self) -> None:
        """Mark this incarnation as closed; it is abandoned within a heartbeat interval."""
        self._blackboard.state = RouterState.FENCED

    async def join(self) -> None:
        """Join under a new incarnation; a repeated call continues where the last one failed.

        :raises KvError: a call to the key-value service failed; repeat the call.
        :raises FencedError: another router has closed the incarnation.
        """
        record = await self._incarnation.create(
            self._blackboard.identity,
            listening=self._is_listening,
            vm_listed=self._is_vm_listed(),
        )
        self._blackboard.identity.incarnation = record.incarnation
        self._blackboard.identity.fencing = record.fencing
        self._heartbeat.set(_new_member(record, self._blackboard))
        await self._heartbeat.bind()
        for hook in self._join_hooks:
            await hook()
        if not self._blackboard.is_stopping:
            self._heartbeat.change_member(state=MemberState.SERVING)
        await self._heartbeat.write()
        if not self._blackboard.is_stopping:
            self._blackboard.state = RouterState.SERVING
        self.joins += 1

    async def update_record(self, **changes: Any) -> None:
        """Change fields of the incarnation record.

        :param changes: new values by field name.
        :raises FencedError: another router has closed the incarnation.
        :raises KvUnavailableError: there was no answer; the same call may be repeated.
        """
        try:
            await self._incarnation.update(**changes)
        except FencedError:
            self.mark_fenced()
            raise

    async def update_member(self, **changes: Any) -> None:
        """Change fields of the heartbeat record; the next heartbeat retries a failed write.

        :param changes: new values by field name.
        """
        if self.member is None:
            return
        self._heartbeat.change_member(**changes)
        try:
            await self._heartbeat.write()
        except KvError:
            return

    async def leave(self) -> None:
        """Record that this incarnation has left the fleet, and end the lease.

        :raises KvUnavailableError: there was no answer; repeat the call.
        """
        self._is_leaving = True
        if self.record is None:
            return
        try:
            await self._incarnation.update(left=True)
        except FencedError:
            return
        await self._heartbeat.end_lease()

    async def heartbeat(self) -> None:
        """Renew the lease; if it was lost, acquire a new one unless this incarnation was closed.

        :raises FencedError: this incarnation was closed.
        :raises KvUnavailableError: a call after the renewal got no answer.
        """
        if self._blackboard.state is RouterState.FENCED:
            raise FencedError("incarnation is closed", step="membership.heartbeat")
        match await self._heartbeat.renew():
            case LeaseRenewal.LEASE_LOST:
                self.leases_lost += 1
                await self._acquire_new_lease()
            case LeaseRenewal.RENEWED:
                board = self._blackboard
                self._heartbeat.change_member(
                    limit_claims=board.limit_claims, quarantined=board.quarantined
                )
                await self._heartbeat.write()
            case LeaseRenewal.NO_ANSWER:
                return
        await self._incarnation.update(listening=self._is_listening, vm_listed=self._is_vm_listed())

    async def _maintain_membership(self) -> None:
        while not self._is_leaving:
            try:
                await self._join_until_done()
                await self._heartbeat_until_left()
            except FencedError:
                await self._abandon_incarnation()
        await self._idle_until_cancelled()

    async def _join_until_done(self) -> None:
        while True:
            try:
                return await self.join()
            except KvError:
                await self._clock.sleep(JOIN_RETRY_SECONDS * self._rng.uniform(0.5, 1.5))

    async def _heartbeat_until_left(self) -> None:
        while not self._is_leaving:
            spread = self._rng.uniform(1.0 - _HEARTBEAT_JITTER, 1.0 + _HEARTBEAT_JITTER)
            interval = self._settings.heartbeat_interval_seconds * spread
            await self._publish_leaving_upstreams_for(interval)
            await self._try_heartbeat()

    async def _publish_leaving_upstreams_for(self, seconds: float) -> None:
        """Wait, and publish the leaving upstreams as soon as they change.

        :param seconds: how long to wait.
        """
        ends_at = self._clock.monotonic() + seconds
        while (remaining := ends_at - self._clock.monotonic()) > 0:
            await self._clock.sleep(min(remaining, _LEAVING_CHECK_SECONDS))
            leaving = tuple(sorted(self._blackboard.leaving_upstreams))
            if self.member is not None and leaving != self.member.leaving_upstreams:
                await self.update_member(leaving_upstreams=leaving)

    async def _try_heartbeat(self) -> None:
        if self._is_leaving:
            return
        try:
            await self.heartbeat()
        except KvError:
            return

    async def _idle_until_cancelled(self) -> None:
        while True:
            await self._clock.sleep(self._settings.lease_ttl_seconds)

    async def _abandon_incarnation(self) -> None:
        """Stop serving under the closed incarnation; rejoin afterwards unless the router stops."""
        self._blackboard.state = RouterState.FENCED
        if self.on_fenced is not None:
            await self.on_fenced(self._blackboard.identity.incarnation)
        if self._blackboard.is_stopping:
            self._is_leaving = True
            return
        self._heartbeat.clear()
        self._incarnation.clear()
        self._blackboard.identity.incarnation = IncarnationId("")
        self._blackboard.state = RouterState.STARTING

    async def _acquire_new_lease(self) -> None:
        """Acquire a new lease, unless this incarnation has been closed.

        The heartbeat record is written before the incarnation record is rewritten. A router that
        closes this incarnation reads the incarnation record, then the heartbeat record, and then
        writes the closed incarnation record by compare-and-swap. So either it finds the heartbeat,
        or its write conflicts with ours, or ours with its write.

        :raises FencedError: this incarnation was closed.
        """
        await self._incarnation.reload()
        await self._heartbeat.bind()
        await self._incarnation.rewrite()

    def _is_vm_listed(self) -> bool:
        """Return whether this router's VM is, or was earlier, in the VM list."""
        was_listed = self.record is not None and self.record.vm_listed
        return was_listed or self._blackboard.identity.vm in self._blackboard.vms_by_id


def _new_member(record: IncarnationRecord, blackboard: Blackboard) -> Member:
    """Return the first heartbeat record of an incarnation."""
    return Member(
        incarnation=record.incarnation,
        vm=record.vm,
        zone=record.zone,
        address=record.address,
        fencing=record.fencing,
        state=MemberState.STARTING,
        leaving_upstreams=tuple(sorted(blackboard.leaving_upstreams)),
        limit_claims=blackboard.limit_claims,
        quarantined=blackboard.quarantined,
    )
