"""Retention of registered entries that are missing from a list after a store outage.

A store outage of a few seconds expires the leases of all entries. The first lists read afterwards
contain only a few of them, although all of the processes are alive and register again within one
lease time. Without the missing entries, nearly every request in that time would be refused. A
process that was partitioned from the store on its own observes a gap of the same length, but there
the missing entries have really been removed.

The list distinguishes the two cases. An outage as long as a lease expires all leases, and every
process that is back has a new registration. An entry that kept its registration proves that the
store was available, so that the missing entries have been removed. A shorter outage expires only
some leases and proves nothing.
"""

import math
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Generic, TypeVar

T = TypeVar("T")


@dataclass(slots=True)
class _AbsentEntry(Generic[T]):
    """A missing entry that is still used, until a time of the monotonic clock."""

    item: T
    expires_at: float


class AbsenceTracker(Generic[T]):
    """Tracks successive versions of a list and decides which missing entries to retain.

    All times are in seconds of the monotonic clock.

    :param lease_seconds: lifetime of a lease without renewal.
    :param renewal_seconds: interval of lease renewals.
    :param grace_seconds: how long a missing entry is retained after the store recovers.
    :param registration_of: returns a value that changes when an entry is registered again after
        its lease expired; zero when it is not known.
    """

    def __init__(
        self,
        lease_seconds: float,
        renewal_seconds: float,
        grace_seconds: float,
        registration_of: Callable[[T], int],
    ) -> None:
        self._lease_seconds = lease_seconds
        # The last renewal may be as old as one interval when an outage begins.
        self._min_outage_seconds = lease_seconds - renewal_seconds
        self._grace_seconds = grace_seconds
        self._registration_of = registration_of
        self._listed_by_id: dict[str, T] = {}
        self._last_answer_at: float | None = None
        # Since then no two answers were so far apart that leases may have expired in between.
        self._contact_since = -math.inf
        self._first_failure_at: float | None = None
        self._last_failure_at: float | None = None
        self._absent_by_id: dict[str, _AbsentEntry[T]] = {}

    @property
    def next_expiry(self) -> float | None:
        """Return when the first retained entry expires; None when none is retained."""
        return min((absence.expires_at for absence in self._absent_by_id.values()), default=None)

    @property
    def is_failing(self) -> bool:
        """Return whether the last call to the store failed.

        No grace period ends before the store answers again.
        """
        return self._last_failure_at is not None

    def record_failure(self, recovered_after: float) -> None:
        """Record a failed call to the store.

        :param recovered_after: a time after which the store recovered at the earliest; for a short
            call its start, even if the failure was detected later.
        """
        if self._first_failure_at is None:
            self._first_failure_at = recovered_after
        self._last_failure_at = recovered_after

    def apply_change(self, key: str, item: T | None, now: float, retained_until: float) -> None:
        """Apply a change of one entry that the store reported.

        :param item: the entry as written; None when it was removed.
        :param retained_until: until when a removed entry is retained, since its lease may have
            expired in an outage that has just ended; a past time when there was no outage.
        """
        self._record_answer(now)
        removed = self._listed_by_id.pop(key, None)
        if item is not None:
            self._absent_by_id.pop(key, None)
            self._listed_by_id[key] = item
        elif removed is not None and retained_until > now:
            self._absent_by_id[key] = _AbsentEntry(removed, retained_until)

    def apply_list(
        self, listed_by_id: Mapping[str, T], requested_at: float, now: float
    ) -> dict[str, T]:
        """Apply a complete list and return the missing entries that are retained.

        :param requested_at: when the list was requested.
        """
        if self._leases_may_have_expired(listed_by_id, now):
            self._extend_grace_periods()
            self._start_grace_periods()
        self._first_failure_at = self._last_failure_at = None
        self._record_answer(requested_at)
        self._listed_by_id = dict(listed_by_id)
        for key in listed_by_id:
            self._absent_by_id.pop(key, None)
        return self.retained(now)

    def adopt(
        self,
        listed_by_id: Mapping[str, T],
        absent_by_id: Mapping[str, tuple[T, float]],
        requested_at: float,
    ) -> None:
        """Replace the state by a list and its missing entries as another process derived them.

        An entry that this process knows to be removed stays removed: the other process may have
        been partitioned from the store alone, and take that for an outage.

        :param absent_by_id: missing entries, each with the time until which it is retained.
        :param requested_at: when that process requested the list; earlier failed calls of this
            process no longer indicate an outage.
        """
        self._record_answer_to_other(requested_at)
        self._listed_by_id = dict(listed_by_id)
        self._absent_by_id = {
            key: _AbsentEntry(item, expires_at)
            for key, (item, expires_at) in absent_by_id.items()
            if self._may_be_registered(key, item, requested_at)
        }

    def _may_be_registered(self, key: str, item: T, requested_at: float) -> bool:
        """Return whether the lease of a missing entry may have expired in an outage.

        If this process has been in contact with the store for as long as an entry is retained, it
        has seen every entry whose lease expired before then, and knows that the others were
        removed.

        :param requested_at: when another process requested the list that lacks it.
        """
        if requested_at - self._contact_since < self._grace_seconds:
            return True
        absence = self._absent_by_id.get(key)
        return absence is not None and self._is_same_registration(absence.item, item)

    def confirm_list(self, requested_at: float) -> None:
        """Record that another process requested the same list at that time and got an answer."""
        if self._last_answer_at is None or requested_at <= self._last_answer_at:
            return
        self._record_answer_to_other(requested_at)

    def _record_answer_to_other(self, requested_at: float) -> None:
        """Record that the store answered another process, and clear earlier own failures."""
        self._record_answer(requested_at)
        if self._last_failure_at is not None and self._last_failure_at <= requested_at:
            self._first_failure_at = self._last_failure_at = None

    def _record_answer(self, requested_at: float) -> None:
        """Record that the store answered this process or another one."""
        last_answer_at = self._last_answer_at
        if last_answer_at is None or requested_at - last_answer_at >= self._min_outage_seconds:
            self._contact_since = requested_at
        self._last_answer_at = max(requested_at, last_answer_at or requested_at)

    @property
    def absent_by_id(self) -> dict[str, tuple[T, float]]:
        """Return the retained missing entries, each with the time until which it is retained."""
        return {key: (item.item, item.expires_at) for key, item in self._absent_by_id.items()}

    @property
    def listed_by_id(self) -> Mapping[str, T]:
        """Return the entries of the latest list."""
        return self._listed_by_id

    def retained(self, now: float) -> dict[str, T]:
        """Return the missing entries that are still retained, and remove the expired ones."""
        self._absent_by_id = {
            key: absence for key, absence in self._absent_by_id.items() if absence.expires_at > now
        }
        return {key: absence.item for key, absence in self._absent_by_id.items()}

    def _leases_may_have_expired(self, listed_by_id: Mapping[str, T], now: float) -> bool:
        """Return whether leases may have expired in an outage since the last answer."""
        # Failed calls alone do not prove an outage, since only the path from this process to the
        # store may have failed. When they counted as an outage, 177 requests went to upstreams that
        # had left (161 of them failed) in six simulated days with seven gateways partitioned for
        # 4 to 7 s; with this rule none does.
        if self._last_answer_at is None or self._last_failure_at is None:
            return False
        if now - self._last_answer_at < self._min_outage_seconds:
            return False
        if self._last_failure_at - self._first_failure_at < self._lease_seconds:
            return True
        return not any(
            self._kept_lease(item, listed_by_id[key])
            for key, item in self._listed_by_id.items()
            if key in listed_by_id
        )

    def _kept_lease(self, before: T, now: T) -> bool:
        """Return whether an entry provably kept its lease from one list to the next."""
        return bool(self._registration_of(before)) and self._is_same_registration(before, now)

    def _is_same_registration(self, before: T, now: T) -> bool:
        """Return whether two versions of an entry have the same registration."""
        return self._registration_of(before) == self._registration_of(now)

    def _extend_grace_periods(self) -> None:
        """Extend each grace period by the outage, in which no process could register."""
        for absence in self._absent_by_id.values():
            absence.expires_at += self._last_failure_at - self._last_answer_at

    def _start_grace_periods(self) -> None:
        """Start the grace period of every entry of the latest list.

        Each entry has its own period, so that a later failure does not restart it.
        """
        expires_at = self._last_failure_at + self._grace_seconds
        for key, item in self._listed_by_id.items():
            self._absent_by_id[key] = _AbsentEntry(item, expires_at)
