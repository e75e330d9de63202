"""Copies of the store's lists, passed between gateways together with the age of their read.

After a change, each gateway learns of the newer copy from several peers within a period. If it
fetched from all of them at once, the fetches would share one link, and on a slow link none would
finish in time.
"""

import math
from collections import defaultdict
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Protocol

import msgspec

from quinceferry_core.clocks import Clock
from quinceferry_gateway.blackboard import Member
from quinceferry_gateway.controllers import Controller
from quinceferry_gateway.fleet.digests import CopySummary, age_seconds
from quinceferry_gateway.logs import log
from quinceferry_gateway.peers import PeerClient, PeerError

FETCH_TIMEOUT_SECONDS = 0.6
"""Longest time without data from a peer that sends its copy; another peer offers it within half a
second."""
MIN_FETCH_INTERVAL_SECONDS = 0.1
"""Shortest time between two fetches of one list, so that a peer whose copies are unusable causes at
most ten calls a second."""


@dataclass(slots=True, frozen=True)
class _NewerCopy:
    """A copy of a peer that is newer than the one of this gateway.

    ``revision`` is the revision in the first summary of this copy that arrived, at
    ``first_seen_at``.
    """

    revision: int
    first_seen_at: float


class ReplicatedList(Protocol):
    """A list of the store of which this gateway has a copy."""

    def summary(self, now: float) -> CopySummary | None:
        """Return which copy this gateway has, None without one."""

    def confirm(self, revision: int, requested_at: float) -> None:
        """Record that the store had the content of the copy at that time and revision."""

    def encode(self, now: float) -> bytes | None:
        """Return the copy for a peer, None without one."""

    def adopt(self, body: bytes, origin: str, now: float) -> None:
        """Replace the copy by that of a peer if the latter is newer.

        :param now: when it was requested. Its age was measured at the peer then or later, so the
            time of the transfer does not make a copy appear more recent.
        :raises msgspec.DecodeError: the copy is malformed.
        """


class CopyReplicator(Controller):
    """Compares the copies of this gateway with those of its peers, and fetches newer ones.

    :param lists_by_kind: the lists that are replicated.
    :param on_update: called after copies may have become more recent, with whether one has new
        content.
    :param on_contact: receives a span of time in which the store answered other gateways.
    """

    def __init__(
        self,
        lists_by_kind: Mapping[str, ReplicatedList],
        peers: PeerClient,
        clock: Clock,
        on_update: Callable[[bool], None],
        on_contact: Callable[[float, float], None] = lambda since, until: None,
    ) -> None:
        super().__init__()
        self._lists_by_kind = lists_by_kind
        self._peers = peers
        self._clock = clock
        self._on_update = on_update
        self._on_contact = on_contact
        self._fetched_at_by_kind: dict[str, float] = {}
        self._fetching: set[str] = set()
        self._newer_by_kind: defaultdict[str, dict[int, _NewerCopy]] = defaultdict(dict)

    def summaries(self, now: float) -> dict[str, CopySummary]:
        """Return which copies this gateway has."""
        summaries_by_kind = {
            kind: replicated.summary(now) for kind, replicated in self._lists_by_kind.items()
        }
        return {kind: summary for kind, summary in summaries_by_kind.items() if summary is not None}

    def compare(
        self, sender: Member, peer_summaries: Mapping[str, CopySummary], now: float
    ) -> bool:
        """Compare the copies with a peer's summaries; return whether the peer is out of date."""
        peer_is_outdated = False
        for kind, replicated in self._lists_by_kind.items():
            own_summary, peer_summary = replicated.summary(now), peer_summaries.get(kind)
            if peer_summary is not None and peer_summary.contact:
                self._on_contact(*peer_summary.contact_span(now))
            if peer_summary is None:
                peer_is_outdated = peer_is_outdated or own_summary is not None
            elif own_summary is not None and own_summary.content == peer_summary.content:
                replicated.confirm(peer_summary.revision, now - age_seconds(peer_summary.age))
            elif own_summary is None or own_summary.revision < peer_summary.revision:
                self._record_newer(kind, peer_summary, now)
                self._begin_fetch(kind, sender, now)
            else:
                peer_is_outdated = peer_is_outdated or own_summary.revision > peer_summary.revision
        self._on_update(False)
        return peer_is_outdated

    def outdated_seconds(self, kind: str, now: float) -> float | None:
        """Return for how long peers have had a newer copy, None if they have none.

        With several newer ones, the time counts from the first that this gateway lacks.
        """
        newer_by_content = self._newer_copies(kind, now)
        first_seen_at = min(
            (newer.first_seen_at for newer in newer_by_content.values()), default=None
        )
        return None if first_seen_at is None else now - first_seen_at

    def _record_newer(self, kind: str, peer_summary: CopySummary, now: float) -> None:
        """Record that a peer has a newer copy, and when this was first seen."""
        self._newer_copies(kind, now).setdefault(
            peer_summary.content, _NewerCopy(peer_summary.revision, now)
        )

    def _newer_copies(self, kind: str, now: float) -> dict[int, _NewerCopy]:
        """Return the newer copies by content, without those that this gateway has received."""
        own_summary = self._lists_by_kind[kind].summary(now)
        newer_by_content = self._newer_by_kind[kind]
        for content, newer in list(newer_by_content.items()):
            if own_summary is not None and newer.revision <= own_summary.revision:
                del newer_by_content[content]
        return newer_by_content

    def encode(self, kind: str) -> bytes | None:
        """Return this gateway's copy of a list for a peer; None without one."""
        replicated = self._lists_by_kind.get(kind)
        return None if replicated is None else replicated.encode(self._clock.monotonic())

    def _begin_fetch(self, kind: str, sender: Member, now: float) -> None:
        """Fetch a list from a peer, unless a fetch of it is in progress or has just started."""
        is_early = now - self._fetched_at_by_kind.get(kind, -math.inf) < MIN_FETCH_INTERVAL_SECONDS
        if is_early or kind in self._fetching:
            return
        self._fetched_at_by_kind[kind] = now
        self._fetching.add(kind)
        self.spawn(self._fetch(kind, sender), f"copy of {kind}")

    async def _fetch(self, kind: str, sender: Member) -> None:
        """Fetch a list from a peer and adopt it."""
        requested_at = self._clock.monotonic()
        try:
            body = await self._peers.copy(sender, kind, FETCH_TIMEOUT_SECONDS)
            self._lists_by_kind[kind].adopt(body, sender.vm, requested_at)
            self._on_update(True)
        except PeerError as error:
            log.failure("copy.not_fetched", kind=kind, peer=sender.vm, error=str(error))
        except msgspec.DecodeError as error:
            log.failure("copy.malformed", kind=kind, peer=sender.vm, error=str(error))
        finally:
            self._fetching.discard(kind)
