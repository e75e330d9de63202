"""Membership records, and proofs that a member has terminated."""

from dataclasses import dataclass
from datetime import datetime
from enum import Enum

from quinceferry_core.limits import LimitClaim
from quinceferry_core.models import IncarnationId, UpstreamId, VmId

MEMBER_PREFIX = "members/"
"""Prefix of keys bound to the lease of a live incarnation."""
INCARNATION_PREFIX = "incarnations/"
"""Prefix of keys that outlive the lease, until the incarnation is retired."""
FENCING_KEY = "fencing"
"""Key of the counter from which each incarnation takes its fencing number."""


class MemberState(Enum):
    """State of a member; only a serving member accepts new requests and is in address answers."""

    STARTING = "starting"
    SERVING = "serving"
    STOPPING = "stopping"


@dataclass(slots=True, frozen=True)
class QuarantinedContent:
    """Fingerprint of request content that must not run until ``ends_at``."""

    content: str
    ends_at: datetime


@dataclass(slots=True, frozen=True)
class Member:
    """Heartbeat record of a live incarnation, stored under its lease.

    ``leaving_upstreams`` are the upstreams that this router observed leaving; ``limit_claims`` are
    its claims on the workspaces' limits. ``applied_revision`` is the one at the last write; the
    confirmed one is in the incarnation record. ``stop_step`` names the current step of a graceful
    stop, and ``open_streams`` counts the requests in progress when the record was written.
    ``quarantined`` lists the content that this router has found to crash engines.
    """

    incarnation: IncarnationId
    vm: VmId
    zone: str
    address: str
    fencing: int
    state: MemberState = MemberState.SERVING
    applied_revision: int = 0
    leaving_upstreams: tuple[UpstreamId, ...] = ()
    limit_claims: tuple[LimitClaim, ...] = ()
    stop_step: str = ""
    open_streams: int = 0
    quarantined: tuple[QuarantinedContent, ...] = ()


@dataclass(slots=True, frozen=True)
class IncarnationRecord:
    """Durable record of an incarnation, kept until its allotments and bills are settled.

    Every writer reads the record, replaces its own fields and writes by compare-and-swap. A router
    that finds its record closed or missing has been fenced. The record may be deleted only when
    :func:`absence_proof` returns a proof.

    ``closed_by`` is the incarnation that closed its journal; empty while the journal is open.
    ``copy_holders`` are the only routers that may hold copies of its journal entries.
    ``applied_revision`` is the configuration revision that the router has confirmed. ``listening``
    is set once the router owns its listening address, ``vm_listed`` once it has observed its own VM
    in the VM list since it joined, ``left`` once it has stopped and will not serve any more.
    """

    incarnation: IncarnationId
    vm: VmId
    zone: str
    fencing: int
    closed_by: IncarnationId = IncarnationId("")
    address: str = ""
    copy_holders: tuple[IncarnationId, ...] = ()
    applied_revision: int = 0
    listening: bool = False
    vm_listed: bool = False
    left: bool = False


def member_key(incarnation: IncarnationId) -> str:
    """Return the key of a heartbeat record."""
    return f"{MEMBER_PREFIX}{incarnation}"


def incarnation_key(incarnation: IncarnationId) -> str:
    """Return the key of a durable incarnation record."""
    return f"{INCARNATION_PREFIX}{incarnation}"


class AbsenceProof(Enum):
    """Why a process cannot send anything more under its incarnation."""

    LEFT = "left"
    SUPERSEDED = "superseded"
    VM_GONE = "vm_gone"


@dataclass(slots=True, frozen=True)
class VmAbsence:
    """Consecutive readings of the VM list in which one VM was missing.

    Times are in seconds of the reading router's monotonic clock.
    """

    first_read_at: float
    last_read_at: float
    readings: int


MIN_ABSENT_READINGS = 3
"""Number of consecutive readings without a VM that count as its absence."""


def vm_has_terminated(
    record: IncarnationRecord,
    record_seen_at: float,
    absence: VmAbsence | None,
    max_lag_seconds: float,
) -> bool:
    """Return whether the VM list proves that an incarnation's VM has terminated.

    The proof relies on three assumptions about the platform: a reading returns the list as it was
    at most ``max_lag_seconds`` earlier; a listed VM stays listed until it has stopped running; and
    VM names are not reused. A missing VM alone proves nothing, because it may not be listed yet.
    The incarnation itself records that it has observed its VM in the list (``vm_listed``); a
    reading taken ``max_lag_seconds`` after that record was read is newer than this observation.

    :param record_seen_at: when this router first read the record with ``vm_listed`` set.
    :param absence: the latest consecutive readings without the VM; None if the last one had it.
    :param max_lag_seconds: maximum lag of the VM list.
    """
    if not record.vm_listed or absence is None:
        return False
    if absence.readings < MIN_ABSENT_READINGS:
        return False
    conclusive_at = max(record_seen_at, absence.first_read_at) + max_lag_seconds
    return absence.last_read_at >= conclusive_at


def absence_proof(
    record: IncarnationRecord, successors: "tuple[IncarnationRecord, ...]", vm_terminated: bool
) -> AbsenceProof | None:
    """Return the proof that an incarnation's process no longer serves, or None.

    A later incarnation that listens on the same address of the same VM supersedes an earlier one:
    two processes cannot own one listening address, not even while one of them is paused.

    :param successors: records of other incarnations.
    :param vm_terminated: the result of :func:`vm_has_terminated`.
    """
    if record.left:
        return AbsenceProof.LEFT
    if any(_supersedes(other, record) for other in successors):
        return AbsenceProof.SUPERSEDED
    return AbsenceProof.VM_GONE if vm_terminated else None


def _supersedes(later: IncarnationRecord, earlier: IncarnationRecord) -> bool:
    """Return whether a later incarnation took over the address of an earlier one."""
    same_address = later.vm == earlier.vm and later.address == earlier.address != ""
    return same_address and later.listening and later.fencing > earlier.fencing
