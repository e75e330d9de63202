"""Wire format of answers and outcomes between routers.

Other messages are encoded directly from their structs. A forwarded request is one JSON document.
Its answer is a sequence of lines, each a JSON object with a ``type`` tag; an empty line is a
keep-alive.
"""

from typing import assert_never

import msgspec

from quinceferry_core.models import CallerRequest, RequestId, Usage, WorkspaceId
from quinceferry_core.outcomes import (
    AnswerEvent,
    Chunk,
    Failed,
    Finished,
    NotRun,
    NotRunProof,
    Outcome,
    RefusalReason,
    Run,
    Unknown,
)

KEEP_ALIVE_LINE = b"\n"
"""Line without an event, sent to keep the connection alive."""


class WireNotRun(msgspec.Struct, frozen=True, tag="not_run"):
    """Wire form of :class:`NotRun`."""

    proof: NotRunProof


class WireRun(msgspec.Struct, frozen=True, tag="run"):
    """Wire form of :class:`Run`."""

    usage: Usage


class WireUnknown(msgspec.Struct, frozen=True, tag="unknown"):
    """Wire form of :class:`Unknown`."""


WireOutcome = WireNotRun | WireRun | WireUnknown


class WireChunk(msgspec.Struct, frozen=True, tag="chunk"):
    """Wire form of :class:`Chunk`."""

    offset: int
    tokens: int
    text: str
    data: bytes = b""


class WireFinished(msgspec.Struct, frozen=True, tag="finished"):
    """Wire form of :class:`Finished`."""

    usage: Usage
    reason: str
    status: int
    content_type: str


class WireFailed(msgspec.Struct, frozen=True, tag="failed"):
    """Wire form of :class:`Failed`."""

    reason: RefusalReason
    outcome: WireOutcome
    retry_after_seconds: float
    detail: str
    step: str
    peer: str


WireEvent = WireChunk | WireFinished | WireFailed


class OutcomeReply(msgspec.Struct, frozen=True):
    """Reply with the outcome of a request; None if the request was never seen."""

    outcome: WireOutcome | None


class OutcomeRequest(msgspec.Struct, frozen=True):
    """Message that asks for the outcome of a request."""

    workspace: WorkspaceId
    request_id: RequestId


class RecallRequest(msgspec.Struct, frozen=True):
    """Message that asks a router to return unused tokens of a workspace.

    :ivar wanted: number of tokens that the sender is short of.
    """

    workspace: WorkspaceId
    wanted: int


_encoder = msgspec.json.Encoder()
_request_decoder = msgspec.json.Decoder(CallerRequest)
_event_decoder = msgspec.json.Decoder(WireEvent)
_outcome_decoder = msgspec.json.Decoder(OutcomeReply)


def encode_request(request: CallerRequest) -> bytes:
    """Encode a request that is to be forwarded."""
    return _encoder.encode(request)


def decode_request(document: bytes) -> CallerRequest:
    """Decode a forwarded request.

    :raises msgspec.DecodeError: the document is malformed.
    """
    return _request_decoder.decode(document)


def encode_event(event: AnswerEvent) -> bytes:
    """Encode an event as one line."""
    return _encoder.encode(_to_wire_event(event)) + b"\n"


def decode_event(line: bytes) -> AnswerEvent:
    """Decode an event from a non-empty line.

    :raises msgspec.DecodeError: the line is malformed.
    """
    match _event_decoder.decode(line):
        case WireChunk() as chunk:
            return Chunk(chunk.offset, chunk.tokens, chunk.text, chunk.data)
        case WireFinished() as finished:
            return Finished(finished.usage, finished.reason, finished.status, finished.content_type)
        case WireFailed() as failed:
            return Failed(
                failed.reason,
                _from_wire_outcome(failed.outcome),
                failed.retry_after_seconds,
                failed.detail,
                failed.step,
                failed.peer,
            )


def encode_outcome(outcome: Outcome | None) -> bytes:
    """Encode the outcome of a request as an ``OutcomeReply``."""
    return _encoder.encode(OutcomeReply(None if outcome is None else _to_wire_outcome(outcome)))


def decode_outcome(document: bytes) -> Outcome | None:
    """Decode the outcome of a request from an ``OutcomeReply``.

    :raises msgspec.DecodeError: the document is malformed.
    """
    reply = _outcome_decoder.decode(document)
    return None if reply.outcome is None else _from_wire_outcome(reply.outcome)


def _to_wire_event(event: AnswerEvent) -> WireEvent:
    """Return the wire form of an event."""
    match event:
        case Chunk():
            return WireChunk(event.offset, event.tokens, event.text, event.data)
        case Finished():
            return WireFinished(event.usage, event.reason, event.status, event.content_type)
        case Failed():
            return WireFailed(
                event.reason,
                _to_wire_outcome(event.outcome),
                event.retry_after_seconds,
                event.detail,
                event.step,
                event.peer,
            )
        case _:
            assert_never(event)


def _to_wire_outcome(outcome: Outcome) -> WireOutcome:
    """Return the wire form of an outcome."""
    match outcome:
        case NotRun():
            return WireNotRun(outcome.proof)
        case Run():
            return WireRun(outcome.usage)
        case Unknown():
            return WireUnknown()
        case _:
            assert_never(outcome)


def _from_wire_outcome(outcome: WireOutcome) -> Outcome:
    """Return the outcome that a wire form describes."""
    match outcome:
        case WireNotRun():
            return NotRun(outcome.proof)
        case WireRun():
            return Run(outcome.usage)
        case WireUnknown():
            return Unknown()
        case _:
            assert_never(outcome)
