"""Deterministic output of the stand-in model engine.

Each output token names its request and its position, so a foreign, missing or doubled piece of an
answer differs from the expected text.
"""

import hashlib

import msgspec

from quinceferry_core.models import CallerRequest

BYTES_PER_TOKEN = 4
"""UTF-8 bytes of prompt that the stand-in tokenizer counts as one token."""
DEFAULT_OUTPUT_TOKENS = 64
"""Output length of a request that sets no bound."""

_TAG_BYTES = 4


class _StandInOptions(msgspec.Struct):
    """Fields of a request body that only the stand-in reads."""

    stand_in_output_tokens: int | None = None


_options_decoder = msgspec.json.Decoder(_StandInOptions)


def count_prompt_tokens(prompt: str) -> int:
    """Count the tokens of a prompt as the stand-in tokenizer does."""
    return -(-len(prompt.encode()) // BYTES_PER_TOKEN)


def wanted_output_tokens(request: CallerRequest) -> int:
    """Return the output length before the token cap is applied.

    A body field ``stand_in_output_tokens`` sets it; otherwise it lies between half the request's
    bound and the bound, chosen by a hash of the request.
    """
    bound = request.max_output_tokens or DEFAULT_OUTPUT_TOKENS
    wanted = _option(request.body)
    if wanted is None:
        wanted = bound - int(output_tag(request), 16) % (bound // 2 + 1)
    return min(wanted, bound)


def output_tokens(request: CallerRequest, token_cap: int | None = None) -> int:
    """Return the number of tokens the engine generates.

    :param token_cap: bound of prompt and output together; None for no cap.
    """
    wanted = wanted_output_tokens(request)
    if token_cap is None:
        return wanted
    return max(0, min(wanted, token_cap - count_prompt_tokens(request.prompt)))


def output_tag(request: CallerRequest) -> str:
    """Return the hexadecimal tag that every token of this request's output begins with."""
    identity = "\0".join((request.workspace, request.request_id, request.prompt))
    return hashlib.blake2b(identity.encode(), digest_size=_TAG_BYTES).hexdigest()


def text_between(tag: str, start: int, end: int) -> str:
    """Return the text of output tokens ``start`` up to but not including ``end``."""
    return "".join([f"{tag}.{position} " for position in range(start, end)])


def expected_chunk(request: CallerRequest, offset: int, tokens: int) -> str:
    """Return the text of some output tokens.

    :param offset: output tokens before the piece.
    :param tokens: output tokens in it.
    """
    return text_between(output_tag(request), offset, offset + tokens)


def expected_output(request: CallerRequest, token_cap: int | None = None) -> str:
    """Return the whole output of a request.

    :param token_cap: bound of prompt and output together; None for no cap.
    """
    return expected_chunk(request, 0, output_tokens(request, token_cap))


def _option(body: bytes) -> int | None:
    """Read the wanted output length from a request body, if it names one."""
    try:
        return _options_decoder.decode(body).stand_in_output_tokens
    except msgspec.MsgspecError:
        return None
