"""Vocabulary of the protocol models, and their exploration with minicheck.

Each model is a finite transition system over immutable states. It takes the set of guards that are
in force, so that a guard can be taken away to see what it prevents.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from enum import Enum
from typing import Any

from minicheck import Protocol, check_safety

MAX_STATES = 3_000_000

State = Any
"""A named tuple; each model has its own."""
Step = tuple[str, State]
"""What happens, and the state that follows."""


class Guard(Enum):
    """One check of the protocol that a model can leave out."""

    OPERATION_SEQUENCE = "operation sequence compared after a lost answer"
    DEBIT_BEFORE_SEND = "ledger debited before tokens are returned"
    TOP_UP_ID = "top-up recognised by its operation id"
    TOP_UP_MARK_READ_LAST = "top-up mark read after the budget record"
    CLOSE_BEFORE_RECLAIM = "journal closed before tokens are reclaimed"
    BEGIN_BEFORE_DISPATCH = "Begin committed before dispatch"
    CLOSING_SLOT = "closing slot ends the journal"
    OUTAGE_TOKENS_KEPT = "outage tokens counted as kept"
    ALLOTMENT_CLOSED = "closed allotment cannot grow"
    ABSENT_ALLOTMENT_FENCES = "holder whose allotment is gone counts as closed"
    RECOVERY_REPEATED = "recovery repeated while a closed incarnation holds tokens"
    RECOVERED_BILL_DURABLE = "recovered bills durable before the incarnation is forgotten"
    UNKNOWN_NEEDS_PROOF = "unknown request settled only when it cannot arrive any more"
    ATTEMPT_NAMED = "upstream asked about one attempt, not one request"
    NETWORK_DRAINED = "requests of a vanished VM have arrived before its absence is a proof"
    BILL_KEY = "bills keyed by request id"
    COPY_BEFORE_DISPATCH = "copy held before dispatch on outage tokens"
    UNREGISTERED_WITHOUT_COPY = "copy left out only while no holder was ever registered"
    REGISTRATION_REPEATED = "registration with a lost answer written again"
    CHANGED_WHILE_DURABLE = "holders changed only while every entry is durable"
    DURABLE_POSITION = "copies dropped only below a durable position"
    HOLD_NAMES_HOLDER = "copy addressed to the registered incarnation"
    COLLECT_NAMES_HOLDER = "only the registered incarnation answers for its copies"
    COLLECT_SEALS = "holder takes no copies once it was asked"
    ALL_HOLDERS_ASKED = "every registered holder asked"
    JOURNALED_FLAG = "ticket tells whether its home journals"
    HOME_CHECK = "only the home runs a request"
    HOME_MEMORY = "home knows the requests it has accepted"
    REFUSAL_KEPT = "home keeps its refusals"
    TICKET_EXPIRY = "expired ticket starts nothing"
    CLOSED_BEFORE_NOT_RUN = "journal closed before another router says not run"


@dataclass(frozen=True, slots=True)
class Model:
    """One protocol model.

    :param variant: which upstream, ticket or fault it is about; empty when there is only one.
    :param steps: returns the steps possible in a state under the guards in force.
    :param invariants: what must hold in every state, keyed by name.
    :param guards: the guards whose removal this model shows to be harmful.
    """

    name: str
    initial: State
    steps: Callable[[State, frozenset[Guard]], Iterable[Step]]
    invariants: dict[str, Callable[[State], bool]]
    guards: tuple[Guard, ...]
    variant: str = ""

    @property
    def title(self) -> str:
        """Return the name with the variant."""
        return f"{self.name} ({self.variant})" if self.variant else self.name


@dataclass(frozen=True, slots=True)
class Counterexample:
    """The shortest run that breaks an invariant.

    ``steps`` leaves out the initial state; ``final`` is the state that breaks the invariant.
    """

    invariant: str
    steps: tuple[str, ...]
    final: State


@dataclass(frozen=True, slots=True)
class Exploration:
    """Result of exploring one model.

    ``exhaustive`` is false when the search stopped at a counterexample or at the state limit.
    """

    states: int
    exhaustive: bool
    counterexample: Counterexample | None = None

    @property
    def proven(self) -> bool:
        """Return whether every reachable state was visited and none breaks an invariant."""
        return self.exhaustive and self.counterexample is None


class _TypedProtocol(Protocol):
    """Protocol that hands states to the invariants as they are, not as dictionaries."""

    def d(self, state: State) -> State:
        """Return the state itself."""
        return state


def explore(
    model: Model, without: Guard | None = None, max_states: int = MAX_STATES
) -> Exploration:
    """Explore a model breadth first, up to the first broken invariant.

    :param without: the guard to leave out, if any.
    """
    guards = frozenset(Guard) - {without}
    predicates = tuple(model.invariants.values())

    broken = False

    def transitions(state: State) -> list[Step]:
        nonlocal broken
        # Once an invariant is broken, no state is expanded any more, which ends the search.
        broken = broken or not all(predicate(state) for predicate in predicates)
        return [] if broken else list(model.steps(state, guards))

    protocol = _TypedProtocol(
        name=model.title,
        candidate=False,
        fields=model.initial._fields,
        initial=model.initial,
        transitions=transitions,
        invariants=model.invariants,
    )
    verdict = check_safety(protocol, max_states)
    found = _shortest(verdict["properties"])
    return Exploration(verdict["reachable_states"], verdict["exhaustive"] and not found, found)


def _shortest(properties: dict[str, Any]) -> Counterexample | None:
    """Return the shortest of the counterexamples found."""
    found = [
        Counterexample(name, tuple(step["label"] for step in trace[1:]), trace[-1]["state"])
        for name, result in properties.items()
        if (trace := result["counterexample"])
    ]
    return min(found, key=lambda example: len(example.steps), default=None)
