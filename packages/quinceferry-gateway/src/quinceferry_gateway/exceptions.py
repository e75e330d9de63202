"""Errors of the gateway; each carries the step and the peer where it arose."""

from quinceferry_core.exceptions import KvError, QuinceferryError


class ConfigurationError(QuinceferryError):
    """A configuration document has not the expected form."""


class BadCallError(QuinceferryError):
    """A caller's request is malformed.

    :param status: HTTP status that tells the caller.
    """

    def __init__(self, detail: str, *, status: int = 400, step: str = "decode") -> None:
        super().__init__(detail, step=step)
        self.status = status


class CallerGoneError(QuinceferryError):
    """The caller closed its connection."""


class WatchLostError(KvError):
    """The store no longer knows the changes since a revision; read anew."""


class NotSentError(QuinceferryError):
    """No byte of the request left this process."""


class ConnectionBrokenError(QuinceferryError):
    """The connection failed or fell silent after bytes may have left."""


class PeerClosedError(ConnectionBrokenError):
    """The other side closed or reset the connection in the middle of an exchange."""


class ForeignAnswerError(ConnectionBrokenError):
    """The answer on the connection belongs to another request."""
