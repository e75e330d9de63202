"""Records of what an upstream really ran; history checks compare the routers' claims with them."""

from dataclasses import dataclass

from quinceferry_core.adapters import Dispatch, EngineOrder
from quinceferry_core.models import IncarnationId, RequestId, UpstreamId, WorkspaceId


@dataclass(slots=True)
class RunRecord:
    """One run of a request; times are in the upstream's monotonic seconds.

    ``started_at`` is None while the request waits; a request cancelled in that state never ran.
    """

    workspace: WorkspaceId
    request_id: RequestId
    upstream: UpstreamId
    incarnation: IncarnationId
    fencing: int
    attempt: int
    received_at: float
    started_at: float | None = None
    prompt_tokens: int = 0
    cached_tokens: int = 0
    output_tokens: int = 0
    finished: bool = False
    cancelled: bool = False

    @classmethod
    def of(cls, dispatch: Dispatch, received_at: float) -> "RunRecord":
        """Return the record of a request that has just arrived."""
        return cls(
            workspace=dispatch.request.workspace,
            request_id=dispatch.request.request_id,
            upstream=dispatch.upstream.id,
            incarnation=dispatch.incarnation,
            fencing=dispatch.fencing,
            attempt=dispatch.attempt,
            received_at=received_at,
        )

    @property
    def used_tokens(self) -> int:
        """Return prompt and output tokens together."""
        return self.prompt_tokens + self.output_tokens


@dataclass(slots=True, frozen=True)
class OrderRecord:
    """An order that an engine received, and whether it obeyed."""

    order: EngineOrder
    received_at: float
    obeyed: bool
