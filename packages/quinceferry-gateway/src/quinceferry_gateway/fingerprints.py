"""Identifiers for the content of requests that don't reveal it."""

import hashlib

from quinceferry_gateway.catalog import Call

DIGEST_BYTES = 16
"""Size of a fingerprint, large enough that no two contents that a fleet receives in a year collide.
"""


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
