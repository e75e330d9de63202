"""A server that sends its answer in pieces, as a thin link lets it through."""

import asyncio


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
