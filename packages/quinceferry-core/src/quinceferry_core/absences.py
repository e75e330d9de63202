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

What other processes know decides as well. An answer to one of them shows that the store was
available then, so a gap in the contact of this process with the store may be none. An entry can be
retained only for as long after the end of the last gap as live processes need to register again.
"""

import math
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Generic, TypeVar

from quinceferry_core.contacts import ContactHistory
from quinceferry_core.eviction import evict_oldest

T = TypeVar("T")

MAX_REMOVED = 1_024
"""Most removed entries that are remembered; the earliest is forgotten first."""


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
    :param max_delay_seconds: how long after the last failed call the store is assumed to recover at
        most, if the next call is answered.
    :param registration_of: returns a value that changes when an entry is registered again after
        its lease expired; zero when it is not known.
    :param is_leaving: returns whether an entry states that its process is about to leave. Such an
        entry is not retained once it is missing, not even as a peer knows it from before.
    """

    def __init__(
        self,
        lease_seconds: float,
        renewal_seconds: float,
        grace_seconds: float,
        max_delay_seconds: float,
        registration_of: Callable[[T], int],
        is_leaving: Callable[[T], bool] = lambda item: False,
    ) -> None:
        self._lease_seconds = lease_seconds
        # The last renewal may be as old as one interval when an outage begins.
        self._min_outage_seconds = lease_seconds - renewal_seconds
        self._contacts = ContactHistory(self._min_outage_seconds)
        self._grace_seconds = grace_seconds
        self._max_delay_seconds = max_delay_seconds
        # When the store recovered before the latest span of contact, as own calls have shown.
        self._recovered_at = math.inf
        self._registration_of = registration_of
        self._is_leaving = is_leaving
        self._listed_by_id: dict[str, T] = {}
        self._listed_at: float | None = None
        self._first_failure_at: float | None = None
        self._last_failure_at: float | None = None
        self._is_partition_proven = False
        self._absent_by_id: dict[str, _AbsentEntry[T]] = {}
        self._removed_registrations_by_id: dict[str, int] = {}

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

    @property
    def is_partition_proven(self) -> bool:
        """Return whether the last failed calls are known not to be due to an outage of the store.

        Leases that expire soon after it are those of processes that have terminated.
        """
        return self._is_partition_proven

    def record_failure(self, recovered_after: float) -> None:
        """Record a failed call to the store.

        :param recovered_after: a time after which the store recovered at the earliest; for a short
            call its start, even if the failure was detected later.
        """
        if self._first_failure_at is None:
            self._first_failure_at = recovered_after
        self._last_failure_at = recovered_after
        self._is_partition_proven = False

    def apply_change(self, key: str, item: T | None, now: float, retained_until: float) -> None:
        """Apply a change of one entry that the store reported.

        :param item: the entry as written; None when it was removed.
        :param retained_until: until when a removed entry is retained, since its lease may have
            expired in an outage that has just ended; a past time when there was no outage.
        """
        self.record_contact(now, now)
        self._listed_at = now
        removed = self._listed_by_id.pop(key, None)
        if item is not None:
            self._absent_by_id.pop(key, None)
            self._listed_by_id[key] = item
        elif removed is not None and retained_until > now:
            self._absent_by_id[key] = _AbsentEntry(removed, retained_until)
        elif removed is not None:
            self._record_removed(key, removed)

    def apply_list(
        self,
        listed_by_id: Mapping[str, T],
        requested_at: float,
        now: float,
        calls_often: bool = True,
    ) -> dict[str, T]:
        """Apply a complete list and return the missing entries that are retained.

        :param requested_at: when the list was requested.
        :param calls_often: whether this process calls the store often enough in an outage that its
            last failed call shows when the outage ended, whatever others conclude.
        """
        recovered_at = math.inf
        self.record_contact(requested_at, requested_at)
        if self._leases_may_have_expired(listed_by_id, requested_at):
            recovered_at = min(self.contact_since, self._last_failure_at + self._max_delay_seconds)
            self._extend_grace_periods()
            self._start_grace_periods(recovered_at)
        self._first_failure_at = self._last_failure_at = None
        if calls_often:
            self._recovered_at = min(self._recovered_at, recovered_at)
        self._replace_listed(listed_by_id, requested_at)
        return self.retained(now)

    def adopt(
        self,
        listed_by_id: Mapping[str, T],
        absent_by_id: Mapping[str, tuple[T, float]],
        requested_at: float,
        contact_since: float,
    ) -> None:
        """Replace the list by one of another process, and retain what either of them retains.

        The other process may have been partitioned from the store alone, and take that for an
        outage. So its missing entries are retained only if no contact that either process knows
        of rules that out, and if this process does not know that they were removed. That it
        retains none proves no removal, since it may have just started.

        :param absent_by_id: missing entries, each with the time until which it is retained.
        :param requested_at: when that process requested the list; earlier failed calls of this
            process no longer indicate an outage.
        :param contact_since: since when that process knows that the store has answered.
        """
        self._record_answers_to_other(contact_since, requested_at)
        self._replace_listed(listed_by_id, requested_at)
        for key, (item, expires_at) in absent_by_id.items():
            if key in listed_by_id or self._is_removed(key, item):
                continue
            known = self._absent_by_id.get(key)
            if known is None or known.expires_at < expires_at:
                self._absent_by_id[key] = _AbsentEntry(item, expires_at)
        self._limit_grace_periods()

    def confirm_list(self, requested_at: float) -> None:
        """Record that another process requested the same list at that time and got an answer."""
        if self._listed_at is not None and requested_at > self._listed_at:
            self._record_answers_to_other(requested_at, requested_at)
            self._listed_at = requested_at

    def record_contact(self, since: float, until: float) -> None:
        """Record that the store answered this process or another one in a span of time."""
        before = self.contact_since
        self._contacts.record(since, until)
        if before is None or self.contact_since > before:
            self._recovered_at = math.inf
        self._limit_grace_periods()

    def _record_answers_to_other(self, since: float, until: float) -> None:
        """Record that the store answered another process, and clear earlier own failures."""
        self.record_contact(since, until)
        if self._last_failure_at is not None and self._last_failure_at <= until:
            self._first_failure_at = self._last_failure_at = None

    def _replace_listed(self, listed_by_id: Mapping[str, T], requested_at: float) -> None:
        """Replace the list, and remember what was removed from it while the store answered."""
        if self._listed_at is not None and self._contacts.includes(self._listed_at):
            for key in self._listed_by_id.keys() - listed_by_id.keys():
                self._record_removed(key, self._listed_by_id[key])
        for key, item in listed_by_id.items():
            if self._is_leaving(item):
                self._record_removed(key, item)
        for key in listed_by_id:
            self._absent_by_id.pop(key, None)
        self._listed_by_id = dict(listed_by_id)
        self._listed_at = requested_at

    def _record_removed(self, key: str, item: T) -> None:
        """Remember that an entry must not be retained when it is missing."""
        self._removed_registrations_by_id.pop(key, None)
        self._removed_registrations_by_id[key] = self._registration_of(item)
        evict_oldest(self._removed_registrations_by_id, MAX_REMOVED)

    def _is_removed(self, key: str, item: T) -> bool:
        """Return whether an entry is known to be removed, under the registration that it has."""
        registration = self._removed_registrations_by_id.get(key)
        return registration is not None and registration == self._registration_of(item)

    @property
    def contact_since(self) -> float | None:
        """Return since when the store is known to have answered, None before the first answer."""
        latest = self._contacts.latest
        return None if latest is None else latest.since

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

    def _leases_may_have_expired(self, listed_by_id: Mapping[str, T], requested_at: float) -> bool:
        """Return whether leases may have expired in an outage since the last list.

        An entry that kept its lease is recorded as contact in all that time.
        """
        # Failed calls alone do not prove an outage, since only the path from this process to the
        # store may have failed. When they counted as an outage, 177 requests went to upstreams that
        # had left (161 of them failed) in six simulated days with seven gateways partitioned for
        # 4 to 7 s; with this rule none does.
        if self._listed_at is None or self._last_failure_at is None:
            return False
        if self._contacts.includes(self._listed_at):
            return False
        if self._last_failure_at - self._first_failure_at < self._lease_seconds:
            return True
        kept_any = any(
            self._kept_lease(item, listed_by_id[key])
            for key, item in self._listed_by_id.items()
            if key in listed_by_id
        )
        if kept_any:
            self.record_contact(self._listed_at, requested_at)
        self._is_partition_proven = kept_any
        return not kept_any

    def _kept_lease(self, before: T, now: T) -> bool:
        """Return whether an entry provably kept its lease from one list to the next."""
        registration = self._registration_of(before)
        return bool(registration) and registration == self._registration_of(now)

    def _extend_grace_periods(self) -> None:
        """Extend each grace period by the outage, in which no process could register."""
        seconds = self._last_failure_at - self._listed_at
        for absence in self._absent_by_id.values():
            absence.expires_at += seconds

    def _limit_grace_periods(self) -> None:
        """End each grace period in time after the end of the last outage that is possible.

        Contact that has lasted longer than that proves that all missing entries were removed.
        """
        latest_end = min(self.contact_since, self._recovered_at) + self._grace_seconds
        for absence in self._absent_by_id.values():
            absence.expires_at = min(absence.expires_at, latest_end)

    def _start_grace_periods(self, recovered_at: float) -> None:
        """Start the grace period of every entry of the latest list.

        Each entry has its own period, so that a later failure does not restart it.
        """
        expires_at = recovered_at + self._grace_seconds
        for key, item in self._listed_by_id.items():
            if not self._is_removed(key, item):
                self._absent_by_id[key] = _AbsentEntry(item, expires_at)
