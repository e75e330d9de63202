"""Copies of journal entries that are not durable yet, held by other routers during an outage.

A copy lasts only until the key-value service has the entry. It lets another router finish the
journal of a router that died in an outage: with every registered holder's answer, what the dead
router sent without a durable entry is known in full.
"""

from enum import Enum

import msgspec

from quinceferry_core.journals import Entry
from quinceferry_core.models import IncarnationId


class EntryCopy(msgspec.Struct, frozen=True, array_like=True):
    """An entry with its position among all entries of its journal, from zero."""

    position: int
    entry: Entry


class HoldRequest(msgspec.Struct, frozen=True):
    """Asks a router to hold copies of an incarnation's journal entries.

    ``holder`` is the incarnation that is registered to hold them. Entries before
    ``durable_before`` are durable, so that their copies may be dropped.
    """

    holder: IncarnationId
    owner: IncarnationId
    copies: tuple[EntryCopy, ...]
    durable_before: int = 0


class CollectRequest(msgspec.Struct, frozen=True):
    """Asks a registered holder for its copies of a closed incarnation, and to take no more."""

    holder: IncarnationId
    owner: IncarnationId


class HoldReply(Enum):
    """What a holder did with copies; ``not_holder`` when it is not the registered process."""

    HELD = "held"
    SEALED = "sealed"
    FULL = "full"
    NOT_HOLDER = "not_holder"


class CollectReply(msgspec.Struct, frozen=True):
    """All copies that a holder has of one incarnation; it takes no more of them.

    ``is_holder`` is false when the asked process is not the holder that was registered, so that it
    cannot speak for it.
    """

    is_holder: bool
    copies: tuple[EntryCopy, ...] = ()
