"""Exceptions of quinceferry; each has the step and the peer where the error occurred."""


class QuinceferryError(Exception):
    """Base class of all errors that quinceferry raises.

    :param detail: human-readable description of the error.
    :param step: the operation in progress, such as ``kv.put_if``.
    :param peer: address or identifier of the remote process, if any.
    """

    def __init__(self, detail: str = "", *, step: str = "", peer: str = "") -> None:
        super().__init__(detail)
        self.detail = detail
        self.step = step
        self.peer = peer

    def __str__(self) -> str:
        """Return the detail with its step and peer."""
        where = " ".join(part for part in (self.step, self.peer) if part)
        return f"{self.detail} ({where})" if where else self.detail


class KvError(QuinceferryError):
    """A call to the key-value store failed."""


class KvUnavailableError(KvError):
    """The key-value store did not answer; a write may or may not have taken effect."""


class KvConflictError(KvError):
    """The key does not have the expected version; nothing was written."""


class LeaseLostError(KvError):
    """The lease has expired or was revoked."""


class PlatformUnavailableError(QuinceferryError):
    """The VM list or the weight store did not answer."""


class PeerUnavailableError(QuinceferryError):
    """Another router could not be reached, or the connection to it was interrupted."""


class PeerNotBegunError(PeerUnavailableError):
    """The other router never received the call, or rejected it before starting it."""


class UpstreamError(QuinceferryError):
    """A call to an upstream failed."""


class UpstreamRefusedError(UpstreamError):
    """The upstream rejected the request before starting it."""


class UpstreamNotSentError(UpstreamError):
    """No byte of the request was sent."""


class UpstreamLostError(UpstreamError):
    """The connection was interrupted or timed out after bytes may have been sent."""


class UpstreamUnknownRequestError(UpstreamError):
    """The upstream has no stream of the named request."""


class FencedError(QuinceferryError):
    """Another router has closed this incarnation."""


class SettingsError(QuinceferryError):
    """The settings file has one or more errors."""
