"""Habits of callers: how they read, how long they wait and when they change the router."""

from dataclasses import dataclass
from random import Random

from quinceferry_core.models import WorkspaceId
from quinceferry_core.outcomes import NotRun, NotRunProof, RefusalReason
from quinceferry_lab.histories import Attempt, NotConnected, Refused

MAX_STRETCH = 8.0
"""Bound of the factor by which callers stretch their waits as attempts fail."""
VANISHING_SHARE = 0.05
SLOW_SHARE = 0.08


@dataclass(slots=True, frozen=True)
class Patient:
    """Reads everything as it comes."""


@dataclass(slots=True, frozen=True)
class Vanishing:
    """Goes away after some pieces of the answer, or while it waits for the first."""

    after_pieces: int
    after_seconds: float


@dataclass(slots=True, frozen=True)
class Slow:
    """Waits after each piece."""

    seconds: float


Reading = Patient | Vanishing | Slow


@dataclass(slots=True, frozen=True)
class CallerPlan:
    """Habits of one caller.

    ``patience_seconds`` is how long it waits for the next piece.
    """

    name: str
    workspace: WorkspaceId
    zone: str
    patience_seconds: float
    pause_seconds: float


def patience_factor(number: int) -> float:
    """Return by how much a caller stretches its waits after so many attempts."""
    return min(MAX_STRETCH, 1.5 ** max(0, number - 3))


def is_proven_not_run(attempt: Attempt) -> bool:
    """Tell whether an attempt certainly ran nothing."""
    match attempt.end:
        case NotConnected():
            return True
        case Refused(outcome=NotRun()):
            return True
    return False


def must_move(attempt: Attempt, proven: bool) -> bool:
    """Tell whether the request needs a new address and ticket.

    A home remembers what it refused, so a non-idempotent request goes on under a new ticket. It
    must not while an earlier attempt may still run, unless a closed journal proves that none did.

    :param proven: whether all attempts so far certainly ran nothing.
    """
    match attempt.end:
        case Refused(reason=RefusalReason.HOME_GONE, outcome=NotRun(proof=proof)):
            return proven or proof is NotRunProof.JOURNAL_CLOSED_WITHOUT_IT
        case Refused(outcome=NotRun()):
            return proven and not attempt.request.idempotent
    return False


def draw_reading(rng: Random) -> Reading:
    """Draw how a caller reads one answer."""
    drawn = rng.random()
    if drawn < VANISHING_SHARE:
        return Vanishing(rng.randrange(0, 12), rng.uniform(0.05, 2.0))
    if drawn < VANISHING_SHARE + SLOW_SHARE:
        return Slow(rng.uniform(0.05, 0.4))
    return Patient()
