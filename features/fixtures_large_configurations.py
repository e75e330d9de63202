"""Large configurations, modelled links with a rate, and a server as slow as such a link."""

import asyncio
import json
import random


class SlowServer:
    """Answers one request at a time with pieces of a body, at an even pace.

    :param promised: pieces that the length of the answer promises.
    :param sent: pieces that are sent; nothing follows them.
    """

    def __init__(self, promised, sent, piece_bytes, pause_seconds):
        self._promised = promised
        self._sent = sent
        self._piece = b"x" * piece_bytes
        self._pause_seconds = pause_seconds

    async def __aenter__(self):
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._answer, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()
        self.address = f"{host}:{port}"
        return self

    async def __aexit__(self, *_):
        """Stop listening."""
        self._server.close()

    async def _answer(self, reader, writer):
        """Send the head, and then one piece after the other."""
        await reader.readuntil(b"\r\n\r\n")
        length = self._promised * len(self._piece)
        writer.write(f"HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n".encode())
        for _ in range(self._sent):
            writer.write(self._piece)
            await asyncio.sleep(self._pause_seconds)
        if self._sent == self._promised:
            writer.close()


class Link:
    """One direction of a gateway's link, which passes chunks on one after the other."""

    def __init__(self, bytes_per_second):
        self._bytes_per_second = bytes_per_second
        self._free_at = 0.0

    def take(self, size, now):
        """Return when a chunk that arrives now has been passed on."""
        self._free_at = max(now, self._free_at) + size / self._bytes_per_second
        return self._free_at


def large_document(version, routes, seed):
    """Return a configuration of so many routes, as an operator's tool writes it."""
    draws = random.Random(seed)
    common = {"host": "tanks.example", "kind": "stream", "timeout_ms": 10_000, "slo_ms": 645}
    common |= {"priority": 2, "attempts": 2, "anonymous": False, "sticky": True}
    named = [f"{draws.getrandbits(40):x}" for _ in range(routes)]
    listed = [
        {"name": f"r-{name}", "prefix": f"/{name[::-1]}/", "service": f"s{index % 7}"} | common
        for index, name in enumerate(named)
    ]
    return json.dumps({"version": version, "routes": listed}).encode()
