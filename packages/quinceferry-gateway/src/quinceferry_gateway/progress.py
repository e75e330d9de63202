"""Progress of a request and of the answer to its caller."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

from quinceferry_gateway.answers import WholeAnswer
from quinceferry_gateway.catalog import AnswerHead, Call, Route, StreamOrigin, Workspace
from quinceferry_gateway.decisions import Demand
from quinceferry_gateway.events import EventBuffer, StreamPace
from quinceferry_gateway.fingerprints import request_fingerprint, request_traits

SendHead = Callable[[AnswerHead], Awaitable[None]]
SendBytes = Callable[[bytes], Awaitable[None]]


@dataclass(slots=True)
class CallerStream:
    """The answer to the caller, as far as it has been sent.

    ``origin`` is None until the first event of the stream is known to have an origin: from an
    upstream, or from a record if the caller resumes the stream.
    """

    send_head: SendHead
    send_events: SendBytes
    buffer: EventBuffer
    pace: StreamPace
    head_sent: bool = False
    origin: StreamOrigin | None = None


@dataclass(slots=True)
class Progress:
    """Progress of a request.

    ``delivered_sends`` counts the sends that reached an upstream, ``misdirected`` those of them
    that reached another upstream than the chosen one. ``may_have_run`` states whether an attempt
    reached an upstream that did not reject it, and ``retry_granted`` whether the retry budget has
    already granted the next attempt. ``max_attempts`` are those of its route, or fewer if a peer
    has forwarded it after some. ``tried_peers`` are the incarnations to which it was forwarded.
    ``attempt_timeout`` ends the attempt in progress at the deadline. ``shortened`` states whether a
    planned stop has moved the deadline forward.
    """

    call: Call
    route: Route
    service: str
    workspace: Workspace | None
    deadline_at: float
    stream: CallerStream
    demand: Demand
    max_attempts: int
    forwarded: bool = False
    tried_peers: list[str] = field(default_factory=list)
    attempt_timeout: asyncio.Timeout | None = None
    shortened: bool = False
    tried_upstream_ids: list[str] = field(default_factory=list)
    delivered_sends: int = 0
    misdirected: int = 0
    retry_granted: bool = False
    may_have_run: bool = False
    last_failure: WholeAnswer | None = None
    last_detail: str = ""
    _fingerprint: str = field(default="", init=False, repr=False)
    _traits: tuple[str, ...] | None = field(default=None, init=False, repr=False)

    def shorten(self, deadline_at: float, now: float) -> None:
        """Move the deadline forward, also for the attempt in progress.

        :param now: the present time on the clock of the deadline.
        """
        if deadline_at >= self.deadline_at:
            return
        self.deadline_at = deadline_at
        self.shortened = True
        if self.attempt_timeout is not None:
            remaining = max(0.0, deadline_at - now)
            self.attempt_timeout.reschedule(asyncio.get_running_loop().time() + remaining)

    @property
    def remaining_attempts(self) -> int:
        """Return how many more times the request may be sent.

        A send that reached another upstream than the selected one does not count as an attempt.
        """
        return self.max_attempts - self.delivered_sends + self.misdirected

    @property
    def fingerprint(self) -> str:
        """Return the identifier of the request's content, computed at the first use."""
        if not self._fingerprint:
            workspace = self.workspace.name if self.workspace else ""
            self._fingerprint = request_fingerprint(self.call, workspace)
        return self._fingerprint

    @property
    def traits(self) -> tuple[str, ...]:
        """Return what the request may share with others, computed at the first use."""
        if self._traits is None:
            self._traits = request_traits(self.call, self.service)
        return self._traits

    @property
    def workspace_name(self) -> str:
        """Return the name of the workspace for logs and metrics."""
        return self.workspace.name if self.workspace else "none"
