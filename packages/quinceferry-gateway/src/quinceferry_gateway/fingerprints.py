"""Names for the content of requests that tell nothing of it."""

import hashlib

from quinceferry_gateway.catalog import Call

DIGEST_BYTES = 16
"""Size of a fingerprint: no two of the contents that a fleet sees in a year collide by chance."""


def request_fingerprint(call: Call, workspace: str) -> str:
    """Return what all requests with the same content have in common.

    The same content is the same caller, method, host, path with its query, and body. Headers are
    left out: each try has an identifier and a deadline of its own.

    :param workspace: whose request it is, so that no caller can have another's content refused.
    """
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for part in (workspace.encode(), call.method, call.host.encode(), call.target, call.body):
        digest.update(len(part).to_bytes(8))
        digest.update(part)
    return digest.hexdigest()
