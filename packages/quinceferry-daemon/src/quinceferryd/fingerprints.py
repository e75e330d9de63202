"""Digests that identify the content of requests."""

import hashlib

from quinceferry_core.models import CallerRequest

DIGEST_BYTES = 16


def fingerprint(request: CallerRequest) -> bytes:
    """Return a digest of the target, method, path, prompt and body of a request."""
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for part in (str(request.target), request.method, request.path, request.prompt):
        digest.update(part.encode())
        digest.update(b"\0")
    digest.update(request.body)
    return digest.digest()
