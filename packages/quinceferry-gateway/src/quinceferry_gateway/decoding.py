"""Decoding of messages from outside the process, with one exception for all that is malformed.

The decoder raises other exceptions than its own for some malformed messages: for text that is not
UTF-8, for values that are nested deeply, and for numbers that Python does not convert.
"""

import base64
import binascii
from typing import TypeVar

import msgspec

T = TypeVar("T")

_OTHER_ERRORS = (UnicodeDecodeError, RecursionError, OverflowError)


def decode_json(document: bytes, message_type: type[T]) -> T:
    """Decode a JSON document.

    :raises msgspec.DecodeError: it is malformed.
    """
    try:
        return msgspec.json.decode(document, type=message_type)
    except _OTHER_ERRORS as error:
        raise msgspec.DecodeError(str(error)) from error


def decode_msgpack(message: bytes, message_type: type[T]) -> T:
    """Decode a MessagePack message.

    :raises msgspec.DecodeError: it is malformed.
    """
    try:
        return msgspec.msgpack.decode(message, type=message_type)
    except _OTHER_ERRORS as error:
        raise msgspec.DecodeError(str(error)) from error


def decode_base64(text: str) -> bytes:
    """Decode standard Base64 with padding.

    :raises msgspec.DecodeError: it is malformed.
    """
    try:
        return base64.b64decode(text, validate=True)
    except (binascii.Error, ValueError) as error:
        raise msgspec.DecodeError(str(error)) from error
