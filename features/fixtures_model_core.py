"""State machine that drives the real budget, ledger and journal functions without any I/O."""

from hypothesis import HealthCheck, Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)
from returns.result import Failure

from features.fixtures_model_holders import WORKSPACE, Answer, Attempt, Holder
from quinceferry_core.budgets import (
    Allotment,
    BudgetRecord,
    close_allotment,
    remove_pending_top_up,
    resize_allotment,
    retire_allotment,
    top_up,
)
from quinceferry_core.journals import Begin, Settle, Slot, unique_bills

GRANTED = 12
TOP_UP = 5
NAMES = ("router-1", "router-2")
SUCCESSOR = "router-3"

MACHINE_SETTINGS = settings(
    max_examples=800,
    stateful_step_count=25,
    derandomize=True,
    database=None,
    deadline=None,
    phases=(Phase.generate,),
    suppress_health_check=list(HealthCheck),
)
"""The same examples in every run; a failing one is printed as it was found."""

DEFECT_SETTINGS = settings(MACHINE_SETTINGS, max_examples=1500)
"""The search for a defect ends with its first failing example."""

holders = st.sampled_from(NAMES)
tokens = st.integers(1, 6)
operations = st.sampled_from(("first", "second"))


answers = st.sampled_from(Answer)


class BudgetMachine(RuleBasedStateMachine):
    """Two holders spend one workspace's tokens while answers are lost and journals are closed."""

    debits_first = True
    keeps_outage_tokens = True
    compares_sequence = True

    def __init__(self) -> None:
        super().__init__()
        self.record = BudgetRecord(WORKSPACE, granted=GRANTED)
        self.pending: list[BudgetRecord] = []
        self.holders_by_name = {name: Holder(name) for name in NAMES}
        self.granted_operations: set[str] = set()
        self.marked_operations: set[str] = set()
        self.tokens_run = 0
        self.requests = 0

    @initialize(wanted=tokens, outage=st.integers(0, 3))
    def draw_first(self, wanted: int, outage: int) -> None:
        """Let both holders begin with tokens."""
        for name in NAMES:
            self.draw(name, wanted, outage, Answer.COMES)

    @rule(name=holders, wanted=tokens, outage=st.integers(0, 4), answer=answers)
    def draw(self, name: str, wanted: int, outage: int, answer: Answer) -> None:
        """Draw tokens, perhaps without learning whether it took effect."""
        holder = self._read(name)
        if holder is None:
            return
        self._write(holder, holder.ledger.drawn + wanted, outage, answer)

    @rule(name=holders, returned=tokens, answer=answers)
    def give_back(self, name: str, returned: int, answer: Answer) -> None:
        """Return unused tokens, perhaps without learning whether it took effect."""
        holder = self._read(name)
        if holder is None or holder.ledger.available == 0:
            return
        left = holder.ledger.drawn - min(returned, holder.ledger.available)
        if self.debits_first:
            holder.ledger.drawn = left
        self._write(holder, left, holder.ledger.unrecorded, answer)

    @rule(name=holders)
    def read_again(self, name: str) -> None:
        """Learn what became of the last write."""
        self._read(name)

    @precondition(lambda self: self.pending)
    @rule(index=st.integers(0, 3))
    def take_effect(self, index: int) -> None:
        """Let a write whose answer was lost take effect after all."""
        self._replace(self.pending.pop(index % len(self.pending)))

    @rule(name=holders, reserved=st.integers(1, 3), share=st.integers(0, 4))
    def run_recorded(self, name: str, reserved: int, share: int) -> None:
        """Run a request after its Begin has become durable."""
        holder = self.holders_by_name[name]
        request = self._reserve(holder, reserved)
        if request is None:
            return
        if not holder.append(Begin(WORKSPACE, request, 1, "upstream", reserved)):
            holder.ledger.settle(request, 0)
            return
        self._run(holder, request, Attempt(reserved, reserved * share // 4))

    @rule(name=holders, reserved=st.integers(1, 3), share=st.integers(0, 4))
    def run_in_outage(self, name: str, reserved: int, share: int) -> None:
        """Run a request on tokens meant for outages; its Begin stays in memory."""
        holder = self.holders_by_name[name]
        request = self._reserve(holder, reserved)
        if request is None:
            return
        use = holder.ledger.add_unrecorded(reserved)
        if use is None:
            holder.ledger.settle(request, 0)
            return
        self._run(holder, request, Attempt(reserved, reserved * share // 4, use))

    @precondition(lambda self: any(a.use and not a.settled for a in self._attempts()))
    @rule(name=holders)
    def settle_in_outage(self, name: str) -> None:
        """Settle the oldest request whose Begin is still in memory."""
        holder = self.holders_by_name[name]
        for request, attempt in holder.attempts_by_request.items():
            if attempt.use is not None and not attempt.settled:
                attempt.settled = True
                used = holder.ledger.settle(request, attempt.run)
                holder.ledger.lower_unrecorded(attempt.use, used)
                return

    @precondition(lambda self: any(a.use for a in self._attempts()))
    @rule(name=holders)
    def record_late(self, name: str) -> None:
        """Make the entries of an outage durable."""
        holder = self.holders_by_name[name]
        for request, attempt in list(holder.attempts_by_request.items()):
            begin = Begin(WORKSPACE, request, 1, "upstream", attempt.reserved)
            if attempt.use is None or not holder.append(begin):
                continue
            if attempt.settled:
                holder.append(Settle(WORKSPACE, request, attempt.run, True, name))
                del holder.attempts_by_request[request]
            holder.ledger.lower_unrecorded(attempt.use, 0)
            attempt.use = None

    @precondition(lambda self: any(not a.use for a in self._attempts()))
    @rule(name=holders)
    def settle_oldest(self, name: str) -> None:
        """Settle the oldest request whose Begin is durable."""
        holder = self.holders_by_name[name]
        recorded = [key for key, item in holder.attempts_by_request.items() if item.use is None]
        if not recorded or holder.is_closed:
            return
        attempt = holder.attempts_by_request.pop(recorded[0])
        used = holder.ledger.settle(recorded[0], attempt.run)
        holder.append(Settle(WORKSPACE, recorded[0], used, True, name))

    @precondition(lambda self: self.requests > 0)
    @rule()
    def close_journal(self) -> None:
        """Close the first holder's journal; the holder does not know yet."""
        holder = self.holders_by_name[NAMES[0]]
        if not holder.is_closed:
            holder.journal.append(Slot("close", closed_by=SUCCESSOR))

    @precondition(lambda self: self.holders_by_name[NAMES[0]].is_closed)
    @rule()
    def close_allotment(self) -> None:
        """Free what the closed journal proves unspent."""
        name = NAMES[0]
        holder = self.holders_by_name[name]
        held = self.record.allotments_by_incarnation.get(name)
        if held is None:
            return
        state = holder.read()
        kept = state.spent_by_workspace.get(WORKSPACE, 0) + state.reserved_unsettled(WORKSPACE)
        outage = held.outage_tokens if self.keeps_outage_tokens else 0
        self._replace(close_allotment(self.record, name, kept + outage))
        closed = self.record.allotments_by_incarnation[name]
        assert closed.closed and closed.drawn <= held.drawn, "a closed allotment can grow"

    @precondition(lambda self: self.holders_by_name[NAMES[0]].is_closed)
    @rule()
    def retire_closed(self) -> None:
        """Replace a closed allotment by the use that upstreams tell and the outage tokens."""
        name = NAMES[0]
        holder = self.holders_by_name[name]
        held = self.record.allotments_by_incarnation.get(name)
        if held is None or not held.closed:
            return
        state = holder.read()
        unsettled = {key.request for key in state.begins_by_request}
        told = sum(holder.attempts_by_request[request].run for request in unsettled)
        spent = state.spent_by_workspace.get(WORKSPACE, 0) + told
        self._replace(retire_allotment(self.record, name, spent, held.outage_tokens))

    @rule(operation=operations, marks=st.booleans())
    def grant_top_up(self, operation: str, marks: bool) -> None:
        """Repeat an operator's top-up; once it is marked as applied, the record forgets it."""
        if operation in self.marked_operations:
            return
        self.granted_operations.add(operation)
        self._replace(top_up(self.record, operation, TOP_UP))
        if marks:
            self.marked_operations.add(operation)
            self._replace(remove_pending_top_up(self.record, operation))

    @invariant()
    def tokens_run_stay_within_grant(self) -> None:
        """Check what upstreams ran, with every token that could still be drawn."""
        free = max(0, self.record.free)
        assert self.tokens_run <= self.record.granted, "overspent"
        assert free + self._still_usable() + self.tokens_run <= self.record.granted, "usable twice"

    @invariant()
    def record_stays_within_grant(self) -> None:
        """Check the record's own arithmetic."""
        assert self.record.free >= 0
        assert self.record.granted == GRANTED + TOP_UP * len(self.granted_operations)

    @invariant()
    def bills_are_exact(self) -> None:
        """Check that each settled request has one bill, of what it ran."""
        slots = [slot for holder in self.holders_by_name.values() for slot in holder.journal]
        settles = [e for slot in slots for e in slot.entries if isinstance(e, Settle)]
        assert len(unique_bills([*settles, *settles])) == len(settles)

    def _attempts(self) -> list[Attempt]:
        """Return the attempts of all holders that are not settled in a journal."""
        holders = self.holders_by_name.values()
        return [item for holder in holders for item in holder.attempts_by_request.values()]

    def _still_usable(self) -> int:
        """Return the tokens that holders can still run without drawing more."""
        return sum(self._usable_by(holder) for holder in self.holders_by_name.values())

    def _usable_by(self, holder: Holder) -> int:
        """Return the tokens that one holder can still run without drawing more."""
        ledger = holder.ledger
        if not holder.is_closed:
            return max(0, ledger.available)
        return max(0, min(ledger.available, ledger.outage_tokens - ledger.unrecorded))

    def _read(self, name: str) -> Holder | None:
        """Read the record as a holder does; None once it is fenced."""
        holder = self.holders_by_name[name]
        mine = self.record.allotments_by_incarnation.get(name)
        is_retired = mine is None and holder.ledger.drawn > 0
        holder.fenced = holder.fenced or is_retired or (mine is not None and mine.closed)
        if holder.fenced:
            return None
        is_known = mine is not None and mine.sequence == holder.sequence
        if mine is not None and (is_known or not self.compares_sequence):
            holder.ledger.drawn = mine.drawn
            holder.ledger.outage_tokens = mine.outage_tokens
        return holder

    def _write(self, holder: Holder, drawn: int, outage: int, answer: Answer) -> None:
        """Send an allotment by compare-and-swap."""
        ledger = holder.ledger
        outage = max(ledger.unrecorded, min(outage, drawn - ledger.spent))
        wanted = Allotment(drawn, ledger.spent, outage, holder.sequence + 1)
        changed = resize_allotment(self.record, holder.name, wanted)
        if isinstance(changed, Failure):
            return
        holder.sequence += 1
        ledger.outage_tokens = min(ledger.outage_tokens, outage)
        if answer is not Answer.COMES:
            self.pending.append(changed.unwrap())
            if answer is Answer.LOST_AND_READ_AGAIN:
                self._read(holder.name)
            return
        self._replace(changed.unwrap())
        ledger.drawn = drawn
        ledger.outage_tokens = outage

    def _replace(self, record: BudgetRecord) -> None:
        """Store a new version of the record."""
        # Writes under way name the version that this one replaces, so they fail.
        if record != self.record:
            self.pending.clear()
        self.record = record

    def _reserve(self, holder: Holder, reserved: int) -> str | None:
        """Reserve tokens for a new request; return its id, or None if there are too few."""
        if holder.fenced or isinstance(
            holder.ledger.reserve(f"r{self.requests}", reserved), Failure
        ):
            return None
        self.requests += 1
        return f"r{self.requests - 1}"

    def _run(self, holder: Holder, request: str, attempt: Attempt) -> None:
        """Let the upstream run a request."""
        holder.attempts_by_request[request] = attempt
        self.tokens_run += attempt.run


class CreditingLateMachine(BudgetMachine):
    """Returns tokens before it stops spending them."""

    debits_first = False


class ForgettingOutageMachine(BudgetMachine):
    """Frees tokens that were meant for outages."""

    keeps_outage_tokens = False


class IgnoringSequenceMachine(BudgetMachine):
    """Takes over its allotment whichever of its writes the record shows."""

    compares_sequence = False


MACHINES_BY_DEFECT = {
    "credits returned tokens before debiting them": CreditingLateMachine,
    "frees outage tokens of a closed incarnation": ForgettingOutageMachine,
    "ignores the operation sequence": IgnoringSequenceMachine,
}
