"""Records by which routers know each other."""

from dataclasses import dataclass
from datetime import datetime
from enum import Enum

from quinceferry_core.limits import LimitClaim
from quinceferry_core.models import IncarnationId, UpstreamId, VmId

MEMBER_PREFIX = "members/"
"""Keys bound to the lease of a live incarnation."""
INCARNATION_PREFIX = "incarnations/"
"""Keys that outlive the lease, until the incarnation is retired."""
FENCING_KEY = "fencing"
"""Counter from which each incarnation draws its fencing number."""


class MemberState(Enum):
    """Whether a member takes new requests; only one that is serving is named in answers."""

    STARTING = "starting"
    SERVING = "serving"
    STOPPING = "stopping"


@dataclass(slots=True, frozen=True)
class QuarantinedContent:
    """Content of requests that must not be run until a time, named by its fingerprint."""

    content: str
    ends_at: datetime


@dataclass(slots=True, frozen=True)
class Member:
    """Heartbeat record of a live incarnation, stored under its lease.

    ``leaving_upstreams`` are those that this router saw leave; ``limit_claims`` are its parts of
    the workspaces' limits. ``applied_revision`` is that at the last write; the confirmed one stands
    in the incarnation record. ``stop_step`` names the step of a graceful stop in progress, and
    ``open_streams`` counts the requests in progress when the record was written.
    ``quarantined`` is what this router has found to crash engines.
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
    """Lasting record of an incarnation, kept until its allotments and bills are settled.

    Every writer reads the record, replaces its own fields and writes by compare-and-swap. A router
    that finds its record closed or missing has been fenced. The record may be deleted only when
    :func:`absence_proof` gives a proof.

    ``closed_by`` names the incarnation that closed its journal, or is empty while it is open.
    ``copy_holders`` are the only routers that may hold copies of its journal entries.
    ``applied_revision`` is the configuration revision that the router has confirmed.
    ``listening`` says that the router owns its listening address, ``vm_listed`` that it has seen
    its own VM in the VM list since it joined, ``left`` that it stopped and will serve no more.
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
    """Return the key of a lasting incarnation record."""
    return f"{INCARNATION_PREFIX}{incarnation}"


class AbsenceProof(Enum):
    """Why a process can send nothing more under its incarnation."""

    LEFT = "left"
    SUPERSEDED = "superseded"
    VM_GONE = "vm_gone"


@dataclass(slots=True, frozen=True)
class VmAbsence:
    """Unbroken run of readings of the VM list in which one VM was missing.

    Times are in monotonic seconds of the reading router.
    """

    first_read_at: float
    last_read_at: float
    readings: int


MIN_ABSENT_READINGS = 3
"""Readings without a VM that count as its absence."""


def vm_has_terminated(
    record: IncarnationRecord,
    record_seen_at: float,
    absence: VmAbsence | None,
    max_lag_seconds: float,
) -> bool:
    """Tell whether the VM list proves that an incarnation's VM has ended.

    The proof rests on three assumptions about the platform: a reading shows the list as it stood
    at most ``max_lag_seconds`` before; a VM that was listed stays listed until it has stopped
    running; and VM names are not used again. A missing VM alone proves nothing, because it may not
    be listed yet. The incarnation itself records that it saw its VM listed (``vm_listed``); a
    reading taken ``max_lag_seconds`` after that record was seen is newer than the listing.

    :param record: the incarnation's record.
    :param record_seen_at: when this router first read the record with ``vm_listed`` set.
    :param absence: the current run of readings without the VM; None if the last one had it.
    :param max_lag_seconds: the greatest lag of the VM list.
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
    """Return the proof that an incarnation's process serves no more, or None.

    A later incarnation that listens on the same address of the same VM supersedes an earlier one:
    two processes cannot own one listening address, not even while one of them is paused.

    :param record: the incarnation in question.
    :param successors: records of other incarnations.
    :param vm_terminated: the verdict of :func:`vm_has_terminated`.
    """
    if record.left:
        return AbsenceProof.LEFT
    if any(_supersedes(other, record) for other in successors):
        return AbsenceProof.SUPERSEDED
    return AbsenceProof.VM_GONE if vm_terminated else None


def _supersedes(later: IncarnationRecord, earlier: IncarnationRecord) -> bool:
    """Tell whether a later incarnation took over the address of an earlier one."""
    same_address = later.vm == earlier.vm and later.address == earlier.address != ""
    return same_address and later.listening and later.fencing > earlier.fencing
