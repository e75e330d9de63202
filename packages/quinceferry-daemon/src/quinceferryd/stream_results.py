"""Accounting of one request's attempts, complete when its stream has ended."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

from quinceferry_core.models import UpstreamId, UpstreamSpec
from quinceferry_core.outcomes import Failed, NotRun, NotRunProof, Outcome, Run
from quinceferryd.blackboard import Identity

DispatchHook = Callable[[UpstreamSpec, int], Awaitable[Failed | None]]
"""Called before any byte of a run leaves; a returned failure aborts the request."""


@dataclass(slots=True)
class Attempt:
    """One run of a request at one upstream; resumes continue it under later connection numbers.

    ``sender`` is this router's identity when the attempt was recorded.
    ``tokens`` used in all is None while not known. ``not_run_proof`` is the proof that it did not
    begin.
    """

    number: int
    upstream: UpstreamId
    tokens: int | None = None
    not_run_proof: NotRunProof | None = None
    sender: Identity | None = None

    @property
    def may_have_run(self) -> bool:
        """Return whether the upstream may have begun it."""
        return self.not_run_proof is None


@dataclass(slots=True)
class StreamResult:
    """What a stream came to, for settling the budget.

    Filled in while the stream runs; whole once its iterator is exhausted or closed.
    """

    attempts: list[Attempt] = field(default_factory=list)
    outcome: Outcome = NotRun(NotRunProof.NEVER_SENT)
    delivered_tokens: int = 0
    resumes: int = 0

    @property
    def possible_runs(self) -> list[Attempt]:
        """Return the attempts that may have run, each of which may have used tokens."""
        return [attempt for attempt in self.attempts if attempt.may_have_run]

    @property
    def finished(self) -> bool:
        """Return whether the whole answer came."""
        return isinstance(self.outcome, Run)

    @property
    def tokens_used(self) -> int | None:
        """Return the tokens of all attempts that may have run; None if one is not known."""
        used_tokens = [attempt.tokens for attempt in self.possible_runs]
        return None if None in used_tokens else sum(tokens or 0 for tokens in used_tokens)
