"""Signed tickets that name the only router allowed to run a non-idempotent request."""

import base64
import hashlib
import hmac

import msgspec
from returns.result import Failure, Result, Success

from quinceferry_core.models import Ticket

_SIGNATURE_BYTES = 16
_SEPARATOR = "."


class TicketSigner:
    """Writes and reads tickets with a secret shared by the fleet."""

    def __init__(self, secret: str) -> None:
        self._key = hashlib.blake2b(secret.encode(), person=b"qf-ticket").digest()

    def issue(self, ticket: Ticket) -> str:
        """Return the ticket as URL-safe text."""
        body = base64.urlsafe_b64encode(msgspec.json.encode(ticket)).decode()
        return f"{body}{_SEPARATOR}{self._sign(body)}"

    def verify(self, text: str) -> Result[Ticket, str]:
        """Check and read a ticket.

        An expired ticket is still read: it goes on naming the only home of its requests.

        :return: the ticket, or what is wrong with it.
        """
        body, _, signature = text.rpartition(_SEPARATOR)
        if not hmac.compare_digest(signature.encode(), self._sign(body).encode()):
            return Failure("the ticket's signature does not match")
        try:
            return Success(msgspec.json.decode(base64.urlsafe_b64decode(body), type=Ticket))
        except (ValueError, msgspec.MsgspecError):
            return Failure("the ticket is malformed")

    def _sign(self, body: str) -> str:
        """Return the signature of a ticket's body."""
        digest = hmac.digest(self._key, body.encode(), "sha256")[:_SIGNATURE_BYTES]
        return base64.urlsafe_b64encode(digest).decode().rstrip("=")
