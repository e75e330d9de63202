"""Interfaces of the decision logic to the store, the platform, upstreams and peers."""

from collections.abc import AsyncIterator
from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from quinceferry_core.copies import CollectReply, CollectRequest, HoldReply, HoldRequest
from quinceferry_core.models import (
    CallerRequest,
    IncarnationId,
    ModelRef,
    RequestId,
    UpstreamSpec,
    VmRecord,
    WorkspaceId,
)
from quinceferry_core.outcomes import AnswerEvent, Outcome

ABSENT_VERSION = 0
"""Expected version of a key that must not exist yet."""


@dataclass(slots=True, frozen=True)
class KvEntry:
    """A key with its value; the version is positive and increases with every write of the key."""

    key: str
    value: bytes
    version: int


@dataclass(slots=True, frozen=True)
class KvEvent:
    """A change reported by a watch.

    ``entry`` is None when the key was deleted or its lease expired.
    """

    key: str
    entry: KvEntry | None


@dataclass(slots=True, frozen=True)
class WatchBatch:
    """Changes since a cursor.

    With ``reset``, changes were lost and the prefix must be read again.
    """

    events: tuple[KvEvent, ...]
    cursor: int
    reset: bool = False


class KvStore(Protocol):
    """The platform's key-value store.

    Every method raises :class:`KvUnavailableError` when no answer arrives in time.
    """

    async def get(self, key: str) -> KvEntry | None:
        """Read one key."""

    async def list(self, prefix: str) -> list[KvEntry]:
        """Read all keys with the prefix, in key order."""

    async def put_if(
        self, key: str, value: bytes, expected_version: int, lease: str = ""
    ) -> KvEntry:
        """Write a key by compare-and-swap.

        :param expected_version: the version last read, or ``ABSENT_VERSION``.
        :param lease: lease with which the key expires; empty for none.
        :raises KvConflictError: the key has another version; nothing was written.
        """

    async def delete_if(self, key: str, expected_version: int) -> None:
        """Delete a key by compare-and-swap.

        :raises KvConflictError: the key has another version; nothing was deleted.
        """

    async def grant_lease(self, ttl_seconds: float) -> str:
        """Create a lease and return its identifier."""

    async def keep_alive(self, lease: str) -> None:
        """Renew a lease.

        :raises LeaseLostError: the lease has expired or was revoked.
        """

    async def revoke_lease(self, lease: str) -> None:
        """Revoke a lease and delete its keys."""

    async def watch(self, prefix: str, cursor: int, timeout_seconds: float) -> WatchBatch:
        """Wait for changes of the keys with a prefix.

        :param cursor: cursor of the previous batch; -1 returns the current cursor immediately.
        :return: the changes, or an empty batch when the wait times out.
        """


class VmList(Protocol):
    """The platform's list of VMs, which lags behind their actual state."""

    async def list(self) -> list[VmRecord]:
        """Read the list.

        :raises PlatformUnavailableError: the platform did not answer.
        """


@dataclass(slots=True, frozen=True)
class Dispatch:
    """One attempt to run a request at an upstream.

    ``token_cap`` limits prompt and output tokens together. ``attempt`` distinguishes connections,
    so that late events of an earlier one can be dropped. ``offset`` is the number of output tokens
    after which the upstream resumes the stream, and ``run_attempt`` the attempt that began the
    stream to resume; None accepts the latest run of the request.
    """

    request: CallerRequest
    upstream: UpstreamSpec
    incarnation: IncarnationId
    fencing: int
    attempt: int
    token_cap: int
    offset: int = 0
    run_attempt: int | None = None

    @property
    def original_attempt(self) -> int:
        """Return the attempt that began the run, by which the upstream identifies it."""
        return self.attempt if self.run_attempt is None else self.run_attempt


@dataclass(slots=True, frozen=True)
class LoadReport:
    """Load of one engine at the time of its report, which lags."""

    running: int
    waiting: int
    queued_tokens: int
    free_slots: int
    loaded: tuple[ModelRef, ...] = ()
    leaving: bool = False


@dataclass(slots=True, frozen=True)
class CacheEvent:
    """A prompt prefix was added to or evicted from an engine's cache.

    A gap in ``sequence`` shows that events were lost.
    """

    sequence: int
    prefix_hash: int
    added: bool


class OrderKind(Enum):
    """Kind of an order to an engine."""

    LOAD = "load"
    UNLOAD = "unload"
    CHANGE_ROLE = "change_role"


@dataclass(slots=True, frozen=True)
class EngineOrder:
    """An order to an engine; ``sequence`` increases with every order to the same engine."""

    kind: OrderKind
    model: ModelRef
    fencing: int
    sequence: int = 0
    role: str = ""


class UpstreamClient(Protocol):
    """Connections to model engines and plain services.

    Errors are subclasses of :class:`UpstreamError`, which distinguish whether the request ran.
    """

    def run(self, dispatch: Dispatch) -> AsyncIterator[AnswerEvent]:
        """Send a request and return the chunks of its answer, ending with ``Finished``."""

    def resume(self, dispatch: Dispatch) -> AsyncIterator[AnswerEvent]:
        """Resume a stream of the same request on a new connection, from ``dispatch.offset``.

        :raises UpstreamUnknownRequestError: the upstream never began the request, no longer holds
            it, or holds a run begun by another attempt.
        """

    async def cancel(
        self,
        upstream: UpstreamSpec,
        request_id: RequestId,
        workspace: WorkspaceId | None = None,
        incarnation: IncarnationId | None = None,
        attempt: int | None = None,
    ) -> int | None:
        """Stop the latest run of a request; a repeated call returns the same usage.

        :param workspace: owner of the request. Two workspaces may use the same identifier; without
            the owner, such a request counts as unknown.
        :param incarnation: the router that sent the request; None matches any router.
        :param attempt: the attempt that began the run; None matches any. A later attempt of the
            same request may still be in transit, and the usage of another run does not apply to it.
        :return: the total tokens used, or None if the upstream does not know the request.
        """

    async def load(self, upstream: UpstreamSpec) -> LoadReport:
        """Read the load report."""

    async def cache_events(self, upstream: UpstreamSpec, after: int) -> tuple[CacheEvent, ...]:
        """Read the cache events with a sequence number greater than ``after``."""

    async def order(self, upstream: UpstreamSpec, order: EngineOrder) -> None:
        """Send an order to an engine.

        :raises UpstreamRefusedError: the engine checks fencing numbers and this one is old.
        """


@dataclass(slots=True, frozen=True)
class RecallReply:
    """Tokens that a peer returned to the budget record, and tokens that it still holds."""

    returned: int
    still_held: int


class PeerClient(Protocol):
    """Calls to other routers; each raises :class:`PeerUnavailableError` when it fails."""

    async def hold(self, address: str, request: HoldRequest) -> HoldReply:
        """Request a peer to hold copies of journal entries."""

    async def collect(self, address: str, request: CollectRequest) -> CollectReply:
        """Read a peer's copies for a closed incarnation, and seal them against further copies."""

    def forward(self, address: str, request: CallerRequest) -> AsyncIterator[AnswerEvent]:
        """Forward a request to a peer and return the events of its answer."""

    async def ask_outcome(
        self, address: str, workspace: WorkspaceId, request_id: RequestId
    ) -> Outcome | None:
        """Request the outcome of a request; None when the peer does not know it."""

    async def recall(self, address: str, workspace: WorkspaceId, wanted: int) -> RecallReply:
        """Request a peer to return unused tokens to the budget record."""
