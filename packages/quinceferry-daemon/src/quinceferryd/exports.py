"""Exports counters and gauges that the components of a router keep; read at each scrape."""

import dataclasses
from collections.abc import Iterator

from quinceferryd.application import Application
from quinceferryd.connections import ConnectionEnding
from quinceferryd.metrics import Sample, ScrapedMetrics


def export_router_metrics(application: Application, metrics: ScrapedMetrics) -> None:
    """Register the counters and gauges of a router; enumerations bound their label values."""
    blackboard = application.blackboard
    metrics.observe_gauge(
        "quinceferry_router_state",
        "Life-cycle state of the router; its current one shows 1",
        lambda: [(1.0, {"state": blackboard.state.value})],
    )
    metrics.observe_gauge(
        "quinceferry_kv_available",
        "Whether the key-value service answers",
        lambda: [(float(blackboard.kv.available), {})],
    )
    metrics.observe_gauge(
        "quinceferry_configuration_revision",
        "Revision of the configuration in force here",
        lambda: [(float(blackboard.configuration.revision), {})],
    )
    metrics.observe_gauge(
        "quinceferry_members",
        "Routers that hold a lease",
        lambda: [(float(len(blackboard.members_by_incarnation)), {})],
    )
    metrics.observe_gauge(
        "quinceferry_open_requests",
        "Requests in progress",
        lambda: [(float(application.pipeline.open_requests), {})],
    )
    metrics.observe_counter(
        "quinceferry_kv_calls",
        "Calls to the key-value service by purpose",
        lambda: _sample_kv_calls(application),
    )
    metrics.observe_counter(
        "quinceferry_admissions",
        "Requests by class and how admission ended",
        lambda: _sample_admissions(application),
    )
    metrics.observe_gauge(
        "quinceferry_queued_requests",
        "Requests that wait for admission",
        lambda: [(float(len(application.scheduler.admission)), {})],
    )
    metrics.observe_counter(
        "quinceferry_connection_endings",
        "Upstream connections that ended otherwise than with the whole answer",
        lambda: _sample_connection_endings(application),
    )
    metrics.observe_counter(
        "quinceferry_streams",
        "Resumes, re-runs and cancellations of answers, retries denied and chunks that came twice",
        lambda: _sample_streams(application),
    )
    metrics.observe_counter(
        "quinceferry_copies_placed",
        "Journal entries that another router took a copy of",
        lambda: [(float(application.copy_sender.placed_copies), {})],
    )
    metrics.observe_gauge(
        "quinceferry_copies_held_bytes",
        "Copies of other routers' journal entries",
        lambda: [(float(application.copies.held_bytes), {})],
    )
    metrics.observe_counter(
        "quinceferry_journal_commits",
        "Group commits of the journal in use",
        lambda: _sample_journal_commits(application),
    )
    metrics.observe_counter(
        "quinceferry_leases_lost",
        "Times this router found its lease ended",
        lambda: [(float(application.membership.leases_lost), {})],
    )
    metrics.observe_counter(
        "quinceferry_vm_list_failures",
        "Readings of the VM list without an answer",
        lambda: [(float(application.vms.failures), {})],
    )
    metrics.observe_counter(
        "quinceferry_recovery",
        "Closed and retired incarnations, settled requests, and tokens freed and withheld",
        lambda: _sample_recovery(application),
    )


def _sample_kv_calls(application: Application) -> Iterator[Sample]:
    """Yield the number of calls to the key-value service for each purpose and verb."""
    for kind, count in application.kv.calls_by_kind.items():
        yield float(count), {"purpose": kind.purpose, "verb": kind.verb}


def _sample_admissions(application: Application) -> Iterator[Sample]:
    """Yield the number of admitted requests by class, and of refused ones by class and reason."""
    counters = application.scheduler.counters
    for priority, count in counters.admitted.items():
        yield float(count), {"class": priority.name.lower(), "result": "admitted"}
    for (priority, reason), count in counters.refused.items():
        yield float(count), {"class": priority.name.lower(), "result": reason.value}


def _sample_connection_endings(application: Application) -> Iterator[Sample]:
    """Yield the number of interrupted upstream connections for each kind of ending."""
    for ending in ConnectionEnding:
        yield float(application.streams.counters.endings[ending]), {"ending": ending.value}


def _sample_streams(application: Application) -> Iterator[Sample]:
    """Yield the number of resumes, re-runs, cancellations, denied retries and duplicate chunks."""
    counters = application.streams.counters
    for name in ("resumes", "reruns", "cancels", "retries_denied", "duplicate_chunks"):
        yield float(getattr(counters, name)), {"what": name}


def _sample_journal_commits(application: Application) -> list[Sample]:
    """Return the journal commits of the current incarnation; zero while there is none."""
    account = application.accounts.current
    return [(float(account.journal.commits) if account else 0.0, {})]


def _sample_recovery(application: Application) -> Iterator[Sample]:
    """Yield the counters of the recovery."""
    counters = application.recovery.counters
    for field in dataclasses.fields(counters):
        yield float(getattr(counters, field.name)), {"what": field.name}
