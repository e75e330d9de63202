"""Holders of allotments, as the state machine over the budget functions knows them."""

from dataclasses import dataclass, field
from enum import Enum

from quinceferry_core.journals import Begin, JournalState, Settle, Slot
from quinceferry_core.ledgers import Ledger, UnrecordedUse

WORKSPACE = "w"


class Answer(Enum):
    """What a holder learns of its write; without an answer it may read the record again at once."""

    COMES = "comes"
    LOST = "lost"
    LOST_AND_READ_AGAIN = "lost and read again"


@dataclass(slots=True)
class Attempt:
    """A request that was sent; ``use`` is set while its Begin is not durable."""

    reserved: int
    run: int
    use: UnrecordedUse | None = None
    settled: bool = False


@dataclass(slots=True)
class Holder:
    """One incarnation with its ledger, its journal and the requests it has sent."""

    name: str
    ledger: Ledger = field(default_factory=Ledger)
    sequence: int = 0
    journal: list[Slot] = field(default_factory=list)
    attempts_by_request: dict[str, Attempt] = field(default_factory=dict)
    fenced: bool = False

    @property
    def is_closed(self) -> bool:
        """Return whether the journal has its closing slot."""
        return bool(self.journal) and self.journal[-1].closed_by != ""

    def append(self, entry: Begin | Settle) -> bool:
        """Create the next slot; a closing slot fences the holder instead."""
        if self.is_closed:
            self.fenced = True
            return False
        position = len(self.journal)
        self.journal.append(Slot(f"{self.name}/{position}", (entry,), first=position))
        return True

    def read(self) -> JournalState:
        """Read the whole journal."""
        state = JournalState()
        for number, slot in enumerate(self.journal):
            state.apply_slot(number, slot, self.name)
        return state
