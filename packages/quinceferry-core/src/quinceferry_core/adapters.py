"""Narrow interfaces to everything outside the decision logic."""

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
"""Expected version of a key that must not exist."""


@dataclass(slots=True, frozen=True)
class KvEntry:
    """One key with its value; the version is positive and grows with each write of the key."""

    key: str
    value: bytes
    version: int


@dataclass(slots=True, frozen=True)
class KvEvent:
    """A change seen by a watch; ``entry`` is None when the key was deleted or its lease expired."""

    key: str
    entry: KvEntry | None


@dataclass(slots=True, frozen=True)
class WatchBatch:
    """Changes since a cursor; ``reset`` means changes were lost and the prefix must be read."""

    events: tuple[KvEvent, ...]
    cursor: int
    reset: bool = False


class KvStore(Protocol):
    """The platform's key-value service.

    Every method raises :class:`KvUnavailableError` when no answer came in time.
    """

    async def get(self, key: str) -> KvEntry | None:
        """Read one key."""

    async def list(self, prefix: str) -> list[KvEntry]:
        """Read all keys that begin with the prefix, in key order."""

    async def put_if(
        self, key: str, value: bytes, expected_version: int, lease: str = ""
    ) -> KvEntry:
        """Write a key by compare-and-swap.

        :param expected_version: the version last read, or ``ABSENT_VERSION``.
        :param lease: the key is deleted when this lease ends; empty for none.
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

        :raises LeaseLostError: it has ended.
        """

    async def revoke_lease(self, lease: str) -> None:
        """End a lease; its keys are deleted."""

    async def watch(self, prefix: str, cursor: int, timeout_seconds: float) -> WatchBatch:
        """Wait for changes below a prefix.

        :param cursor: cursor of the previous batch; -1 returns the current cursor at once.
        :return: the changes, or an empty batch at the timeout.
        """


class VmList(Protocol):
    """The platform's list of VMs, which lags."""

    async def list(self) -> list[VmRecord]:
        """Read the list.

        :raises PlatformUnavailableError: no answer came.
        """


@dataclass(slots=True, frozen=True)
class Dispatch:
    """One attempt to run a request at an upstream.

    ``token_cap`` bounds prompt and output together. ``attempt`` distinguishes connections, so that
    late events of an earlier one can be dropped. ``offset`` asks the upstream to resume the stream
    after that many output tokens, and ``run_attempt`` names the attempt that began the stream to
    be resumed; None accepts the latest run of the request.
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
        """Return the number of the attempt that began the run, which its upstream knows."""
        return self.attempt if self.run_attempt is None else self.run_attempt


@dataclass(slots=True, frozen=True)
class LoadReport:
    """Load of one engine, as it reported it some time ago."""

    running: int
    waiting: int
    queued_tokens: int
    free_slots: int
    loaded: tuple[ModelRef, ...] = ()
    leaving: bool = False


@dataclass(slots=True, frozen=True)
class CacheEvent:
    """A prompt prefix entered or left an engine's cache; ``sequence`` shows gaps."""

    sequence: int
    prefix_hash: int
    added: bool


class OrderKind(Enum):
    """What an order asks of an engine."""

    LOAD = "load"
    UNLOAD = "unload"
    CHANGE_ROLE = "change_role"


@dataclass(slots=True, frozen=True)
class EngineOrder:
    """An order to an engine; ``sequence`` grows with each order for the same engine."""

    kind: OrderKind
    model: ModelRef
    fencing: int
    sequence: int = 0
    role: str = ""


class UpstreamClient(Protocol):
    """Connections to model engines and plain services.

    Errors are subclasses of :class:`UpstreamError`, chosen by what is known of the run.
    """

    def run(self, dispatch: Dispatch) -> AsyncIterator[AnswerEvent]:
        """Send a request and return its chunks, ending with ``Finished``."""

    def resume(self, dispatch: Dispatch) -> AsyncIterator[AnswerEvent]:
        """Continue a stream of the same request on a new connection, from ``dispatch.offset``.

        :raises UpstreamUnknownRequestError: the upstream never began it, forgot it, or has another
            attempt's run of the request.
        """

    async def cancel(
        self,
        upstream: UpstreamSpec,
        request_id: RequestId,
        workspace: WorkspaceId | None = None,
        incarnation: IncarnationId | None = None,
        attempt: int | None = None,
    ) -> int | None:
        """Stop the latest run of a request; a repeat returns the same use.

        :param workspace: owner of the request; two workspaces may use the same identifier, and
            without it such a request counts as unknown.
        :param incarnation: the router that sent it; None stops a run of any router.
        :param attempt: number of the dispatch that began the run; a later one of the same request
            may still be on its way, so that another run's use says nothing about it.
        :return: the tokens it used in all, or None if the upstream does not know it.
        """

    async def load(self, upstream: UpstreamSpec) -> LoadReport:
        """Read the load report."""

    async def cache_events(self, upstream: UpstreamSpec, after: int) -> tuple[CacheEvent, ...]:
        """Read cache events with a sequence greater than ``after``."""

    async def order(self, upstream: UpstreamSpec, order: EngineOrder) -> None:
        """Give an order.

        :raises UpstreamRefusedError: the engine checks fencing numbers and this one is old.
        """


@dataclass(slots=True, frozen=True)
class RecallReply:
    """Tokens a peer returned to the budget record and those it still holds."""

    returned: int
    still_held: int


class PeerClient(Protocol):
    """Calls to other routers; each raises :class:`PeerUnavailableError` when it fails."""

    async def hold(self, address: str, request: HoldRequest) -> HoldReply:
        """Have a peer hold copies of journal entries."""

    async def collect(self, address: str, request: CollectRequest) -> CollectReply:
        """Read the copies that a peer holds of a closed incarnation, and have it take no more."""

    def forward(self, address: str, request: CallerRequest) -> AsyncIterator[AnswerEvent]:
        """Have a peer run a request and return its answer."""

    async def ask_outcome(
        self, address: str, workspace: WorkspaceId, request_id: RequestId
    ) -> Outcome | None:
        """Ask what became of a request; None when the peer has never seen it."""

    async def recall(self, address: str, workspace: WorkspaceId, wanted: int) -> RecallReply:
        """Ask a peer to return its unused tokens to the budget record."""
