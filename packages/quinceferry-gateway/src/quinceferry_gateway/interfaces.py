"""Narrow interfaces to what the platform's adapter translates."""

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Protocol

from quinceferry_core.adapters import KvEntry
from quinceferry_gateway.catalog import AnswerHead, Call, Configuration, Upstream, UpstreamList

Headers = Sequence[tuple[bytes, bytes]]


@dataclass(slots=True, frozen=True)
class Snapshot:
    """All keys with a prefix, in key order, read at one revision of the store."""

    revision: int
    entries: list[KvEntry]


class SnapshotSource(Protocol):
    """Reads prefixes of the store together with its revision."""

    async def snapshot(self, prefix: str) -> Snapshot:
        """Read all keys that begin with the prefix.

        :raises quinceferry_core.exceptions.KvUnavailableError: no answer came.
        """


class CatalogSource(Protocol):
    """Reads the operators' configuration and the list of upstreams.

    Every method raises :class:`quinceferry_core.exceptions.KvUnavailableError` when no answer came.
    """

    async def configuration(self) -> tuple[bytes, int] | None:
        """Return the newest configuration, undecoded, and the store's revision; None if unset."""

    async def next_configuration(
        self, revision: int, timeout_seconds: float
    ) -> tuple[bytes, int] | None:
        """Wait for a configuration that was written after a revision; None when there is none.

        :return: the newest document, undecoded, and the store's revision.
        :raises WatchLostError: changes since the revision are no longer known.
        """

    async def upstreams(self) -> UpstreamList:
        """Return all registered upstreams."""

    def decode_configuration(self, document: bytes) -> Configuration:
        """Return a configuration.

        :raises ConfigurationError: the document has not the expected form.
        """


class Dialect(Protocol):
    """Translates between the headers of callers and upstreams and the router's own values."""

    def decode_call(
        self, method: str, target: bytes, path: str, headers: Headers, body: bytes
    ) -> Call:
        """Return a caller's request.

        :raises BadCallError: a header is malformed.
        """

    def upstream_headers(
        self,
        call: Call,
        upstream: Upstream,
        *,
        remaining_seconds: float,
        workspace: str | None,
        priority: int,
        resume_after: str,
        fetch_from: str = "",
    ) -> list[tuple[bytes, bytes]]:
        """Return the headers to send with one attempt.

        :param fetch_from: address of an upstream that likely keeps parts of the prompt.
        """

    def decode_answer(self, status: int, headers: Headers) -> AnswerHead:
        """Return what an upstream's status line and headers say."""

    def request_id(self, headers: Headers) -> str:
        """Return the request identifier that a caller sent, or an empty string."""

    def refusal_headers(
        self, request_id: str, retry_after_seconds: float | None
    ) -> list[tuple[bytes, bytes]]:
        """Return the headers of an answer that the router gives by itself."""
