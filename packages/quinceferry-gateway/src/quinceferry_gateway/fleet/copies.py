"""Copies of the store's lists, handed from gateway to gateway with the age of their reading.

The load: after a change each gateway hears of the newer copy from several peers within a period.
Fetches from all of them at once share one link, and a thin link then carries none of them in time.
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
from quinceferry_gateway.fleet.digests import Summary, age_seconds
from quinceferry_gateway.logs import log
from quinceferry_gateway.peers import PeerClient, PeerError

FETCH_TIMEOUT_SECONDS = 0.6
"""Longest silence of a peer that hands over its copy; another peer will offer it half a second
later."""
FETCH_PAUSE_SECONDS = 0.1
"""Shortest time between two fetches of one list, so that a peer whose copies can't be taken costs
ten calls a second at most."""


@dataclass(slots=True, frozen=True)
class _Newer:
    """A copy of a peer that is newer than the own one.

    ``revision`` is the first at which a peer had it, ``known_at`` when that was heard.
    """

    revision: int
    known_at: float


class CopiedList(Protocol):
    """A list of the store of which this gateway has a copy."""

    def summary(self, now: float) -> Summary | None:
        """Return which copy this gateway has, None without one."""

    def confirm(self, revision: int, asked_at: float) -> None:
        """Note that the copy held was what the store had at that time and revision."""

    def encode(self, now: float) -> bytes | None:
        """Return the copy for a peer, None without one."""

    def adopt(self, body: bytes, origin: str, now: float) -> None:
        """Take a peer's copy, if it is newer.

        :param now: when it was asked for. Its age was that at the peer then or later, so that the
            time of the transfer makes no copy look more recent.
        :raises msgspec.DecodeError: it has not the expected form.
        """


class Copies(Controller):
    """Compares the copies of this gateway with those of its peers, and fetches newer ones.

    :param lists_by_kind: the lists that are handed on.
    :param renewed: called after a copy changed or became more recent.
    """

    def __init__(
        self,
        lists_by_kind: Mapping[str, CopiedList],
        peers: PeerClient,
        clock: Clock,
        renewed: Callable[[bool], None],
    ) -> None:
        super().__init__()
        self._lists_by_kind = lists_by_kind
        self._peers = peers
        self._clock = clock
        self._renewed = renewed
        self._fetched_at_by_kind: dict[str, float] = {}
        self._fetching: set[str] = set()
        self._newer_by_kind: defaultdict[str, dict[int, _Newer]] = defaultdict(dict)

    def summaries(self, now: float) -> dict[str, Summary]:
        """Return which copies this gateway has."""
        found = {kind: item.summary(now) for kind, item in self._lists_by_kind.items()}
        return {kind: summary for kind, summary in found.items() if summary is not None}

    def compare(self, sender: Member, theirs: Mapping[str, Summary], now: float) -> bool:
        """Take what a peer says of its copies; tell whether one of them is out of date."""
        behind = False
        for kind, item in self._lists_by_kind.items():
            own, their = item.summary(now), theirs.get(kind)
            if their is None:
                behind = behind or own is not None
            elif own is not None and own.content == their.content:
                item.confirm(their.revision, now - age_seconds(their.age))
            elif own is None or own.revision < their.revision:
                self._note_newer(kind, their, now)
                self._begin_fetch(kind, sender, now)
            else:
                behind = behind or own.revision > their.revision
        self._renewed(False)
        return behind

    def missed_seconds(self, kind: str, now: float) -> float | None:
        """Return for how long peers have had a newer copy, None if they have none.

        Of several newer ones, the time counts from the first that this gateway has not got.
        """
        newer_by_content = self._missed(kind, now)
        known_at = min((newer.known_at for newer in newer_by_content.values()), default=None)
        return None if known_at is None else now - known_at

    def _note_newer(self, kind: str, their: Summary, now: float) -> None:
        """Note that a peer has a newer copy, and since when it is known of."""
        self._missed(kind, now).setdefault(their.content, _Newer(their.revision, now))

    def _missed(self, kind: str, now: float) -> dict[int, _Newer]:
        """Return the newer copies by content, after forgetting those that this gateway has got."""
        own = self._lists_by_kind[kind].summary(now)
        newer_by_content = self._newer_by_kind[kind]
        for content, newer in list(newer_by_content.items()):
            if own is not None and newer.revision <= own.revision:
                del newer_by_content[content]
        return newer_by_content

    def encode(self, kind: str) -> bytes | None:
        """Return this gateway's copy of a list for a peer; None without one."""
        item = self._lists_by_kind.get(kind)
        return None if item is None else item.encode(self._clock.monotonic())

    def _begin_fetch(self, kind: str, sender: Member, now: float) -> None:
        """Fetch a list from a peer, unless another fetch of it is under way or has just begun."""
        is_early = now - self._fetched_at_by_kind.get(kind, -math.inf) < FETCH_PAUSE_SECONDS
        if is_early or kind in self._fetching:
            return
        self._fetched_at_by_kind[kind] = now
        self._fetching.add(kind)
        self.spawn(self._fetch(kind, sender), f"copy of {kind}")

    async def _fetch(self, kind: str, sender: Member) -> None:
        """Fetch a list from a peer and adopt it."""
        asked_at = self._clock.monotonic()
        try:
            body = await self._peers.copy(sender, kind, FETCH_TIMEOUT_SECONDS)
            self._lists_by_kind[kind].adopt(body, sender.vm, asked_at)
            self._renewed(True)
        except PeerError as error:
            log.failure("copy.not_fetched", kind=kind, peer=sender.vm, error=str(error))
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            log.failure("copy.malformed", kind=kind, peer=sender.vm, error=str(error))
        finally:
            self._fetching.discard(kind)
