"""Exception tree of quinceferry; each error carries the step and the peer where it arose."""


class QuinceferryError(Exception):
    """Base class of all errors raised on purpose.

    :param detail: what went wrong, for people.
    :param step: the operation in progress, such as ``kv.put_if``.
    :param peer: address or identifier of the other side, if any.
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
    """The key-value service did not do what was asked."""


class KvUnavailableError(KvError):
    """No answer came; a write may or may not have taken effect."""


class KvConflictError(KvError):
    """The expected version does not match; nothing was written."""


class LeaseLostError(KvError):
    """The lease has expired or was revoked."""


class PlatformUnavailableError(QuinceferryError):
    """The VM list or the weight store did not answer."""


class PeerUnavailableError(QuinceferryError):
    """Another router could not be reached, or its connection broke."""


class PeerNotBegunError(PeerUnavailableError):
    """The other router never received the call, or refused it before it began."""


class UpstreamError(QuinceferryError):
    """An upstream failed."""


class UpstreamRefusedError(UpstreamError):
    """The upstream answered that it did not begin the request."""


class UpstreamNotSentError(UpstreamError):
    """No byte of the request left this process."""


class UpstreamLostError(UpstreamError):
    """The connection broke or went silent after bytes may have left."""


class UpstreamUnknownRequestError(UpstreamError):
    """The upstream holds no stream of the named request."""


class FencedError(QuinceferryError):
    """This incarnation has been closed by another router."""


class SettingsError(QuinceferryError):
    """The settings file holds one or more faults."""
