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
        pieces: list[StreamChunk] = []
        for line in lines:
            if not line.startswith(DATA_PREFIX):
                continue
            message = line[_PREFIX_LENGTH:].strip()
            if message == DONE:
                _flush_chunk(pieces, events)
                events.append(self._finished())
                return events
            piece = self._decode_message(message)
            if piece.tokens:
                if pieces and pieces[-1].offset + pieces[-1].tokens != piece.offset:
                    _flush_chunk(pieces, events)
                pieces.append(piece)
        _flush_chunk(pieces, events)
        return events

    def _decode_message(self, message: bytes) -> StreamChunk:
        """Decode one message and store its usage and finish reason, if it has them."""
        try:
            piece = _decode(message)
        except msgspec.MsgspecError as error:
            raise MalformedStreamError(str(error)) from error
        if piece.usage is not None:
            self._usage = piece.usage
        if piece.choices and piece.choices[0].finish_reason is not None:
            self._finish_reason = piece.choices[0].finish_reason
        return piece

    def _finished(self) -> Finished:
        """Return the end of the answer.

        :raises MalformedStreamError: no message reported the usage.
        """
        if self._usage is None:
            raise MalformedStreamError("no usage before the end")
        usage = Usage(self._usage.prompt_tokens, self._usage.completion_tokens)
        return Finished(usage, self._finish_reason)


def _flush_chunk(pieces: list[StreamChunk], events: list[AnswerEvent]) -> None:
    """Append contiguous messages as one chunk and clear the list of messages."""
    if not pieces:
        return
    text = "".join([_choice_text(piece.choices[0]) for piece in pieces if piece.choices])
    last = pieces[-1]
    offset = pieces[0].offset
    events.append(Chunk(offset, last.offset + last.tokens - offset, text))
    pieces.clear()


def _choice_text(choice: StreamChoice) -> str:
    """Return the text of a choice of a chat or text completion."""
    if choice.delta is not None:
        return choice.delta.content or ""
    return choice.text or ""
