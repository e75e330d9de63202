"""Exchange of digests: sends them to a few peers in each period, and merges those of peers."""

import random
from collections.abc import Callable

from quinceferry_core.clocks import Clock
from quinceferry_gateway.blackboard import Blackboard, Member, Phase
from quinceferry_gateway.controllers import Controller
from quinceferry_gateway.crashes import CrashMonitor
from quinceferry_gateway.fleet.claims import CutOffClaims
from quinceferry_gateway.fleet.copies import CopyReplicator
from quinceferry_gateway.fleet.datagrams import DatagramPort
from quinceferry_gateway.fleet.digests import (
    DIGEST_FORMAT,
    Digest,
    IncarnationChecksum,
    incarnation_checksum,
)
from quinceferry_gateway.fleet.liveness import FANOUT, PERIOD_SECONDS, SUSPECT_SHARE, Liveness
from quinceferry_gateway.fleet.read_schedule import is_designated_reader
from quinceferry_gateway.logs import log
from quinceferry_gateway.membership import MemberReader

PERIOD_SPREAD = 0.2
"""Random spread of the periods, as a share of them, so that the messages of the fleet don't
synchronize."""
MIN_FRESHNESS_GAIN_SECONDS = 0.55
"""How much more recent the copies must be than in the last digest to send the next one early.
Freshness then crosses the fleet in a few hops instead of a few periods, with the same number of
messages."""
FRESHNESS_PAUSE_SECONDS = 0.4
"""Shortest time after a digest until more recent copies trigger the next one."""
ANNOUNCEMENT_FANOUT = 12
"""Peers that are notified at once when this gateway is about to stop, or loses or regains
upstreams; they pass it on."""
UNREACHABLE_SHARE = 0.1
"""Share of digests that are sent to unreachable members, so that the two sides of a partition
detect its end."""
MAX_PROBED_SUSPECTS = 2
"""Most suspect members that are probed directly in each period."""
REPLY_PAUSE_SECONDS = 0.5
"""Shortest time between two digests in reply to the same peer."""
CONTENT_FANOUT = 6
"""Peers that are notified of new content. With three per gateway, one gateway in twenty receives it
only a period later."""
DRAINING_FANOUT = 6
"""Peers from which a leaving gateway requests digests in each period, since it gets no others."""
CONTENT_PAUSE_SECONDS = 0.05
"""Shortest time between two digests for new content; a delayed one is sent with the next period."""
MAX_QUARANTINE_ENTRIES = 16
"""Most quarantined contents in one digest, about 600 bytes."""
MIN_SUSPENSION_SECONDS = 0.3
"""Shortest suspension of the machine after which earlier observations no longer count as recent."""


class Gossip(Controller):
    """Maintains what this gateway knows of the fleet, and passes it on.

    :param total_suspended_seconds: returns for how long the machine was suspended in total, time
        that the monotonic clock leaves out.
    """

    def __init__(
        self,
        blackboard: Blackboard,
        members: MemberReader,
        port: DatagramPort,
        clock: Clock,
        random_source: random.Random,
        total_suspended_seconds: Callable[[], float],
    ) -> None:
        super().__init__()
        self._blackboard = blackboard
        self._members = members
        self._port = port
        self._clock = clock
        self._random = random_source
        self._total_suspended_seconds = total_suspended_seconds
        self._last_suspended_seconds = 0.0
        self.liveness = Liveness()
        self._cut_off_claims = CutOffClaims()
        self._copies: CopyReplicator | None = None
        self._crashes: CrashMonitor | None = None
        self._remaining_incarnations: list[str] = []
        self._suspects: set[str] = set()
        self._next_at = 0.0
        self._sent_at = float("-inf")
        self._sent_copies_requested_at = float("-inf")
        self._replied_at_by_vm: dict[str, float] = {}
        port.add_handler(Digest, self.handle_digest)

    def attach(self, copies: CopyReplicator, crashes: CrashMonitor) -> None:
        """Set the copies and the crash monitor whose state is sent with each digest."""
        self._copies = copies
        self._crashes = crashes
        crashes.on_quarantine_changed = self._send_quarantine

    async def start(self) -> None:
        """Start sending."""
        self._last_suspended_seconds = self._total_suspended_seconds()
        self.supervise(self._send_forever, "digests")

    def copies_updated(self, content_changed: bool) -> None:
        """Send a digest early if the copies have changed or become much more recent.

        :param content_changed: whether a copy has new content.
        """
        since_sent = self._clock.monotonic() - self._sent_at
        more_recent = (
            self._oldest_requested_at() - self._sent_copies_requested_at
            > MIN_FRESHNESS_GAIN_SECONDS
        )
        send_changed = content_changed and since_sent > CONTENT_PAUSE_SECONDS
        send_fresher = more_recent and since_sent > FRESHNESS_PAUSE_SECONDS
        if send_changed:
            self._send_digest(CONTENT_FANOUT)
        elif send_fresher:
            self._send_digest(FANOUT)

    def announce_leaving(self) -> None:
        """Notify many peers at once that this gateway is about to stop."""
        self._send_digest(ANNOUNCEMENT_FANOUT)

    def announce_reachability(self) -> None:
        """Notify many peers at once that this gateway lost or regained upstreams."""
        self._update_cut_off_members(self._clock.monotonic())
        self._send_digest(ANNOUNCEMENT_FANOUT)

    def handle_digest(self, digest: Digest, sender: object) -> None:
        """Merge a peer's digest."""
        self._handle_suspension()
        board = self._blackboard
        now = self._clock.monotonic()
        peer = digest.sender
        if digest.format != DIGEST_FORMAT or peer.incarnation == board.own.incarnation:
            log.failure("digest.refused", peer=str(sender), format=digest.format)
            return
        is_leaving = incarnation_checksum(peer.incarnation) in digest.leaving
        if is_leaving and digest.reply_requested:
            self._send_reply(peer, now)
        if not self._is_member(peer):
            if is_leaving:
                board.record_withdrawn(peer, now)
                return
            if not self._add_member(peer, now):
                return
        self.liveness.record_seen(incarnation_checksum(peer.incarnation), now)
        self.liveness.merge(digest.ages_by_checksum, now)
        self._merge_cut_off_claims(digest, now)
        if self._mark_leaving(digest.leaving) and now - self._sent_at > CONTENT_PAUSE_SECONDS:
            self._send_digest(FANOUT)
        if self._crashes and digest.quarantined_seconds_by_content:
            self._crashes.add_quarantined(digest.quarantined_seconds_by_content, peer.vm)
        is_outdated = self._copies and self._copies.compare(peer, digest.summaries_by_kind, now)
        if is_outdated or (digest.reply_requested and not is_leaving):
            self._send_reply(peer, now)

    def _merge_cut_off_claims(self, digest: Digest, now: float) -> None:
        """Merge the claims and withdrawals in a peer's digest, whose own one is the latest."""
        ages_by_checksum = digest.cut_off_ages_by_checksum
        withdrawal_ages_by_checksum = digest.reconnected_ages_by_checksum
        has_any = ages_by_checksum or withdrawal_ages_by_checksum
        if not has_any and self._cut_off_claims.is_empty:
            return
        checksum = incarnation_checksum(digest.sender.incarnation)
        if checksum not in ages_by_checksum:
            self._cut_off_claims.withdraw(checksum, now)
        others = [incarnation_checksum(item.incarnation) for item in self._blackboard.peers()]
        self._cut_off_claims.merge(ages_by_checksum, others, now)
        self._cut_off_claims.merge_withdrawals(withdrawal_ages_by_checksum, others, now)
        self._update_cut_off_members(now)

    def _update_cut_off_members(self, now: float) -> None:
        """Publish which members reach no upstream of some service."""
        board = self._blackboard
        claimed = self._cut_off_claims.ages(now).keys()
        members = set()
        if claimed:
            members = {
                peer.incarnation
                for peer in board.peers()
                if incarnation_checksum(peer.incarnation) in claimed
            }
        if board.unreachable_services:
            members.add(board.own.incarnation)
        board.cut_off_members = frozenset(members)

    def update_reachability(self) -> None:
        """Update which members are unreachable, and whether this gateway is a designated reader."""
        self._handle_suspension()
        board = self._blackboard
        now = self._clock.monotonic()
        incarnations_by_checksum = {
            incarnation_checksum(peer.incarnation): peer.incarnation for peer in board.peers()
        }
        self.liveness.track(incarnations_by_checksum.keys(), now)
        members = len(board.members_by_incarnation)
        suspects = self.liveness.unseen(incarnations_by_checksum, members, now, SUSPECT_SHARE)
        unseen = self.liveness.unseen(suspects, members, now)
        unreachable = {incarnations_by_checksum[checksum] for checksum in unseen}
        self._suspects = {incarnations_by_checksum[checksum] for checksum in suspects - unseen}
        for incarnation in unreachable - board.unreachable:
            log.change("member.unreachable", member=incarnation)
        for incarnation in board.unreachable - unreachable:
            log.change("member.answers", member=incarnation)
        board.unreachable = unreachable
        self._update_cut_off_members(now)
        if board.members_read_at is None:
            # Gateways that start together don't know each other yet, and would all be readers: 195
            # of them would start 341 watches in their first eight seconds.
            return
        self._members.remove_unreachable()
        board.is_store_reader = is_designated_reader(
            board.own.vm, [member.vm for member in board.usable_members()]
        )

    async def _send_forever(self) -> None:
        """Send a digest in each period."""
        while True:
            self.update_reachability()
            if self._clock.monotonic() >= self._next_at:
                is_draining = self._blackboard.phase is Phase.DRAINING
                self._send_digest(DRAINING_FANOUT if is_draining else FANOUT)
                self._probe_suspects()
            await self._clock.sleep(max(0.0, self._next_at - self._clock.monotonic()))

    def _send_digest(self, fanout: int) -> None:
        """Send a digest to some peers.

        Peers send none to a leaving gateway, which still answers address lookups until its end, so
        it requests replies.
        """
        self._handle_suspension()
        now = self._clock.monotonic()
        spread = 1 + PERIOD_SPREAD * (self._random.random() - 0.5)
        self._next_at = now + PERIOD_SECONDS * spread
        self._sent_at, self._sent_copies_requested_at = now, self._oldest_requested_at()
        chosen = self._choose_peers(fanout)
        digest = self._build_digest(now, self._blackboard.phase is Phase.DRAINING)
        self._port.send(digest, [member.peer_address for member in chosen])

    def _probe_suspects(self) -> None:
        """Request digests from some suspect members directly."""
        probed = self._random.sample(
            sorted(self._suspects), min(MAX_PROBED_SUSPECTS, len(self._suspects))
        )
        members = self._blackboard.members_by_incarnation
        addresses = [
            members[incarnation].peer_address for incarnation in probed if incarnation in members
        ]
        if addresses:
            self._port.send(
                self._build_digest(self._clock.monotonic(), reply_requested=True), addresses
            )

    def _send_reply(self, peer: Member, now: float) -> None:
        """Send a digest to a peer whose copies are out of date or that requested one."""
        if now - self._replied_at_by_vm.get(peer.vm, float("-inf")) < REPLY_PAUSE_SECONDS:
            return
        self._replied_at_by_vm[peer.vm] = now
        self._port.send(self._build_digest(now), [peer.peer_address])

    def _build_digest(self, now: float, reply_requested: bool = False) -> Digest:
        """Return a digest of what this gateway knows."""
        board = self._blackboard
        leaving = [incarnation_checksum(incarnation) for incarnation in board.leaving]
        if board.phase is Phase.DRAINING:
            leaving.append(incarnation_checksum(board.own.incarnation))
        cut_off_ages = self._cut_off_claims.ages(now)
        if board.unreachable_services:
            cut_off_ages[incarnation_checksum(board.own.incarnation)] = 0
        summaries = self._copies.summaries(now) if self._copies else {}
        quarantined = self._quarantine_entries()
        return Digest(
            DIGEST_FORMAT,
            board.own,
            self.liveness.ages(now),
            leaving,
            summaries,
            reply_requested,
            quarantined,
            cut_off_ages,
            self._cut_off_claims.withdrawal_ages(now),
        )

    def _quarantine_entries(self) -> dict[str, int]:
        """Return the quarantined contents, a random sample if there are many."""
        quarantined = self._crashes.quarantined_seconds() if self._crashes else {}
        if len(quarantined) <= MAX_QUARANTINE_ENTRIES:
            return quarantined
        return dict(self._random.sample(sorted(quarantined.items()), MAX_QUARANTINE_ENTRIES))

    def _send_quarantine(self) -> None:
        """Send a digest at once after a change of the quarantine."""
        self._send_digest(FANOUT)

    def _choose_peers(self, fanout: int) -> list[Member]:
        """Return the next peers, in a random order that includes all before it repeats one."""
        board = self._blackboard
        usable_by_incarnation = {
            peer.incarnation: peer
            for peer in board.usable_peers()
            if peer.incarnation not in self._suspects
        }
        chosen: list[Member] = []
        while len(chosen) < min(fanout, len(usable_by_incarnation)):
            if not self._remaining_incarnations:
                self._remaining_incarnations = self._random.sample(
                    list(usable_by_incarnation), len(usable_by_incarnation)
                )
            peer = usable_by_incarnation.get(self._remaining_incarnations.pop())
            if peer is not None and peer not in chosen:
                chosen.append(peer)
        if board.unreachable and self._random.random() < UNREACHABLE_SHARE * fanout:
            incarnation = self._random.choice(sorted(board.unreachable))
            if incarnation in board.members_by_incarnation:
                chosen.append(board.members_by_incarnation[incarnation])
        return chosen

    def _is_member(self, peer: Member) -> bool:
        """Return whether the sender of a digest is a member."""
        return peer.incarnation in self._blackboard.members_by_incarnation

    def _add_member(self, peer: Member, now: float) -> bool:
        """Add the sender of a digest as a member; return whether it was added.

        A sender is rejected if another incarnation on its vm was seen a moment ago: the sender has
        terminated, and its message arrived late.
        """
        board = self._blackboard
        for member in board.members_by_incarnation.values():
            if member.vm == peer.vm and (
                member is board.own
                or self.liveness.seen_within(
                    incarnation_checksum(member.incarnation), PERIOD_SECONDS, now
                )
            ):
                return False
        self._members.add_announced(peer)
        self.liveness.track([incarnation_checksum(item.incarnation) for item in board.peers()], now)
        return True

    def _mark_leaving(self, checksums: list[IncarnationChecksum]) -> bool:
        """Mark members that are about to stop, and return whether any is new."""
        if not checksums:
            return False
        board = self._blackboard
        leaving_checksums = set(checksums)
        count_before = len(board.leaving)
        for peer in board.peers():
            if (
                incarnation_checksum(peer.incarnation) in leaving_checksums
                and peer.incarnation not in board.leaving
            ):
                board.leaving.add(peer.incarnation)
                log.change("member.leaving", member=peer.incarnation)
        return len(board.leaving) > count_before

    def _handle_suspension(self) -> None:
        """Age the copies and reset the liveness after a suspension of the machine."""
        total_seconds = self._total_suspended_seconds()
        seconds, self._last_suspended_seconds = (
            total_seconds - self._last_suspended_seconds,
            total_seconds,
        )
        if seconds < MIN_SUSPENSION_SECONDS:
            return
        log.change("gateway.suspended", seconds=round(seconds, 3))
        self.liveness.reset(self._clock.monotonic())
        self._blackboard.backdate_copies(seconds)

    def _oldest_requested_at(self) -> float:
        """Return when the older one of the copies that must be recent was requested."""
        board = self._blackboard
        read_at = (board.upstreams_read_at, board.configuration_read_at)
        return min(float("-inf") if at is None else at for at in read_at)
