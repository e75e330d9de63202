"""Signatures by which routers recognise each other's calls.

Each call carries the time, a random nonce and an HMAC-SHA256 of method, path, time, nonce and body
under the fleet secret, so the secret itself never crosses the network.
"""

import hashlib
import hmac
import secrets

SIGNATURE_HEADER = "x-quinceferry-signature"
"""Header with ``<unix seconds>.<nonce>.<hexadecimal HMAC>``."""
MAX_SKEW_SECONDS = 300.0
"""Greatest difference between the caller's wall clock and ours."""

_NONCE_BYTES = 8


class Signer:
    """Signs and checks calls under one fleet secret.

    :param fleet_secret: secret shared by all routers of the fleet.
    """

    def __init__(self, fleet_secret: str) -> None:
        self._secret = fleet_secret.encode()

    def sign(self, method: str, path: str, body: bytes, unix_seconds: float) -> str:
        """Return the header value for a call."""
        nonce = secrets.token_hex(_NONCE_BYTES)
        stamp = str(int(unix_seconds))
        return f"{stamp}.{nonce}.{self._digest(method, path, stamp, nonce, body)}"

    def verify(self, value: str, method: str, path: str, body: bytes, unix_seconds: float) -> bool:
        """Check a header value in constant time.

        :param value: the header as received; empty when it is missing.
        :param unix_seconds: our wall-clock time.
        :return: whether a holder of the fleet secret signed this call within the allowed skew.
        """
        parts = value.split(".")
        if len(parts) != 3 or not value.isascii() or not parts[0].isdigit():
            return False
        stamp, nonce, digest = parts
        expected = self._digest(method, path, stamp, nonce, body)
        if not hmac.compare_digest(expected, digest):
            return False
        return abs(unix_seconds - int(stamp)) <= MAX_SKEW_SECONDS

    def _digest(self, method: str, path: str, stamp: str, nonce: str, body: bytes) -> str:
        """Return the HMAC of a call."""
        head = f"{method}\n{path}\n{stamp}\n{nonce}\n".encode()
        mac = hmac.new(self._secret, head, hashlib.sha256)
        mac.update(body)
        return mac.hexdigest()
