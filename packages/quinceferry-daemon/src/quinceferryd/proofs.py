"""Reads journals and proves from a closed journal that a request did not run."""

import msgspec

from quinceferry_core.adapters import KvStore
from quinceferry_core.exceptions import KvUnavailableError
from quinceferry_core.journals import (
    JOURNAL_PREFIX,
    SEGMENT_PREFIX,
    JournalState,
    RequestKey,
    Segment,
    Slot,
    slot_number,
)
from quinceferry_core.models import IncarnationId, Ticket
from quinceferry_core.outcomes import NotRun, NotRunProof, Outcome, Unknown


async def read_segments(kv: KvStore, incarnation: IncarnationId) -> JournalState:
    """Read the compacted part of a journal.

    :raises KvUnavailableError: the key-value service did not answer.
    """
    state = JournalState()
    for entry in await kv.list(f"{SEGMENT_PREFIX}{incarnation}/"):
        state.apply_segment(msgspec.json.decode(entry.value, type=Segment))
    return state


async def read_journal(kv: KvStore, incarnation: IncarnationId) -> JournalState:
    """Read a whole journal.

    :raises KvUnavailableError: the key-value service did not answer.
    """
    # Slots are read before segments, so that a slot compacted in between is found in its segment.
    slots = await kv.list(f"{JOURNAL_PREFIX}{incarnation}/")
    state = await read_segments(kv, incarnation)
    for entry in slots:
        slot = msgspec.json.decode(entry.value, type=Slot)
        state.apply_slot(slot_number(entry.key), slot, incarnation)
    return state


class JournalProofs:
    """Determines the outcome of requests whose home router has been closed."""

    def __init__(self, kv: KvStore) -> None:
        self._kv = kv

    async def outcome(self, ticket: Ticket, key: RequestKey) -> Outcome:
        """Return ``NotRun`` if the closed journal of the home router proves it, else ``Unknown``.

        The proof is valid because the home router makes an entry durable before it sends such a
        request, and a closed journal accepts no more entries.
        """
        if not ticket.journaled:
            return Unknown()
        try:
            journal = await read_journal(self._kv, ticket.home)
        except KvUnavailableError:
            return Unknown()
        is_recorded = key in journal.begins_by_request or key in journal.settled_requests
        if journal.closed_by and not is_recorded:
            return NotRun(NotRunProof.JOURNAL_CLOSED_WITHOUT_IT)
        return Unknown()
