"""Signed tickets, each naming the only router that may run a non-idempotent request."""

import base64
import hashlib
import hmac

import msgspec
from returns.result import Failure, Result, Success

from quinceferry_core.models import Ticket

_SIGNATURE_BYTES = 16
_SEPARATOR = "."


class TicketSigner:
    """Issues and verifies tickets with a secret shared by the fleet."""

    def __init__(self, secret: str) -> None:
        self._key = hashlib.blake2b(secret.encode(), person=b"qf-ticket").digest()

    def issue(self, ticket: Ticket) -> str:
        """Return the signed ticket as URL-safe text."""
        body = base64.urlsafe_b64encode(msgspec.json.encode(ticket)).decode()
        return f"{body}{_SEPARATOR}{self._sign(body)}"

    def verify(self, text: str) -> Result[Ticket, str]:
        """Verify and decode a ticket.

        An expired ticket is accepted, because it still names the only home of its requests.

        :return: the ticket, or why it is not valid.
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
