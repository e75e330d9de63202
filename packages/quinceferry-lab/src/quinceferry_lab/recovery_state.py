"""State of the recovery model: a holder, its journal and allotment, its requests, a recoverer."""

from enum import Enum, IntEnum
from typing import NamedTuple

from quinceferry_lab.protocol_model import Guard

GRANTED_TOKENS = 4
HELD_TOKENS = 2
OUTAGE_TOKENS = 1
EARLY_REQUEST = 1
"""The idempotent request, which may be dispatched early while the key-value service is out."""
REQUESTS = (0, 1)


class Kind(Enum):
    """Kind of a journal entry."""

    BEGIN = "Begin"
    SETTLE = "Settle"
    CLOSE = "closing slot"


class Entry(NamedTuple):
    """The content of one journal slot."""

    kind: Kind
    request: int = 0
    used: int = 0


CLOSING_SLOT = Entry(Kind.CLOSE)


class Stage(IntEnum):
    """How far the holder has come with a request."""

    NEW = 0
    BEGUN = 1
    SENT = 2
    ANSWERED = 3
    NOT_RUN = 4


class Arrival(Enum):
    """What the upstream knows of a request."""

    NONE = "none"
    ON_THE_WAY = "on the way"
    RUN = "run"
    REFUSED = "refused"


class Holder(Enum):
    """Condition of the holder's process."""

    ALIVE = "alive"
    FENCED = "fenced"
    CRASHED = "crashed"


class Recovery(IntEnum):
    """How far another router has come with closing the holder's incarnation."""

    NONE = 0
    INCARNATION_CLOSED = 1
    JOURNAL_CLOSED = 2
    ALLOTMENT_CLOSED = 3
    RETIRED = 4


class Request(NamedTuple):
    """One request of the holder.

    ``early`` says that it was dispatched before its Begin was committed; ``recovered`` what the
    recoverer found it to have used, -1 if it does not know. ``carried`` and ``recovered_bill`` say
    that its bill is durable in the journal of the new incarnation or of the recoverer.
    """

    stage: Stage = Stage.NEW
    early: bool = False
    arrival: Arrival = Arrival.NONE
    recovered: int = -1
    carried: bool = False
    recovered_bill: bool = False
    bills: int = 0


class RecoveryState(NamedTuple):
    """State of the whole model.

    ``drawn`` and ``present`` are the holder's allotment in the record, ``ledger`` what the holder
    believes it has drawn. ``other_run`` counts tokens that another router has drawn and run.
    ``write_sent`` says that a write of ``queue[0]`` to slot ``next_slot`` may still take effect.
    ``ended`` marks a state in which nothing is left to do.
    """

    checks_fencing: bool
    holder: Holder = Holder.ALIVE
    ledger: int = HELD_TOKENS
    redrawn: bool = False
    requests: tuple[Request, Request] = (Request(), Request())
    queue: tuple[Entry, ...] = ()
    next_slot: int = 0
    write_sent: bool = False
    journal: tuple[Entry, ...] = ()
    recovery: Recovery = Recovery.NONE
    fencing_shown: bool = False
    drawn: int = HELD_TOKENS
    outage: int = OUTAGE_TOKENS
    present: bool = True
    closed: bool = False
    grown_after_close: bool = False
    settled: int = 0
    withheld: int = 0
    other_run: int = 0
    ended: bool = False

    @property
    def free(self) -> int:
        """Return the tokens in no allotment, not settled and not withheld."""
        return GRANTED_TOKENS - self.settled - self.withheld - self.drawn - self.other_run

    @property
    def tokens_run(self) -> int:
        """Return the tokens that upstreams have run."""
        return self.other_run + sum(request.arrival is Arrival.RUN for request in self.requests)

    @property
    def readable(self) -> tuple[Entry, ...]:
        """Return the journal's entries up to its closing slot."""
        if CLOSING_SLOT not in self.journal:
            return self.journal
        return self.journal[: self.journal.index(CLOSING_SLOT)]

    @property
    def spent_in_journal(self) -> int:
        """Return the tokens that the journal says were spent."""
        return sum(entry.used for entry in self.readable if entry.kind is Kind.SETTLE)

    @property
    def unsettled(self) -> tuple[int, ...]:
        """Return the requests whose Begin is in the journal and whose Settle is not."""
        settled = {entry.request for entry in self.readable if entry.kind is Kind.SETTLE}
        begun = (entry.request for entry in self.readable if entry.kind is Kind.BEGIN)
        return tuple(request for request in begun if request not in settled)

    def waits_for_commit(self, request: int) -> bool:
        """Return whether the holder does not know the request's Begin to be committed."""
        return Entry(Kind.BEGIN, request) in self.queue

    def with_request(self, index: int, **fields: object) -> "RecoveryState":
        """Return the state with fields of one request replaced."""
        requests = list(self.requests)
        requests[index] = requests[index]._replace(**fields)
        return self._replace(requests=tuple(requests))

    def queued(self, entry: Entry) -> "RecoveryState":
        """Return the state with an entry queued for the holder's journal."""
        return self._replace(queue=(*self.queue, entry))


def bill(state: RecoveryState, index: int, guards: frozenset[Guard]) -> RecoveryState:
    """Add a bill for a request to the set of bills."""
    known = state.requests[index].bills
    return state.with_request(index, bills=1 if Guard.BILL_KEY in guards else known + 1)


def retire(state: RecoveryState, spent: int, withheld: int) -> RecoveryState:
    """Replace the allotment by what was or may have been spent of it."""
    if not state.present:
        return state
    settled = min(spent, state.drawn)
    unknown = min(withheld, state.drawn - settled)
    return state._replace(
        settled=state.settled + settled,
        withheld=state.withheld + unknown,
        drawn=0,
        present=False,
        closed=True,
    )


def text(entry: Entry) -> str:
    """Return a journal entry in words."""
    return f"{entry.kind.value} {entry.request + 1}"
