"""Counters, gauges and histograms of a router in the Prometheus format.

The number of series is bounded: :mod:`quinceferryd.workspace_labels` limits the workspaces, and
enumerations limit all other labels. The caller of this module samples the times between tokens;
they are not recorded for every token.
"""

from collections.abc import Callable, Iterable, Sequence
from typing import Protocol

from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.metrics import CallbackOptions, Histogram, Meter, Observation
from opentelemetry.sdk.metrics import AlwaysOffExemplarFilter, MeterProvider
from opentelemetry.sdk.resources import Resource
from prometheus_client import CollectorRegistry, ProcessCollector, generate_latest

from quinceferry_core.models import Priority, Usage, WorkspaceId
from quinceferry_core.outcomes import RefusalReason
from quinceferryd.workspace_labels import WorkspaceLabels

FIRST_TOKEN_BOUNDS_SECONDS = (0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0, 30.0)
"""Upper bounds of the histogram's buckets."""
BETWEEN_TOKENS_BOUNDS_SECONDS = (0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 5.0)
"""Upper bounds of the histogram's buckets."""
QUEUE_WAIT_BOUNDS_SECONDS = (0.005, 0.025, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0)
"""Upper bounds of the histogram's buckets."""

_UNAUTHENTICATED_WORKSPACE = "none"

Sample = tuple[float, dict[str, str]]
"""Value and labels of one series."""


class Metrics(Protocol):
    """Records counts and latencies of requests."""

    def count_authenticated_request(self, workspace: WorkspaceId) -> None:
        """Count a request that passed authentication."""

    def count_finished_request(
        self, workspace: WorkspaceId, priority: Priority, outcome: str, usage: Usage | None
    ) -> None:
        """Count a submitted request by its outcome, and its tokens.

        :param outcome: label value of the outcome.
        :param usage: tokens of the request; None when they are not known.
        """

    def count_refusal(self, workspace: WorkspaceId | None, reason: RefusalReason) -> None:
        """Count a refusal or failure.

        :param workspace: the workspace; None when the request was not authenticated.
        :param reason: the reason.
        """

    def count_limited_connection(self, effect: str) -> None:
        """Count a connection that a limit on clients affected.

        :param effect: what became of it, such as ``idle``, ``late`` or ``oversized``.
        """

    def record_first_token(
        self, workspace: WorkspaceId, priority: Priority, seconds: float
    ) -> None:
        """Record the time from the start of a request to its first token."""

    def record_time_between_tokens(
        self, workspace: WorkspaceId, priority: Priority, seconds: float
    ) -> None:
        """Record a sampled time between two chunks of an answer."""

    def record_queue_wait(self, workspace: WorkspaceId, priority: Priority, seconds: float) -> None:
        """Record the time a request waited for admission."""

    def exposition(self) -> bytes:
        """Return all series in the Prometheus text format."""


class NullMetrics:
    """Records nothing."""

    def count_authenticated_request(self, workspace: WorkspaceId) -> None:
        """Record nothing."""

    def count_finished_request(
        self, workspace: WorkspaceId, priority: Priority, outcome: str, usage: Usage | None
    ) -> None:
        """Record nothing."""

    def count_refusal(self, workspace: WorkspaceId | None, reason: RefusalReason) -> None:
        """Record nothing."""

    def count_limited_connection(self, effect: str) -> None:
        """Record nothing."""

    def record_first_token(
        self, workspace: WorkspaceId, priority: Priority, seconds: float
    ) -> None:
        """Record nothing."""

    def record_time_between_tokens(
        self, workspace: WorkspaceId, priority: Priority, seconds: float
    ) -> None:
        """Record nothing."""

    def record_queue_wait(self, workspace: WorkspaceId, priority: Priority, seconds: float) -> None:
        """Record nothing."""

    def exposition(self) -> bytes:
        """Return an empty exposition."""
        return b""


class ScrapedMetrics:
    """Metrics in OpenTelemetry instruments that Prometheus scrapes.

    :param labels: chooses the workspaces that have series of their own.
    """

    def __init__(self, labels: WorkspaceLabels) -> None:
        self._labels = labels
        self._registry = CollectorRegistry()
        ProcessCollector(registry=self._registry)
        reader = PrometheusMetricReader(
            disable_target_info=True, scope_info_enabled=False, registry=self._registry
        )
        self._provider = MeterProvider(
            metric_readers=[reader],
            resource=Resource.get_empty(),
            exemplar_filter=AlwaysOffExemplarFilter(),
            shutdown_on_exit=False,
        )
        self._meter = self._provider.get_meter("quinceferryd")
        self._requests = self._meter.create_counter(
            "quinceferry_requests", description="Submitted requests by what became of them"
        )
        self._refusals = self._meter.create_counter(
            "quinceferry_refusals", description="Refusals and failures by reason"
        )
        self._tokens = self._meter.create_counter(
            "quinceferry_tokens", description="Tokens of answered requests"
        )
        self._limited_connections = self._meter.create_counter(
            "quinceferry_limited_connections",
            description="Connections closed or refused for a limit on clients, by effect",
        )
        self._first_token = _create_histogram(
            self._meter,
            "quinceferry_first_token",
            "Request to first token",
            FIRST_TOKEN_BOUNDS_SECONDS,
        )
        self._between_tokens = _create_histogram(
            self._meter,
            "quinceferry_between_tokens",
            "Time between two pieces of an answer, sampled",
            BETWEEN_TOKENS_BOUNDS_SECONDS,
        )
        self._queue_wait = _create_histogram(
            self._meter,
            "quinceferry_queue_wait",
            "Time waited for admission",
            QUEUE_WAIT_BOUNDS_SECONDS,
        )

    def count_authenticated_request(self, workspace: WorkspaceId) -> None:
        """Count a request that passed authentication."""
        self._labels.count_request(workspace)

    def count_finished_request(
        self, workspace: WorkspaceId, priority: Priority, outcome: str, usage: Usage | None
    ) -> None:
        """Count a submitted request by its outcome, and its tokens.

        :param outcome: label value of the outcome.
        :param usage: tokens of the request; None when they are not known.
        """
        labels = self._workspace_and_class_labels(workspace, priority)
        self._requests.add(1, {**labels, "outcome": outcome})
        if usage is not None:
            name = labels["workspace"]
            self._tokens.add(usage.prompt_tokens, {"workspace": name, "kind": "prompt"})
            self._tokens.add(usage.output_tokens, {"workspace": name, "kind": "output"})

    def count_refusal(self, workspace: WorkspaceId | None, reason: RefusalReason) -> None:
        """Count a refusal or failure.

        :param workspace: the workspace; None when the request was not authenticated.
        :param reason: the reason.
        """
        name = _UNAUTHENTICATED_WORKSPACE if workspace is None else self._labels.label(workspace)
        self._refusals.add(1, {"workspace": name, "reason": reason.value})

    def count_limited_connection(self, effect: str) -> None:
        """Count a connection that a limit on clients affected."""
        self._limited_connections.add(1, {"effect": effect})

    def record_first_token(
        self, workspace: WorkspaceId, priority: Priority, seconds: float
    ) -> None:
        """Record the time from the start of a request to its first token."""
        self._first_token.record(seconds, self._workspace_and_class_labels(workspace, priority))

    def record_time_between_tokens(
        self, workspace: WorkspaceId, priority: Priority, seconds: float
    ) -> None:
        """Record a sampled time between two chunks of an answer."""
        self._between_tokens.record(seconds, self._workspace_and_class_labels(workspace, priority))

    def record_queue_wait(self, workspace: WorkspaceId, priority: Priority, seconds: float) -> None:
        """Record the time a request waited for admission."""
        self._queue_wait.record(seconds, self._workspace_and_class_labels(workspace, priority))

    def observe_counter(
        self, name: str, description: str, read_samples: Callable[[], Iterable[Sample]]
    ) -> None:
        """Export a counter whose values are read at each scrape.

        :param read_samples: returns the value and labels of each series; the number of label
            values must be bounded.
        """
        self._meter.create_observable_counter(
            name, callbacks=[_create_callback(read_samples)], description=description
        )

    def observe_gauge(
        self, name: str, description: str, read_samples: Callable[[], Iterable[Sample]]
    ) -> None:
        """Export a gauge whose values are read at each scrape; see :meth:`observe_counter`."""
        self._meter.create_observable_gauge(
            name, callbacks=[_create_callback(read_samples)], description=description
        )

    def exposition(self) -> bytes:
        """Return all series in the Prometheus text format."""
        return generate_latest(self._registry)

    def _workspace_and_class_labels(
        self, workspace: WorkspaceId, priority: Priority
    ) -> dict[str, str]:
        """Return the labels for a workspace and a priority class."""
        return {"workspace": self._labels.label(workspace), "class": priority.name.lower()}


def _create_histogram(
    meter: Meter, name: str, description: str, bounds: Sequence[float]
) -> Histogram:
    """Create a histogram in seconds with the given upper bounds of buckets."""
    return meter.create_histogram(
        name, unit="s", description=description, explicit_bucket_boundaries_advisory=bounds
    )


def _create_callback(
    read_samples: Callable[[], Iterable[Sample]],
) -> Callable[[CallbackOptions], Iterable[Observation]]:
    """Return an OpenTelemetry callback that observes the samples of a reader."""
    return lambda options: [Observation(value, labels) for value, labels in read_samples()]
