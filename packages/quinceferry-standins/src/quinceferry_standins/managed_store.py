"""Stand-in for the store of the users' platform, over HTTP."""

import asyncio
import base64
import itertools
import json
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any
from urllib.parse import parse_qs

from quinceferry_standins.managed_upstream import ManagedUpstream

PAGE_ITEMS = 50
"""Items of one page of a range; the platform's pages are larger, small ones test the paging."""

Scope = dict[str, Any]
Receive = Callable[[], Awaitable[dict[str, Any]]]
Send = Callable[[dict[str, Any]], Awaitable[None]]
Answer = tuple[int, dict[str, Any]]


@dataclass(slots=True)
class StoreFaults:
    """What goes wrong with calls.

    ``status`` answers all calls with an error; ``silent`` answers none and does nothing;
    ``delay_seconds`` is how long all calls wait before they are served;
    ``lose_writes`` counts transactions still to be carried out without an answer, and
    ``late_seconds`` is how long these wait before they are carried out.
    """

    status: int = 0
    silent: bool = False
    delay_seconds: float = 0.0
    lose_writes: int = 0
    late_seconds: float = 0.0


@dataclass(slots=True)
class _Item:
    value: str
    rev: int
    created: int
    lease: int


@dataclass(slots=True)
class StoreContent:
    """All that the store holds; ``events`` is its history."""

    items_by_key: dict[str, _Item] = field(default_factory=dict)
    revision: int = 1
    events: list[dict[str, Any]] = field(default_factory=list)
    first_event: int = 0
    ends_by_lease: dict[int, float] = field(default_factory=dict)


class ManagedStore:
    """ASGI application that serves the store's calls.

    :param faults: what goes wrong.
    """

    def __init__(self, faults: StoreFaults | None = None) -> None:
        self.faults = faults or StoreFaults()
        self.content = StoreContent()
        self.calls: list[str] = []
        self._leases = itertools.count(101)
        self._changed = asyncio.Condition()

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve one call."""
        body = await _read(receive)
        path = scope["path"]
        self.calls.append(path)
        if self.faults.silent:
            await asyncio.sleep(3600)
        if self.faults.delay_seconds:
            await asyncio.sleep(self.faults.delay_seconds)
        if self.faults.status:
            await _answer(send, self.faults.status, {})
            return
        self._expire()
        if path == "/v1/kv-txn" and self.faults.lose_writes:
            await self._lose(json.loads(body))
        query = {key: values[0] for key, values in parse_qs(scope["query_string"].decode()).items()}
        status, message = await self._serve(scope["method"], path, query, body)
        await _answer(send, status, message)

    async def put(self, key: str, value: bytes) -> None:
        """Write a key as the operator or an upstream would."""
        self._write(key, base64.b64encode(value).decode(), 0)
        await self._notify()

    async def register_upstream(
        self, upstream: ManagedUpstream, service: str, **changes: Any
    ) -> None:
        """Write the entry of an upstream, as it does itself on the platform.

        :param changes: fields of the entry that differ from those of a ready upstream.
        """
        entry = {"service": service, "addr": upstream.address, "zone": "zone-a", "slots": 64}
        entry |= {"version": "v1", "state": "ready", "seq": 1, "cold_left_ms": 0}
        await self.put(f"servers/{upstream.id}", json.dumps(entry | changes).encode())

    async def remove(self, key: str) -> None:
        """Remove a key."""
        self._remove(key)
        await self._notify()

    def value(self, key: str) -> bytes | None:
        """Return a key's value."""
        item = self.content.items_by_key.get(key)
        return base64.b64decode(item.value) if item else None

    def forget_history(self) -> None:
        """Drop all events, so that watches from before must read anew."""
        self.content.first_event = self.content.revision
        self.content.events.clear()

    async def _serve(self, method: str, path: str, query: dict[str, str], body: bytes) -> Answer:
        """Return the answer to one call."""
        match method, path.removeprefix("/v1/").split("/"):
            case "GET", ["kv-key"]:
                return self._get(query["key"])
            case "GET", ["kv-range"]:
                return self._range(query["prefix"], query.get("after", ""))
            case "GET", ["kv-watch"]:
                wait_seconds = int(query["wait_ms"]) / 1000
                return await self._watch(query["prefix"], int(query["after"]), wait_seconds)
            case "POST", ["kv-txn"]:
                return await self._transact(json.loads(body))
            case "POST", ["kv-lease"]:
                return self._grant(json.loads(body)["ttl_ms"])
            case "POST", ["kv-keep", lease]:
                return self._keep(int(lease))
            case "DELETE", ["kv-lease-end", lease]:
                return await self._end(int(lease))
            case _:
                return 404, {}

    def _get(self, key: str) -> Answer:
        """Read one key."""
        item = self.content.items_by_key.get(key)
        if item is None:
            return 404, {}
        return 200, {**self._shown(key, item), "at": self.content.revision}

    def _range(self, prefix: str, after: str) -> Answer:
        """Read one page."""
        keys = sorted(key for key in self.content.items_by_key if key.startswith(prefix))
        keys = [key for key in keys if key > after]
        page = [self._shown(key, self.content.items_by_key[key]) for key in keys[:PAGE_ITEMS]]
        more = len(keys) > PAGE_ITEMS
        return 200, {"items": page, "has_more": more, "at": self.content.revision}

    async def _watch(self, prefix: str, after: int, wait_seconds: float) -> Answer:
        """Wait for events below a prefix."""
        ends_at = asyncio.get_running_loop().time() + wait_seconds
        while True:
            if after < self.content.first_event:
                return 410, {}
            events = [
                event
                for event in self.content.events
                if event["rev"] > after and event["key"].startswith(prefix)
            ]
            left = ends_at - asyncio.get_running_loop().time()
            if events or left <= 0:
                return 200, {"events": events, "at": self.content.revision}
            async with self._changed:
                try:
                    await asyncio.wait_for(self._changed.wait(), left)
                except TimeoutError:
                    continue

    async def _transact(self, message: dict[str, Any]) -> Answer:
        """Carry out a transaction, or nothing of it."""
        for expected in message["expect_rev"]:
            item = self.content.items_by_key.get(expected["key"])
            if (item.rev if item else 0) != expected["rev"]:
                shown = [self._shown(expected["key"], item)] if item else []
                return 412, {"items": shown}
        for put in message.get("puts", ()):
            if put.get("lease") and put["lease"] not in self.content.ends_by_lease:
                return 404, {}
        for put in message.get("puts", ()):
            self._write(put["key"], put["value"], put.get("lease", 0))
        for key in message.get("remove", ()):
            self._remove(key)
        await self._notify()
        return 200, {"rev": self.content.revision}

    async def _lose(self, message: dict[str, Any]) -> None:
        """Carry out a transaction, perhaps late, and never answer."""
        self.faults.lose_writes -= 1
        await asyncio.sleep(self.faults.late_seconds)
        await self._transact(message)
        await asyncio.sleep(3600)

    def _grant(self, ttl_ms: int) -> Answer:
        """Create a lease."""
        lease = next(self._leases)
        self.content.ends_by_lease[lease] = asyncio.get_running_loop().time() + ttl_ms / 1000
        return 200, {"lease": lease, "ttl_ms": ttl_ms}

    def _keep(self, lease: int) -> Answer:
        """Renew a lease by five seconds."""
        if lease not in self.content.ends_by_lease:
            return 404, {}
        self.content.ends_by_lease[lease] = asyncio.get_running_loop().time() + 5.0
        return 200, {"ttl_ms": 5000}

    async def _end(self, lease: int) -> Answer:
        """End a lease at once."""
        if lease not in self.content.ends_by_lease:
            return 404, {}
        self.content.ends_by_lease[lease] = 0.0
        self._expire()
        await self._notify()
        return 200, {}

    def _expire(self) -> None:
        """Remove the keys of leases that have ended."""
        now = asyncio.get_running_loop().time()
        ended = {lease for lease, end in self.content.ends_by_lease.items() if end <= now}
        for lease in ended:
            del self.content.ends_by_lease[lease]
        for key in [key for key, item in self.content.items_by_key.items() if item.lease in ended]:
            self._remove(key)

    def _write(self, key: str, value: str, lease: int) -> None:
        """Write a key under the next revision."""
        self.content.revision += 1
        before = self.content.items_by_key.get(key)
        created = before.created if before else self.content.revision
        item = _Item(value, self.content.revision, created, lease)
        self.content.items_by_key[key] = item
        self.content.events.append(self._shown(key, item))

    def _remove(self, key: str) -> None:
        """Remove a key under the next revision."""
        if self.content.items_by_key.pop(key, None) is not None:
            self.content.revision += 1
            event = {"key": key, "rev": self.content.revision, "tombstone": True}
            self.content.events.append(event)

    async def _notify(self) -> None:
        """Wake the watches."""
        async with self._changed:
            self._changed.notify_all()

    @staticmethod
    def _shown(key: str, item: _Item) -> dict[str, Any]:
        """Return an item as the store shows it."""
        return {
            "key": key,
            "value": item.value,
            "rev": item.rev,
            "created": item.created,
            "lease": item.lease,
        }


async def _read(receive: Receive) -> bytes:
    """Return a call's body."""
    body = b""
    while True:
        message = await receive()
        body += message.get("body", b"")
        if not message.get("more_body"):
            return body


async def _answer(send: Send, status: int, message: dict[str, Any]) -> None:
    """Send an answer in JSON."""
    body = json.dumps(message).encode()
    headers = [
        (b"content-type", b"application/json"),
        (b"content-length", str(len(body)).encode()),
    ]
    await send({"type": "http.response.start", "status": status, "headers": headers})
    await send({"type": "http.response.body", "body": body})
