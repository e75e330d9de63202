"""HTTP client of the platform's key-value service."""

import asyncio
from typing import TypeVar

import httpx
import msgspec

from quinceferry_core.adapters import KvEntry, WatchBatch
from quinceferry_core.exceptions import (
    KvConflictError,
    KvError,
    KvUnavailableError,
    LeaseLostError,
)
from quinceferry_core.platform_messages import (
    CLIENT_HEADER,
    CONFLICT_STATUS,
    KV_PATH,
    LEASE_LOST_STATUS,
    RATE_LIMITED_STATUS,
    KvDeleteRequest,
    KvGetReply,
    KvGetRequest,
    KvListReply,
    KvListRequest,
    KvPutRequest,
    KvWatchRequest,
    LeaseGrantReply,
    LeaseGrantRequest,
    LeaseRequest,
)

T = TypeVar("T")

_SERVER_ERROR_STATUS = 500


class HttpKv:
    """The key-value service over HTTP; implements ``KvStore``.

    A call that raises :class:`KvUnavailableError` may have taken effect or may do so later.

    :param base_url: address of the service, such as ``http://10.0.0.5:7000``.
    :param timeout_seconds: timeout of a call, in addition to the wait that a watch requests.
    :param http: connection pool; the caller closes it.
    :param client_name: name of this client, by which the service counts calls.
    """

    def __init__(
        self,
        base_url: str,
        timeout_seconds: float,
        http: httpx.AsyncClient,
        client_name: str = "",
    ) -> None:
        self._base_url = base_url.rstrip("/")
        self._timeout_seconds = timeout_seconds
        self._http = http
        self._headers = {"content-type": "application/json", CLIENT_HEADER: client_name}

    async def get(self, key: str) -> KvEntry | None:
        """Read one key."""
        reply = await self._call("get", KvGetRequest(key), KvGetReply)
        return reply.entry

    async def list(self, prefix: str) -> list[KvEntry]:
        """Read all keys with the prefix, in key order."""
        reply = await self._call("list", KvListRequest(prefix), KvListReply)
        return reply.entries

    async def put_if(
        self, key: str, value: bytes, expected_version: int, lease: str = ""
    ) -> KvEntry:
        """Write a key by compare-and-swap.

        :raises KvConflictError: the key has a different version; nothing was written.
        :raises LeaseLostError: the lease has ended; nothing was written.
        """
        request = KvPutRequest(key, value, expected_version, lease)
        return await self._call("put_if", request, KvEntry)

    async def delete_if(self, key: str, expected_version: int) -> None:
        """Delete a key by compare-and-swap.

        :raises KvConflictError: the key has a different version; nothing was deleted.
        """
        await self._call("delete_if", KvDeleteRequest(key, expected_version), None)

    async def grant_lease(self, ttl_seconds: float) -> str:
        """Create a lease and return its identifier."""
        reply = await self._call("grant_lease", LeaseGrantRequest(ttl_seconds), LeaseGrantReply)
        return reply.lease

    async def keep_alive(self, lease: str) -> None:
        """Renew a lease.

        :raises LeaseLostError: it has ended.
        """
        await self._call("keep_alive", LeaseRequest(lease), None)

    async def revoke_lease(self, lease: str) -> None:
        """End a lease, which deletes its keys."""
        await self._call("revoke_lease", LeaseRequest(lease), None)

    async def watch(self, prefix: str, cursor: int, timeout_seconds: float) -> WatchBatch:
        """Wait for changes below a prefix with one long poll.

        :param cursor: cursor of the previous batch; -1 returns the current cursor immediately.
        :param timeout_seconds: how long the service waits for a change.
        """
        request = KvWatchRequest(prefix, cursor, timeout_seconds)
        return await self._call("watch", request, WatchBatch, timeout_seconds)

    async def _call(
        self,
        verb: str,
        request: msgspec.Struct,
        reply_type: type[T] | None,
        watch_seconds: float = 0.0,
    ) -> T:
        response = await self._send(verb, request, watch_seconds)
        self._check_status(verb, response)
        try:
            return msgspec.json.decode(response.content, type=reply_type)
        except msgspec.DecodeError as error:
            raise self._error(KvUnavailableError, verb, f"unreadable answer: {error}") from error

    async def _send(
        self, verb: str, request: msgspec.Struct, watch_seconds: float
    ) -> httpx.Response:
        # The timeout covers the whole exchange; httpx's own timeouts restart with each read.
        limit = self._timeout_seconds + watch_seconds
        url = f"{self._base_url}{KV_PATH}/{verb}"
        body = msgspec.json.encode(request)
        try:
            async with asyncio.timeout(limit):
                return await self._http.post(url, content=body, headers=self._headers, timeout=None)
        except TimeoutError as error:
            raise self._error(KvUnavailableError, verb, f"no answer within {limit} s") from error
        except httpx.HTTPError as error:
            detail = f"{type(error).__name__}: {error}"
            raise self._error(KvUnavailableError, verb, detail) from error

    def _check_status(self, verb: str, response: httpx.Response) -> None:
        status = response.status_code
        if status < httpx.codes.BAD_REQUEST:
            return
        detail = f"status {status}: {response.text}"
        if status == CONFLICT_STATUS:
            raise self._error(KvConflictError, verb, detail)
        if status == LEASE_LOST_STATUS:
            raise self._error(LeaseLostError, verb, detail)
        if status == RATE_LIMITED_STATUS or status >= _SERVER_ERROR_STATUS:
            raise self._error(KvUnavailableError, verb, detail)
        raise self._error(KvError, verb, detail)

    def _error(self, error_type: type[KvError], verb: str, detail: str) -> KvError:
        return error_type(detail, step=f"kv.{verb}", peer=self._base_url)
