"""The operators' configuration at one revision, and the conflict check for the next change.

An object is a workspace, a model or an upstream. A change conflicts only with changes of the same
object that the operator has not seen.
"""

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum

import msgspec
from returns.result import Failure, Result, Success

from quinceferry_core.changes import (
    ConfigurationChange,
    LogEntry,
    apply_change,
    is_removal,
    object_key,
)
from quinceferry_core.models import Configuration, IncarnationId, OperationId, VmId

MAX_RETAINED_OPERATIONS = 4096
"""Number of latest operations for which repetitions are recognised and removals retained."""


class ConflictReason(Enum):
    """Why a change was not appended to the log."""

    CHANGED = "changed"
    OPERATION_REUSED = "operation_reused"
    REVISION_UNKNOWN = "revision_unknown"
    REFUSED = "refused"


@dataclass(slots=True, frozen=True)
class ConfigurationConflict:
    """Why a change was rejected.

    ``revision`` is the current revision, ``changed_by`` lists the operations on the same object
    that the operator had not seen.
    """

    reason: ConflictReason
    revision: int
    detail: str
    changed_by: tuple[OperationId, ...] = ()


class ChangeState(Enum):
    """Progress of a change."""

    PROPOSED = "proposed"
    ACCEPTED = "accepted"


class AwaitedReason(Enum):
    """Why a change is not accepted while a router has not applied it."""

    NOT_CONFIRMED = "not_confirmed"
    LEASE_LAPSED = "lease_lapsed"
    CLOSED_NOT_PROVEN_GONE = "closed_not_proven_gone"


@dataclass(slots=True, frozen=True)
class AwaitedRouter:
    """A router that may still serve an older revision."""

    incarnation: IncarnationId
    vm: VmId
    reason: AwaitedReason
    applied_revision: int


@dataclass(slots=True, frozen=True)
class ChangeStatus:
    """State of one revision; accepted means that every router that may serve has applied it."""

    revision: int
    state: ChangeState
    awaited: tuple[AwaitedRouter, ...] = ()


ChangeBuilder = Callable[[Configuration], Result[ConfigurationChange, str]]
"""Builds a change from the newest configuration, or returns why it is not possible."""


class ObjectRevision(msgspec.Struct, frozen=True):
    """Revision of the last change of one object, present or removed."""

    revision: int
    removed: bool = False


class AppliedOperation(msgspec.Struct, frozen=True):
    """The log entry of one operation id."""

    revision: int
    object_key: str
    fingerprint: str


@dataclass(slots=True)
class ConfigurationState:
    """Configuration at one revision, with the history needed to check the next change."""

    configuration: Configuration = field(default_factory=Configuration)
    objects_by_key: dict[str, ObjectRevision] = field(default_factory=dict)
    operations_by_id: dict[OperationId, AppliedOperation] = field(default_factory=dict)

    @property
    def revision(self) -> int:
        """Return the revision of the last entry applied."""
        return self.configuration.revision

    def apply(self, entry: LogEntry) -> bool:
        """Apply the entry that follows the current revision.

        :param entry: any entry of the log; only the next one has an effect.
        :return: whether it was the next one.
        """
        if entry.revision != self.revision + 1:
            return False
        key = object_key(entry.change)
        self.configuration = apply_change(self.configuration, entry.change, entry.revision)
        self.objects_by_key[key] = ObjectRevision(entry.revision, is_removal(entry.change))
        operation = AppliedOperation(entry.revision, key, entry.fingerprint)
        self.operations_by_id[entry.operation_id] = operation
        self._evict_oldest_operation()
        return True

    def previous_result(
        self, operation_id: OperationId, fingerprint: str
    ) -> Result[int, ConfigurationConflict] | None:
        """Return the result of an operation that was already applied, or None if it is new.

        :return: the revision that it created, or a conflict when the id is reused for another
            request.
        """
        operation = self.operations_by_id.get(operation_id)
        if operation is None:
            return None
        if operation.fingerprint != fingerprint:
            detail = f"operation {operation_id} was used for another request"
            return Failure(self._conflict(ConflictReason.OPERATION_REUSED, detail, (operation_id,)))
        return Success(operation.revision)

    def find_conflict(
        self, change: ConfigurationChange, expected_revision: int
    ) -> ConfigurationConflict | None:
        """Return why a change conflicts with the current revision, or None.

        :param expected_revision: newest revision of the configuration or of the object that the
            operator has seen; zero for a new object.
        """
        if expected_revision > self.revision:
            detail = f"revision {expected_revision} does not exist yet"
            return self._conflict(ConflictReason.REVISION_UNKNOWN, detail)
        if 0 < expected_revision < self._oldest_retained_revision():
            detail = f"revision {expected_revision} is too old to compare with"
            return self._conflict(ConflictReason.REVISION_UNKNOWN, detail)
        key = object_key(change)
        last = self.objects_by_key.get(key)
        is_new = last is None or (last.removed and expected_revision == 0)
        if is_removal(change) and (last is None or last.removed):
            return self._conflict(ConflictReason.REFUSED, f"{key} does not exist")
        if is_new or last.revision <= expected_revision:
            return None
        changed_by = self._operations_changing(key, expected_revision)
        detail = f"{key} was changed at revision {last.revision}"
        return self._conflict(ConflictReason.CHANGED, detail, changed_by)

    def rejection(self, detail: str) -> ConfigurationConflict:
        """Return the conflict for a request that the current configuration does not allow."""
        return self._conflict(ConflictReason.REFUSED, detail)

    def _operations_changing(self, key: str, after: int) -> tuple[OperationId, ...]:
        return tuple(
            operation_id
            for operation_id, operation in self.operations_by_id.items()
            if operation.object_key == key and operation.revision > after
        )

    def _oldest_retained_revision(self) -> int:
        """Return the oldest revision whose removals are still retained; zero when all are."""
        if len(self.operations_by_id) < MAX_RETAINED_OPERATIONS:
            return 0
        return next(iter(self.operations_by_id.values())).revision - 1

    def _conflict(
        self, reason: ConflictReason, detail: str, changed_by: tuple[OperationId, ...] = ()
    ) -> ConfigurationConflict:
        return ConfigurationConflict(reason, self.revision, detail, changed_by)

    def _evict_oldest_operation(self) -> None:
        """Remove the oldest operation above the limit, in the order of the log."""
        if len(self.operations_by_id) <= MAX_RETAINED_OPERATIONS:
            return
        evicted = self.operations_by_id.pop(next(iter(self.operations_by_id)))
        last = self.objects_by_key.get(evicted.object_key)
        if last is not None and last.removed and last.revision == evicted.revision:
            del self.objects_by_key[evicted.object_key]
