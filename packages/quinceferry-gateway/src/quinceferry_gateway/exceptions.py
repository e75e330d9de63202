"""Exceptions of the gateway; each carries the step and the peer at which it occurred."""

from quinceferry_core.exceptions import KvError, QuinceferryError


class ConfigurationError(QuinceferryError):
    """A configuration document or upstream entry is malformed."""


class BadCallError(QuinceferryError):
    """A caller's request is malformed.

    :param status: HTTP status to send to the caller.
    """

    def __init__(self, detail: str, *, status: int = 400, step: str = "decode") -> None:
        super().__init__(detail, step=step)
        self.status = status


class CallerGoneError(QuinceferryError):
    """The caller closed its connection."""


class WatchLostError(KvError):
    """The store no longer has the changes since a revision; the key must be read again."""


class NotSentError(QuinceferryError):
    """No byte of the request was sent."""


class NotListeningError(NotSentError):
    """No server accepts connections at the address."""


class ConnectionBrokenError(QuinceferryError):
    """The connection failed or timed out after bytes may have been sent."""


class PeerClosedError(ConnectionBrokenError):
    """The other side closed or reset the connection during an exchange."""


class ForeignAnswerError(ConnectionBrokenError):
    """The answer on the connection belongs to another request."""
