"""Signatures by which routers recognise each other's calls.

Each call carries the time, a random nonce, the SHA-256 digest of its body, and an HMAC-SHA256 of
method, path and these under the fleet secret, so the secret itself never crosses the network. The
signature is checked before the body is read: strangers can't make a router hold their bodies.
"""

import hashlib
import hmac
import secrets

SIGNATURE_HEADER = "x-quinceferry-signature"
"""Header with ``<unix seconds>.<nonce>.<digest of the body>.<HMAC>``, the last two hexadecimal."""
MAX_SKEW_SECONDS = 300.0
"""Greatest difference between the caller's wall clock and ours."""

_NONCE_BYTES = 8
_PART_COUNT = 4


class Signer:
    """Signs and checks calls under one fleet secret.

    :param fleet_secret: secret shared by all routers of the fleet.
    """

    def __init__(self, fleet_secret: str) -> None:
        self._secret = fleet_secret.encode()

    def sign(self, method: str, path: str, body: bytes, unix_seconds: float) -> str:
        """Return the header value for a call."""
        nonce = secrets.token_hex(_NONCE_BYTES)
        signed = f"{int(unix_seconds)}.{nonce}.{body_digest(body)}"
        return f"{signed}.{self._mac(method, path, signed)}"

    def verify(self, value: str, method: str, path: str, unix_seconds: float) -> str:
        """Check a header value in constant time.

        :param value: the header as received; empty when it is missing.
        :param unix_seconds: our wall-clock time.
        :return: the digest that the body must have; empty unless a holder of the fleet secret
            signed this call within the allowed skew.
        """
        parts = value.split(".")
        if len(parts) != _PART_COUNT or not value.isascii() or not parts[0].isdigit():
            return ""
        signed, _, mac = value.rpartition(".")
        if not hmac.compare_digest(self._mac(method, path, signed), mac):
            return ""
        skew = abs(unix_seconds - int(parts[0]))
        return parts[2] if skew <= MAX_SKEW_SECONDS else ""

    def _mac(self, method: str, path: str, signed: str) -> str:
        """Return the HMAC of a call."""
        message = f"{method}\n{path}\n{signed}".encode()
        return hmac.digest(self._secret, message, "sha256").hex()


def body_digest(body: bytes) -> str:
    """Return the digest of a body, as it is signed."""
    return hashlib.sha256(body).hexdigest()
