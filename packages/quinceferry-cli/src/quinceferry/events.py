"""Parsing of streamed answers: server-sent events of an OpenAI-style completion."""

from collections.abc import AsyncIterator

import httpx
import msgspec

from quinceferry.exceptions import AnswerBrokenError
from quinceferry.refusals import read_refusal

DONE_DATA = "[DONE]"
"""Data of the event that ends a complete answer."""


class Usage(msgspec.Struct, frozen=True):
    """Tokens of one answer."""

    prompt_tokens: int = 0
    completion_tokens: int = 0

    @property
    def total_tokens(self) -> int:
        """Return the sum of prompt and output tokens."""
        return self.prompt_tokens + self.completion_tokens


class Piece(msgspec.Struct, frozen=True):
    """A piece of an answer's text, or its end."""

    text: str = ""
    finish_reason: str = ""
    usage: Usage | None = None


class StreamDeduplicator:
    """Removes text that was already returned from the retried answers to one request."""

    __slots__ = ("_position", "_returned")

    def __init__(self) -> None:
        self._returned = ""
        self._position = 0

    def restart(self) -> None:
        """Start with a new answer at its beginning."""
        self._position = 0

    def new_part(self, piece: Piece) -> Piece | None:
        """Return the new part of a piece, or None if it differs from the text already returned.

        A piece without new text is returned, too, for its finish reason and usage.
        """
        already_returned = self._returned[self._position : self._position + len(piece.text)]
        if not piece.text.startswith(already_returned):
            return None
        new_text = piece.text[len(already_returned) :]
        self._position += len(piece.text)
        self._returned += new_text
        return Piece(new_text, piece.finish_reason, piece.usage)


class _Message(msgspec.Struct):
    """Text of a chat message, complete or in pieces."""

    content: str | None = None


class _Choice(msgspec.Struct):
    """The only choice of an answer or event."""

    text: str | None = None
    delta: _Message | None = None
    message: _Message | None = None
    finish_reason: str | None = None


class _Document(msgspec.Struct):
    """A complete answer, or the data of one event."""

    choices: list[_Choice] = []
    usage: Usage | None = None


_decoder = msgspec.json.Decoder(_Document)


def read_piece(document: bytes | str) -> Piece:
    """Decode a complete answer or the data of one event.

    :raises msgspec.DecodeError: the document is malformed.
    """
    body = _decoder.decode(document)
    if not body.choices:
        return Piece(usage=body.usage)
    choice = body.choices[0]
    message = choice.delta or choice.message or _Message()
    return Piece(choice.text or message.content or "", choice.finish_reason or "", body.usage)


async def read_pieces(response: httpx.Response) -> AsyncIterator[Piece]:
    """Yield the pieces of a streamed answer.

    :raises RefusedError: the router ended the stream with an error.
    :raises AnswerBrokenError: the stream ended without its last event, or is malformed.
    """
    event = ""
    async for line in response.aiter_lines():
        field, _, value = line.partition(":")
        value = value.removeprefix(" ")
        match field:
            case "event":
                event = value
            case "data" if event == "error":
                raise read_refusal(response, value.encode(), step="stream")
            case "data" if value == DONE_DATA:
                return
            case "data":
                yield _read_event(response, value)
    raise _broken_stream_error(response, "the stream ended before its last event")


def _read_event(response: httpx.Response, data: str) -> Piece:
    """Decode the data of one event."""
    try:
        return read_piece(data)
    except msgspec.DecodeError as error:
        raise _broken_stream_error(response, f"malformed event: {error}") from error


def _broken_stream_error(response: httpx.Response, detail: str) -> AnswerBrokenError:
    """Return the error for an incomplete or malformed stream."""
    return AnswerBrokenError(detail, request=response.request, response=response, step="stream")
