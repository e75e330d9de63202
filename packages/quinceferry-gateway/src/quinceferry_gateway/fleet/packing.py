"""Compression of the lists that gateways send to each other.

Entries of a list resemble each other, so a configuration of a thousand routes shrinks to a fraction
of its size, and takes that much less time on a slow link.
"""

import zlib

import msgspec

COMPRESSION_LEVEL = 1
"""Fastest level. The highest makes a configuration a fifth smaller, in eight times the time."""
MAX_UNPACKED_BYTES = 16_777_216
"""Largest list accepted from a peer, many times what the store accepts as a value."""


def pack(content: bytes) -> bytes:
    """Return content compressed for a peer."""
    return zlib.compress(content, COMPRESSION_LEVEL)


def unpack(packed: bytes) -> bytes:
    """Return content that a peer compressed.

    :raises msgspec.DecodeError: the content is damaged or too large.
    """
    decompressor = zlib.decompressobj()
    try:
        content = decompressor.decompress(packed, MAX_UNPACKED_BYTES)
    except zlib.error as error:
        raise msgspec.DecodeError(str(error)) from error
    if not decompressor.eof:
        raise msgspec.DecodeError("the compressed content is truncated or too large")
    return content
