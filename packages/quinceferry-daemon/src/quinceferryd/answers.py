"""Encoding of engine answers in the format of the OpenAI API."""

import msgspec

from quinceferry_core.models import RequestKind, Usage
from quinceferry_core.outcomes import Failed
from quinceferryd.refusals import error_document

DONE = b"data: [DONE]\n\n"
"""Final event of a complete streamed answer."""

_EVENT_END = b"\n\n"
_encode = msgspec.json.Encoder().encode


class UsageDocument(msgspec.Struct, frozen=True):
    """Token counts of one answer."""

    prompt_tokens: int
    completion_tokens: int
    total_tokens: int


class AnswerFormat:
    """Encodes the answer of one request.

    The constant parts of a chunk are encoded once, so that each streamed token needs only the
    encoding of its text.

    :param kind: chat or text completion.
    :param request_id: identifier of the request.
    :param model: model name as the caller sent it.
    :param created: time of the request, in seconds since 1970.
    """

    def __init__(self, kind: RequestKind, request_id: str, model: str, created: int) -> None:
        self._is_chat = kind is RequestKind.CHAT
        self._common_fields = {
            "id": f"{'chatcmpl' if self._is_chat else 'cmpl'}-{request_id}",
            "created": created,
            "model": model,
        }
        self._chunk_object = "chat.completion.chunk" if self._is_chat else "text_completion"
        head = _encode({**self._common_fields, "object": self._chunk_object})[:-1]
        field = b'"delta":{"content":' if self._is_chat else b'"text":'
        self._before_text = b"data: " + head + b',"choices":[{"index":0,' + field
        close = b"}" if self._is_chat else b""
        self._after_text = close + b',"logprobs":null,"finish_reason":null}]}' + _EVENT_END

    def opening_event(self) -> bytes:
        """Return the first event of a streamed answer; empty for a text completion."""
        if not self._is_chat:
            return b""
        delta = {"role": "assistant", "content": ""}
        return self._event([{"index": 0, "delta": delta, "finish_reason": None}])

    def text_event(self, text: str) -> bytes:
        """Return the event for one chunk of text."""
        return self._before_text + _encode(text) + self._after_text

    def finish_event(self, finish_reason: str) -> bytes:
        """Return the event with the finish reason, which ends the text."""
        piece = {"delta": {}} if self._is_chat else {"text": ""}
        return self._event([{"index": 0, **piece, "finish_reason": finish_reason}])

    def usage_event(self, usage: Usage) -> bytes:
        """Return the event with the usage."""
        return self._event([], usage=_usage_document(usage))

    def whole_document(self, text: str, finish_reason: str, usage: Usage) -> bytes:
        """Return the JSON document of a complete answer."""
        message = {"role": "assistant", "content": text}
        piece = {"message": message} if self._is_chat else {"text": text}
        choice = {"index": 0, **piece, "logprobs": None, "finish_reason": finish_reason}
        return _encode(
            {
                **self._common_fields,
                "object": "chat.completion" if self._is_chat else "text_completion",
                "choices": [choice],
                "usage": _usage_document(usage),
            }
        )

    def _event(self, choices: list[object], **fields: object) -> bytes:
        """Encode one event."""
        document = {
            **self._common_fields,
            "object": self._chunk_object,
            "choices": choices,
            **fields,
        }
        return b"data: " + _encode(document) + _EVENT_END


def error_event(failed: Failed, request_id: str) -> bytes:
    """Return the event that ends an interrupted streamed answer."""
    return b"event: error\ndata: " + error_document(failed, request_id) + _EVENT_END


def _usage_document(usage: Usage) -> UsageDocument:
    """Return the usage in the format of the OpenAI API."""
    return UsageDocument(usage.prompt_tokens, usage.output_tokens, usage.total)
