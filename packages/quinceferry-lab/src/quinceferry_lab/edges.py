"""What a router's caller interface does with a request, without HTTP."""

from collections.abc import AsyncIterator
from contextlib import aclosing
from dataclasses import replace

from returns.result import Failure, Success

from quinceferry_core.models import CallerRequest, RequestKind
from quinceferry_core.outcomes import AnswerEvent, Chunk, Failed, RefusalReason, Unknown
from quinceferry_lab.histories import History, Note
from quinceferryd.blackboard import RouterState
from quinceferryd.interfaces import AddressAnswer, RouterApplication
from quinceferryd.refusals import refusal

RETRY_SECONDS = 1.0


class Edge:
    """Caller interface of one router process.

    :param label: name of the process in the history.
    :param history: takes notes of internal errors.
    """

    def __init__(self, label: str, application: RouterApplication, history: History) -> None:
        self._label = label
        self._application = application
        self._history = history

    async def serve(self, request: CallerRequest, ticket: str) -> AsyncIterator[AnswerEvent]:
        """Run a request and return its answer."""
        refused = self._refusal(request, ticket)
        if refused is not None:
            yield refused
            return
        if ticket:
            match self._application.tickets.verify(ticket):
                case Success(read):
                    request = replace(request, ticket=read)
                case Failure(detail):
                    yield refusal(RefusalReason.TICKET_INVALID, detail)
                    return
        async for event in self._submit(request):
            yield event

    def address(self, request: CallerRequest, zone: str) -> AddressAnswer | None:
        """Return which routers to use; None before this router has joined."""
        if self._application.blackboard.state is RouterState.STARTING:
            return None
        return self._application.addresses.answer(request.workspace, zone)

    async def _submit(self, request: CallerRequest) -> AsyncIterator[AnswerEvent]:
        """Run a request; an error inside the router ends the answer as the interface ends it."""
        ended = False
        try:
            async with aclosing(self._application.pipeline.submit(request)) as events:
                async for event in events:
                    ended = ended or not isinstance(event, Chunk)
                    yield event
        except Exception as error:
            now = self._application.clock.monotonic()
            text = f"{self._label}: internal error at {request.request_id}: {error!r}"
            self._history.notes.append(Note(now, text))
            if ended:
                return
            yield Failed(RefusalReason.INTERNAL, Unknown(), detail=repr(error))

    def _refusal(self, request: CallerRequest, ticket: str) -> AnswerEvent | None:
        """Refuse what is refused before the pipeline."""
        blackboard = self._application.blackboard
        if blackboard.state is RouterState.STARTING:
            refused = refusal(RefusalReason.ROUTER_NOT_READY, "not joined", RETRY_SECONDS)
            # A ticket names another router, which may have run the request already.
            return replace(refused, outcome=Unknown()) if ticket else refused
        workspace = blackboard.configuration.workspaces_by_id.get(request.workspace)
        if workspace is None:
            return refusal(RefusalReason.UNAUTHENTICATED, "the workspace key is wrong")
        if request.kind is RequestKind.SERVICE:
            attached = request.target.model in workspace.services
            reason = RefusalReason.SERVICE_NOT_ATTACHED
        else:
            attached = request.target in workspace.models
            reason = RefusalReason.MODEL_NOT_ATTACHED
        return None if attached else refusal(reason, "not attached")
