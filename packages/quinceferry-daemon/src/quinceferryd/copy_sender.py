"""Sends copies of journal entries to other routers until the entries are durable."""

import asyncio
from collections import deque
from dataclasses import dataclass, field

from quinceferry_core.adapters import PeerClient
from quinceferry_core.clocks import Clock
from quinceferry_core.copies import EntryCopy, HoldReply, HoldRequest
from quinceferry_core.copy_holders import choose_holders
from quinceferry_core.exceptions import FencedError, KvError, PeerUnavailableError
from quinceferry_core.membership import MemberState
from quinceferry_core.models import IncarnationId
from quinceferryd.blackboard import Blackboard, RouterState
from quinceferryd.controllers import TaskGroupController
from quinceferryd.journal import JournalWriter
from quinceferryd.membership import MembershipController

REGISTER_INTERVAL_SECONDS = 5.0
PLACE_TIMEOUT_SECONDS = 1.0
MAX_BATCH_COPIES = 512
MIN_SEND_INTERVAL_SECONDS = 0.25
"""Minimum time between two calls to one holder while the key-value service is available."""


@dataclass(slots=True)
class _PendingCopy:
    """A copy to be sent to one holder; ``held`` is the result of sending it."""

    copy: EntryCopy
    held: asyncio.Future[bool]


@dataclass(slots=True)
class _Outbox:
    """Queue of copies for one holder, which is sent one call at a time."""

    waiting: deque[_PendingCopy] = field(default_factory=deque)
    is_sending: bool = False
    has_copies: bool = False


class CopySender(TaskGroupController):
    """Registers holders in the incarnation record and sends them copies of journal entries.

    Only registered holders receive copies, so that the router that closes this incarnation can
    collect them all. The set of holders changes only while every entry is durable.
    """

    def __init__(
        self,
        blackboard: Blackboard,
        peers: PeerClient,
        membership: MembershipController,
        clock: Clock,
    ) -> None:
        super().__init__()
        self._blackboard = blackboard
        self._peers = peers
        self._membership = membership
        self._clock = clock
        self._journal: JournalWriter | None = None
        self._holders: tuple[IncarnationId, ...] = ()
        self._registration_attempted = False
        self._registration_confirmed = False
        self._outboxes_by_holder: dict[IncarnationId, _Outbox] = {}
        self.placed_copies = 0

    async def start(self) -> None:
        """Start the task that registers holders and lets them drop copies of durable entries."""
        self.spawn(self._maintain_forever(), "copies")

    def switch_journal(self, journal: JournalWriter) -> None:
        """Send copies of another incarnation's journal, without any registered holder at first."""
        self._journal = journal
        self._holders = ()
        self._registration_attempted = False
        self._registration_confirmed = False
        self._outboxes_by_holder = {}

    async def place(self, copy: EntryCopy) -> bool:
        """Send a copy to the registered holders until at least one holds it.

        :return: whether a holder does; also true if no registration was ever attempted, because
            the router that closes this incarnation then does not rely on copies.
        """
        if not self._holders:
            return not self._registration_attempted
        if not self._blackboard.kv.available:
            return await self._place_at(self._holders, copy)
        # The entry becomes durable within seconds, so a single holder suffices unless it fails.
        first, rest = self._holders[:1], self._holders[1:]
        return await self._place_at(first, copy) or await self._place_at(rest, copy)

    async def _place_at(self, holders: tuple[IncarnationId, ...], copy: EntryCopy) -> bool:
        """Send a copy to several holders; return whether one holds it before the timeout."""
        pending = {self._enqueue(holder, copy) for holder in holders}
        deadline = self._clock.monotonic() + PLACE_TIMEOUT_SECONDS
        while pending:
            timeout = max(0.0, deadline - self._clock.monotonic())
            done, pending = await asyncio.wait(
                pending, timeout=timeout, return_when=asyncio.FIRST_COMPLETED
            )
            if any(held.result() for held in done):
                self.placed_copies += 1
                return True
            if not done:
                return False
        return False

    def _enqueue(self, holder: IncarnationId, copy: EntryCopy) -> asyncio.Future[bool]:
        """Queue a copy for one holder; return the future of whether it is held."""
        held: asyncio.Future[bool] = asyncio.get_running_loop().create_future()
        outbox = self._outboxes_by_holder.setdefault(holder, _Outbox())
        outbox.waiting.append(_PendingCopy(copy, held))
        if not outbox.is_sending:
            outbox.is_sending = True
            self.spawn(self._send_all(holder, outbox), f"copies to {holder}")
        return held

    async def _send_all(self, holder: IncarnationId, outbox: _Outbox) -> None:
        """Send the queued copies to one holder, in batches."""
        try:
            while outbox.waiting:
                size = min(len(outbox.waiting), MAX_BATCH_COPIES)
                batch = [outbox.waiting.popleft() for _ in range(size)]
                is_held = await self._send(holder, tuple(item.copy for item in batch))
                outbox.has_copies = outbox.has_copies or is_held
                for item in batch:
                    if not item.held.done():
                        item.held.set_result(is_held)
                if self._blackboard.kv.available:
                    await self._clock.sleep(MIN_SEND_INTERVAL_SECONDS)
        finally:
            outbox.is_sending = False

    async def _send(self, holder: IncarnationId, copies: tuple[EntryCopy, ...]) -> bool:
        """Send copies to a holder in one call; return whether it holds them.

        The journal is fenced if the holder has sealed this incarnation.
        """
        member = self._blackboard.members_by_incarnation.get(holder)
        journal = self._journal
        if member is None or journal is None:
            return False
        request = HoldRequest(holder, journal.incarnation, copies, journal.durable_before)
        try:
            reply = await self._peers.hold(member.address, request)
        except PeerUnavailableError:
            return False
        if reply is HoldReply.SEALED:
            journal.fence()
        return reply is HoldReply.HELD

    async def _maintain_forever(self) -> None:
        """Periodically update the registered holders and let them drop durable copies."""
        while True:
            await self._clock.sleep(REGISTER_INTERVAL_SECONDS)
            journal = self._journal
            is_serving = self._blackboard.state is RouterState.SERVING
            if journal is None or not is_serving or not self._blackboard.kv.available:
                continue
            if journal.is_flushed:
                await self._announce_durable()
                await self._register(journal)

    async def _announce_durable(self) -> None:
        """Notify holders of copies that the entries are durable."""
        for holder, outbox in list(self._outboxes_by_holder.items()):
            if outbox.has_copies and not outbox.waiting and await self._send(holder, ()):
                outbox.has_copies = False

    async def _register(self, journal: JournalWriter) -> None:
        """Choose holders and write them to the incarnation record if they changed."""
        members = self._blackboard.members_by_incarnation
        own_member = members.get(self._blackboard.identity.incarnation)
        if own_member is None:
            return
        other_members = [
            member
            for name, member in members.items()
            if name != own_member.incarnation and member.state is MemberState.SERVING
        ]
        chosen = choose_holders(own_member, other_members)
        if self._registration_confirmed and chosen == self._holders:
            return
        if not journal.is_flushed:
            return
        # Until the write is confirmed, the record may contain any of the sets written so far. Only
        # holders in all of these sets may be used.
        self._holders = tuple(name for name in self._holders if name in chosen)
        self._registration_attempted = True
        self._registration_confirmed = False
        try:
            await self._membership.update_record(copy_holders=chosen)
        except (FencedError, KvError):
            return
        self._registration_confirmed = True
        self._holders = chosen
