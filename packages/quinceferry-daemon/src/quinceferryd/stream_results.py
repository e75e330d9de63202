"""Accounting of the attempts of one request."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

from quinceferry_core.models import UpstreamId, UpstreamSpec
from quinceferry_core.outcomes import Failed, NotRun, NotRunProof, Outcome, Run
from quinceferryd.blackboard import Identity

DispatchHook = Callable[[UpstreamSpec, int], Awaitable[Failed | None]]
"""Called before the first byte of a run is sent; a returned failure aborts the request."""


@dataclass(slots=True)
class Attempt:
    """One run of a request at one upstream; resumes continue it under later connection numbers.

    :param number: connection number under which the run began.
    :param tokens: total tokens used by the run; None while unknown.
    :param not_run_proof: proof that the run did not begin, if there is one.
    :param sender: identity of this router when the attempt was recorded.
    """

    number: int
    upstream: UpstreamId
    tokens: int | None = None
    not_run_proof: NotRunProof | None = None
    sender: Identity | None = None

    @property
    def may_have_run(self) -> bool:
        """Return whether the upstream may have begun the run."""
        return self.not_run_proof is None


@dataclass(slots=True)
class StreamResult:
    """Accounting of a stream, used to settle the budget.

    Updated while the stream runs; complete once its iterator is exhausted or closed.
    """

    attempts: list[Attempt] = field(default_factory=list)
    outcome: Outcome = NotRun(NotRunProof.NEVER_SENT)
    delivered_tokens: int = 0
    resumes: int = 0

    @property
    def possible_runs(self) -> list[Attempt]:
        """Return the attempts that may have run and may therefore have used tokens."""
        return [attempt for attempt in self.attempts if attempt.may_have_run]

    @property
    def finished(self) -> bool:
        """Return whether the answer is complete."""
        return isinstance(self.outcome, Run)

    @property
    def tokens_used(self) -> int | None:
        """Return the total tokens of all attempts that may have run; None if any is unknown."""
        used_tokens = [attempt.tokens for attempt in self.possible_runs]
        return None if None in used_tokens else sum(tokens or 0 for tokens in used_tokens)
