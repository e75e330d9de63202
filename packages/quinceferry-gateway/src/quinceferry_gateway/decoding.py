"""Decoding of messages from outside the process, with one exception for all that is malformed.

The decoder raises other exceptions than its own for some malformed messages: for text that is not
UTF-8, for values that are nested deeply, and for numbers that Python does not convert.
"""

import base64
from collections.abc import Callable
from functools import partial
from typing import TypeVar

import msgspec

T = TypeVar("T")


def decode_json(document: bytes, message_type: type[T]) -> T:
    """Decode a JSON document.

    :raises msgspec.DecodeError: it is malformed.
    """
    return decode_with(partial(msgspec.json.decode, type=message_type), document)


def decode_msgpack(message: bytes, message_type: type[T]) -> T:
    """Decode a MessagePack message.

    :raises msgspec.DecodeError: it is malformed.
    """
    return decode_with(partial(msgspec.msgpack.decode, type=message_type), message)


def decode_with(decode: Callable[[bytes], T], message: bytes) -> T:
    """Decode a message with a function of the library.

    :raises msgspec.DecodeError: it is malformed.
    """
    try:
        return decode(message)
    except (UnicodeDecodeError, RecursionError, OverflowError) as error:
        raise msgspec.DecodeError(str(error)) from error


def decode_base64(text: str) -> bytes:
    """Decode standard Base64 with padding.

    :raises msgspec.DecodeError: it is malformed.
    """
    try:
        return base64.b64decode(text, validate=True)
    except ValueError as error:
        raise msgspec.DecodeError(str(error)) from error
