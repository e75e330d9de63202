"""Parser for the server-sent events of a completion.

Relaying a token is the router's most frequent operation. Messages are therefore decoded directly
into typed structs, and messages that arrive together are merged into one chunk.
"""

import msgspec

from quinceferry_core.models import Usage
from quinceferry_core.outcomes import AnswerEvent, Chunk, Finished
from quinceferry_core.upstream_messages import (
    DATA_PREFIX,
    DONE,
    StreamChoice,
    StreamChunk,
    StreamUsage,
)

MAX_LINE_BYTES = 1 << 20
"""Longest line of a stream; a longer one is malformed."""

_PREFIX_LENGTH = len(DATA_PREFIX)
_decode = msgspec.json.Decoder(StreamChunk).decode


class MalformedStreamError(ValueError):
    """The stream does not follow the protocol."""


class EventReader:
    """Parses the bytes of one stream into chunks and the end of the answer."""

    def __init__(self) -> None:
        self._partial_line = b""
        self._usage: StreamUsage | None = None
        self._finish_reason = ""

    def feed(self, data: bytes) -> list[AnswerEvent]:
        """Parse more bytes; contiguous messages are merged into one chunk.

        :param data: next bytes of the stream, split at any position.
        :return: events completed by these bytes; bytes after ``Finished`` are ignored.
        :raises MalformedStreamError: a message is malformed, or the stream ends without usage.
        """
        lines = (self._partial_line + data).split(b"\n")
        self._partial_line = lines.pop()
        if len(self._partial_line) > MAX_LINE_BYTES:
            raise MalformedStreamError("line too long")
        events: list[AnswerEvent] = []
        message_chunks: list[StreamChunk] = []
        for line in lines:
            if not line.startswith(DATA_PREFIX):
                continue
            message = line[_PREFIX_LENGTH:].strip()
            if message == DONE:
                _flush_chunk(message_chunks, events)
                events.append(self._finished())
                return events
            message_chunk = self._decode_message(message)
            if message_chunk.tokens:
                if (
                    message_chunks
                    and message_chunks[-1].offset + message_chunks[-1].tokens
                    != message_chunk.offset
                ):
                    _flush_chunk(message_chunks, events)
                message_chunks.append(message_chunk)
        _flush_chunk(message_chunks, events)
        return events

    def _decode_message(self, message: bytes) -> StreamChunk:
        """Decode one message and store its usage and finish reason, if it has them."""
        try:
            message_chunk = _decode(message)
        except msgspec.MsgspecError as error:
            raise MalformedStreamError(str(error)) from error
        if message_chunk.usage is not None:
            self._usage = message_chunk.usage
        if message_chunk.choices and message_chunk.choices[0].finish_reason is not None:
            self._finish_reason = message_chunk.choices[0].finish_reason
        return message_chunk

    def _finished(self) -> Finished:
        """Return the end of the answer.

        :raises MalformedStreamError: no message reported the usage.
        """
        if self._usage is None:
            raise MalformedStreamError("no usage before the end")
        usage = Usage(self._usage.prompt_tokens, self._usage.completion_tokens)
        return Finished(usage, self._finish_reason)


def _flush_chunk(message_chunks: list[StreamChunk], events: list[AnswerEvent]) -> None:
    """Append contiguous messages as one chunk and clear the list of messages."""
    if not message_chunks:
        return
    text = "".join(
        [
            _choice_text(message_chunk.choices[0])
            for message_chunk in message_chunks
            if message_chunk.choices
        ]
    )
    last = message_chunks[-1]
    offset = message_chunks[0].offset
    events.append(Chunk(offset, last.offset + last.tokens - offset, text))
    message_chunks.clear()


def _choice_text(choice: StreamChoice) -> str:
    """Return the text of a choice of a chat or text completion."""
    if choice.delta is not None:
        return choice.delta.content or ""
    return choice.text or ""
