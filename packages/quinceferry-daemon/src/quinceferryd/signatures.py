"""Signatures that authenticate calls between routers.

Each call carries the time, a random nonce, the SHA-256 digest of its body, and an HMAC-SHA256 of
method, path and these values, keyed with the fleet secret. The secret itself is never transmitted.
The signature is verified before the body is read, so unauthenticated clients cannot make a router
buffer their bodies.
"""

import hashlib
import hmac
import secrets

SIGNATURE_HEADER = "x-quinceferry-signature"
"""Header with ``<unix seconds>.<nonce>.<body digest>.<HMAC>``; the last three are in hex."""
MAX_SKEW_SECONDS = 300.0
"""Maximum difference between the wall clocks of the calling and the called router."""

_NONCE_BYTES = 8
_PART_COUNT = 4


class Signer:
    """Signs and verifies calls with the fleet secret.

    :param fleet_secret: secret shared by all routers of the fleet.
    """

    def __init__(self, fleet_secret: str) -> None:
        self._secret = fleet_secret.encode()

    def sign(self, method: str, path: str, body: bytes, unix_seconds: float) -> str:
        """Return the header value that signs a call."""
        nonce = secrets.token_hex(_NONCE_BYTES)
        signed = f"{int(unix_seconds)}.{nonce}.{body_digest(body)}"
        return f"{signed}.{self._mac(method, path, signed)}"

    def verify(self, value: str, method: str, path: str, unix_seconds: float) -> str:
        """Verify a header value; compare the HMAC in constant time.

        :param value: the received header; empty if it is missing.
        :param unix_seconds: current wall-clock time of this router.
        :return: the digest that the body must have; empty if the call was not signed with the
            fleet secret within the allowed clock skew.
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
    """Return the hexadecimal SHA-256 digest of a body."""
    return hashlib.sha256(body).hexdigest()
