"""Identifiers for the content of requests and for what they share, which don't reveal it."""

import hashlib
import re

from quinceferry_gateway.catalog import Call

DIGEST_BYTES = 16
"""Size of a fingerprint, large enough that no two contents that a fleet receives in a year collide.
"""

MAX_TRAITS = 16
"""Most traits of one request."""
_NAME_PATTERN = re.compile("[0-9A-Za-z_-]{1,64}")
"""Names that are used as they are in the keys of records."""


def request_fingerprint(call: Call, workspace: str) -> str:
    """Return an identifier that all requests with the same content share.

    The same content is the same caller, method, host, path with its query, and body. Headers are
    left out, since each attempt has its own identifier and deadline.

    :param workspace: whose request it is, so that no caller can get another's content rejected.
    """
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for part in (workspace.encode(), call.method, call.host.encode(), call.target, call.body):
        digest.update(len(part).to_bytes(8))
        digest.update(part)
    return digest.hexdigest()


def request_traits(call: Call, service: str) -> tuple[str, ...]:
    """Return the names of what a request may share with others, general ones first.

    These are the parts of its prompt but the last one, which belongs to the request itself. They
    are named apart by service, since another model may bear what crashes the upstreams of one.
    Workspaces are not told apart: a part means the same tokens in each, and a part that sound
    requests of any workspace have is cleared by their answers.
    """
    return tuple(
        f"part-{_short_name(part.id)}@{_short_name(service)}"
        for part in call.prompt_parts[:-1][:MAX_TRAITS]
    )


def _short_name(text: str) -> str:
    """Return a name itself if it can be part of a key, or else its hash."""
    if _NAME_PATTERN.fullmatch(text):
        return text
    return hashlib.blake2b(text.encode("utf-8", "surrogatepass"), digest_size=16).hexdigest()
