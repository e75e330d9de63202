"""Copies of journal entries that are not durable yet, held by other routers during an outage.

A copy is needed only until the entry is written to the key-value store. It lets another router
complete the journal of a router that terminated during an outage: the answers of all registered
holders contain every entry for which that router sent a request.
"""

from enum import Enum

import msgspec

from quinceferry_core.journals import Entry
from quinceferry_core.models import IncarnationId


class EntryCopy(msgspec.Struct, frozen=True, array_like=True):
    """An entry with its position in the journal, counted from zero."""

    position: int
    entry: Entry


class HoldRequest(msgspec.Struct, frozen=True):
    """Requests a router to hold copies of an incarnation's journal entries.

    ``holder`` is the incarnation registered to hold them. Entries before ``durable_before`` are
    durable, so that their copies may be dropped.
    """

    holder: IncarnationId
    owner: IncarnationId
    copies: tuple[EntryCopy, ...]
    durable_before: int = 0


class CollectRequest(msgspec.Struct, frozen=True):
    """Requests a registered holder's copies for a closed incarnation, and seals them."""

    holder: IncarnationId
    owner: IncarnationId


class HoldReply(Enum):
    """Result of a :class:`HoldRequest`.

    ``held``: the copies are stored. ``sealed``: the copies were collected, so that no more are
    accepted. ``full``: the holder's memory limit for copies is reached. ``not_holder``: the process
    is not the registered holder, or has written what it held and is about to terminate.
    """

    HELD = "held"
    SEALED = "sealed"
    FULL = "full"
    NOT_HOLDER = "not_holder"


class CollectReply(msgspec.Struct, frozen=True):
    """All copies that a holder has of one incarnation's entries; it accepts no more of them.

    ``is_holder`` is false when the process is not the registered holder, so that its answer does
    not count as that of the holder.
    """

    is_holder: bool
    copies: tuple[EntryCopy, ...] = ()
