"""Counters and latency histograms, served as text on the metrics address."""

from collections.abc import Callable, Iterable, Mapping

from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.metrics import CallbackOptions, Observation
from opentelemetry.sdk.metrics import AlwaysOffExemplarFilter, MeterProvider
from opentelemetry.sdk.resources import Resource
from prometheus_client import CollectorRegistry, ProcessCollector, generate_latest

from quinceferry_gateway.catalog import Route
from quinceferry_gateway.events import StreamPace

LATENCY_BOUNDS_SECONDS = (0.05, 0.1, 0.2, 0.4, 0.8, 1.2, 2.0, 4.0, 8.0, 16.0)
PAUSE_BOUNDS_SECONDS = (0.05, 0.1, 0.15, 0.2, 0.25, 0.3, 0.4, 0.5, 0.7, 1.0, 2.0)
LOOP_DELAY_BOUNDS_SECONDS = (0.005, 0.02, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2)
MAX_LABELS = 200
"""Maximum number of distinct label values; further ones share one label."""
_OVERFLOW_LABEL = "others"


class Metrics:
    """Metrics of a gateway: outcomes and latencies of requests, upstreams, the store and peers."""

    def __init__(self) -> None:
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
        self._meter = meter = self._provider.get_meter("quinceferry_gateway")
        self._labels: set[str] = set()
        self._requests = meter.create_counter(
            "quinceferry_gateway_requests", description="Requests by what became of them"
        )
        self._attempts = meter.create_counter(
            "quinceferry_gateway_attempts", description="Attempts at upstreams by outcome"
        )
        self._forwarded_requests = meter.create_counter(
            "quinceferry_gateway_forwarded_requests",
            description="Requests forwarded to and served for other gateways by outcome",
        )
        self._stream_origin_lookups = meter.create_counter(
            "quinceferry_gateway_stream_origin_lookups",
            description="Lookups of where a resumed stream began by who knew it",
        )
        self._requests_while_stopping = meter.create_counter(
            "quinceferry_gateway_requests_while_stopping",
            description="Requests that reached this gateway after its planned stop began",
        )
        self._address_answers = meter.create_counter(
            "quinceferry_gateway_address_answers",
            description="Answers to address lookups by the phase of this gateway",
        )
        self._limited_connections = meter.create_counter(
            "quinceferry_gateway_limited_connections",
            description="Connections closed or refused for a limit, by effect",
        )
        self._loop_delay = meter.create_histogram(
            "quinceferry_gateway_event_loop_delay",
            unit="s",
            description="How late the event loop ran a task that was due",
            explicit_bucket_boundaries_advisory=list(LOOP_DELAY_BOUNDS_SECONDS),
        )
        self._requests_ended_by_stop = meter.create_counter(
            "quinceferry_gateway_requests_ended_by_stop",
            description="Requests that ran until the planned stop of this gateway ended them",
        )
        self._store_calls = meter.create_counter(
            "quinceferry_gateway_store_calls", description="Calls to the store by step and result"
        )
        self._peer_messages = meter.create_counter(
            "quinceferry_gateway_peer_messages",
            description="Messages to and from other gateways by kind and direction",
        )
        self._peer_bytes = meter.create_counter(
            "quinceferry_gateway_peer_bytes",
            unit="By",
            description="Bytes of such messages, without those of the transport",
        )
        self._latency = meter.create_histogram(
            "quinceferry_gateway_latency",
            unit="s",
            description="Request to last byte of its answer",
            explicit_bucket_boundaries_advisory=list(LATENCY_BOUNDS_SECONDS),
        )
        self._first_event = meter.create_histogram(
            "quinceferry_gateway_first_event",
            unit="s",
            description="Request to first event of its stream",
            explicit_bucket_boundaries_advisory=list(LATENCY_BOUNDS_SECONDS),
        )
        self._longest_pause = meter.create_histogram(
            "quinceferry_gateway_longest_pause",
            unit="s",
            description="Longest pause between two events of a stream",
            explicit_bucket_boundaries_advisory=list(PAUSE_BOUNDS_SECONDS),
        )
        self._late_streams = meter.create_counter(
            "quinceferry_gateway_late_streams",
            description="Streams beyond the objective of their route, or with too long a pause",
        )
        self._predecessor_tokens = meter.create_counter(
            "quinceferry_gateway_predecessor_tokens",
            description="Unreported tokens of terminated holders by what became of them",
        )
        self._charged_tokens = meter.create_counter(
            "quinceferry_gateway_charged_tokens",
            description="Tokens charged to workspaces, by whether the caller got a whole answer",
        )
        self._crashes = meter.create_counter(
            "quinceferry_gateway_upstream_crashes",
            description="Upstreams that ended while they worked on requests",
        )
        self._rate_limited_sends = meter.create_counter(
            "quinceferry_gateway_rate_limited_sends",
            description="Requests sent to upstreams that had named a limit of their rate",
        )
        self._permits = meter.create_counter(
            "quinceferry_gateway_permits",
            description="Permits asked for to send requests to upstreams that limit their rate",
        )
        self._admissions = meter.create_counter(
            "quinceferry_gateway_admissions",
            description="Admissions asked for to send requests to fragile upstreams",
        )
        self._rejections = meter.create_counter(
            "quinceferry_gateway_upstream_rejections",
            description="Requests that upstreams rejected with 503 by cause",
        )
        self._upstream_pauses = meter.create_counter(
            "quinceferry_gateway_upstream_pauses",
            description="Answers by which upstreams asked for no requests for some time",
        )
        self._prompt_tokens = meter.create_counter(
            "quinceferry_gateway_prompt_tokens",
            description="Prompt tokens sent to upstreams, and those believed to be read there",
        )

    def record_answer(self, workspace: str, route: str, seconds: float) -> None:
        """Count a request that was answered by an upstream, and record its latency."""
        self.count_request(workspace, route, "answered")
        self._latency.record(
            seconds, {"workspace": self._label(workspace), "route": self._label(route)}
        )

    def count_request(self, workspace: str, route: str, outcome: str) -> None:
        """Count a request by its outcome."""
        labels = {"workspace": self._label(workspace), "route": self._label(route)}
        self._requests.add(1, {**labels, "outcome": outcome})

    def count_attempt(self, service: str, outcome: str) -> None:
        """Count an attempt at an upstream by its outcome."""
        self._attempts.add(1, {"service": self._label(service), "outcome": outcome})

    def count_forwarded_request(self, direction: str, outcome: str) -> None:
        """Count a request that one gateway forwards to another.

        :param direction: ``sent`` or ``served``.
        """
        self._forwarded_requests.add(1, {"direction": direction, "outcome": outcome})

    def count_stream_origin_lookup(self, found: str) -> None:
        """Count a lookup of where a resumed stream began.

        :param found: ``own``, ``peer`` or ``unknown``.
        """
        self._stream_origin_lookups.add(1, {"found": found})

    def count_request_while_stopping(self) -> None:
        """Count a request that arrived after the planned stop began."""
        self._requests_while_stopping.add(1)

    def count_request_ended_by_stop(self) -> None:
        """Count a request whose time was ended by the planned stop, not by its caller."""
        self._requests_ended_by_stop.add(1)

    def count_limited_connection(self, listener: str, effect: str) -> None:
        """Count a connection that a limit affected.

        :param effect: ``idle`` or ``unfinished``: closed to make room; ``refused`` or ``aborted``:
            a new one above the limit of connections; ``oversized``, ``malformed``, ``late``,
            ``unread`` or ``memory``: cut off for what was sent or not read.
        """
        self._limited_connections.add(1, {"listener": listener, "effect": effect})

    def observe_connections(self, count_by_listener: Callable[[], dict[str, int]]) -> None:
        """Export the number of open connections of each listener."""

        def observe(_: CallbackOptions) -> Iterable[Observation]:
            counts = count_by_listener()
            return [Observation(count, {"listener": name}) for name, count in counts.items()]

        self._meter.create_observable_gauge(
            "quinceferry_gateway_connections",
            callbacks=[observe],
            description="Open connections by listener",
        )

    def record_loop_delay(self, seconds: float) -> None:
        """Record how late the event loop ran a task that was due."""
        self._loop_delay.record(seconds)

    def count_address_answer(self, phase: str, found: bool) -> None:
        """Count an answer to an address lookup.

        :param phase: phase of this gateway.
        :param found: whether the answer names an address.
        """
        self._address_answers.add(1, {"phase": phase, "found": found})

    def record_stream(self, workspace: str, route: Route, pace: StreamPace) -> None:
        """Record the timing of the events of a complete stream."""
        labels = {"workspace": self._label(workspace), "route": self._label(route.name)}
        self._first_event.record(pace.first_event_seconds, labels)
        self._longest_pause.record(pace.longest_pause_seconds, labels)
        if route.objective_seconds and pace.first_event_seconds > route.objective_seconds:
            self._late_streams.add(1, {**labels, "cause": "first_event"})
        if route.max_pause_seconds and pace.longest_pause_seconds > route.max_pause_seconds:
            self._late_streams.add(1, {**labels, "cause": "pause"})

    def count_predecessor_tokens(self, result: str, tokens: int) -> None:
        """Count tokens that predecessors had drawn.

        :param result: ``reclaimed``, ``lost`` with a predecessor that was closed, or
            ``written_off`` with one that could not be.
        """
        self._predecessor_tokens.add(tokens, {"result": result})

    def count_charged_tokens(self, workspace: str, is_answered: bool, tokens: int) -> None:
        """Count the tokens that a request was charged."""
        outcome = "answered" if is_answered else "unanswered"
        self._charged_tokens.add(tokens, {"workspace": self._label(workspace), "outcome": outcome})

    def observe_workspace_tokens(
        self, tokens_by_workspace_and_state: Callable[[], Mapping[tuple[str, str], int]]
    ) -> None:
        """Export the tokens of each workspace by their state, as this gateway knows them."""

        def observe(_: CallbackOptions) -> Iterable[Observation]:
            for (workspace, state), tokens in tokens_by_workspace_and_state().items():
                yield Observation(tokens, {"workspace": self._label(workspace), "state": state})

        self._meter.create_observable_gauge(
            "quinceferry_gateway_workspace_tokens",
            callbacks=[observe],
            description="Tokens of workspaces that are left, undrawn, or held by this gateway",
        )

    def count_upstream_crash(self, service: str) -> None:
        """Count an upstream that crashed while it was running requests of this gateway."""
        self._crashes.add(1, {"service": self._label(service)})

    def count_rate_limited_send(self, service: str) -> None:
        """Count a request sent to an upstream that limits its request rate."""
        self._rate_limited_sends.add(1, {"service": self._label(service)})

    def count_permit(self, result: str) -> None:
        """Count a requested permit.

        :param result: ``granted``, ``denied`` or ``unanswered``.
        """
        self._permits.add(1, {"result": result})

    def count_admission(self, result: str) -> None:
        """Count a requested admission.

        :param result: ``admitted``, ``denied`` or ``unanswered``.
        """
        self._admissions.add(1, {"result": result})

    def count_rejection(self, service: str, cause: str) -> None:
        """Count a request that an upstream rejected.

        :param cause: ``no_room``, or ``paused`` if it requested a pause.
        """
        self._rejections.add(1, {"service": self._label(service), "cause": cause})

    def count_upstream_pause(self, service: str) -> None:
        """Count an answer in which an upstream requests a pause."""
        self._upstream_pauses.add(1, {"service": self._label(service)})

    def count_prompt_tokens(self, route: str, tokens: int, uncached_tokens: int) -> None:
        """Count the tokens of a prompt that is sent to an upstream.

        :param uncached_tokens: tokens that the upstream must prefill.
        """
        label = self._label(route)
        self._prompt_tokens.add(tokens, {"route": label, "what": "sent"})
        self._prompt_tokens.add(uncached_tokens, {"route": label, "what": "unread"})

    def count_store_call(self, step: str, result: str) -> None:
        """Count a call to the store by its result."""
        self._store_calls.add(1, {"step": step, "result": result})

    def count_peer_messages(self, kind: str, direction: str, count: int, size: int) -> None:
        """Count messages to or from other gateways.

        :param direction: ``sent``, ``received`` or ``malformed``.
        :param size: size of one message in bytes.
        """
        labels = {"kind": kind, "direction": direction}
        self._peer_messages.add(count, labels)
        self._peer_bytes.add(count * size, labels)

    def observe_list_age(self, age_seconds: Callable[[], float | None]) -> None:
        """Export the age of the list of upstreams; there is no series while it is None."""
        self._observe_age(
            "quinceferry_gateway_upstream_list_age",
            "Time since the list of upstreams was last read",
            age_seconds,
        )

    def observe_configuration_age(self, age_seconds: Callable[[], float | None]) -> None:
        """Export the age of the configuration; there is no series while it is None."""
        self._observe_age(
            "quinceferry_gateway_configuration_age",
            "Time since the configuration in force was known to be the newest",
            age_seconds,
        )

    def _observe_age(
        self, name: str, description: str, age_seconds: Callable[[], float | None]
    ) -> None:
        """Export an age as a gauge; there is no series while it is None."""

        def observe(_: CallbackOptions) -> Iterable[Observation]:
            age = age_seconds()
            return [] if age is None else [Observation(age)]

        self._meter.create_observable_gauge(
            name, callbacks=[observe], unit="s", description=description
        )

    def observe_quarantine(self, quarantined_count: Callable[[], int]) -> None:
        """Export the number of contents in quarantine."""
        self._observe_count(
            "quinceferry_gateway_quarantined_contents",
            "Contents of requests that are not run, since they crashed upstreams",
            quarantined_count,
        )

    def observe_stream_origins(self, record_count: Callable[[], int]) -> None:
        """Export the number of streams whose origin this gateway keeps."""
        self._observe_count(
            "quinceferry_gateway_stream_origins",
            "Streams whose origin is kept here for callers that resume them",
            record_count,
        )

    def observe_rate_limits(self, rate_limited_count: Callable[[], int]) -> None:
        """Export the number of upstreams that limit their request rate."""
        self._observe_count(
            "quinceferry_gateway_rate_limited_upstreams",
            "Upstreams that limit their request rate",
            rate_limited_count,
        )

    def observe_fragile_upstreams(self, fragile_count: Callable[[], int]) -> None:
        """Export the number of upstreams that fail if they reject too many requests."""
        self._observe_count(
            "quinceferry_gateway_fragile_upstreams",
            "Upstreams that fail if they have to reject too many requests",
            fragile_count,
        )

    def observe_cold_upstreams(self, cold_count: Callable[[], int]) -> None:
        """Export the number of upstreams that are cold."""
        self._observe_count(
            "quinceferry_gateway_cold_upstreams",
            "Upstreams that tolerate few requests, shortly after their start",
            cold_count,
        )

    def observe_evacuated_zones(self, evacuated_count: Callable[[], int]) -> None:
        """Export the number of zones whose upstreams must get no requests."""
        self._observe_count(
            "quinceferry_gateway_evacuated_zones",
            "Zones that operators evacuate, whose upstreams get no requests",
            evacuated_count,
        )

    def observe_rejected_documents(self, rejected_count: Callable[[], int]) -> None:
        """Export whether the newest document that this gateway has read cannot be decoded."""
        self._observe_count(
            "quinceferry_gateway_rejected_documents",
            "Whether the newest configuration read can't be decoded, so an older one is in force",
            rejected_count,
        )

    def observe_malformed_entries(self, count_by_kind: Callable[[], Mapping[str, int]]) -> None:
        """Export the number of malformed entries of the configuration in force, by their kind."""
        self._meter.create_observable_gauge(
            "quinceferry_gateway_malformed_entries",
            callbacks=[
                lambda _: [
                    Observation(count, {"kind": kind}) for kind, count in count_by_kind().items()
                ]
            ],
            description="Entries of the configuration that are not in force, since malformed",
        )

    def observe_unreachable_services(self, unreachable_count: Callable[[], int]) -> None:
        """Export the number of services of which this gateway reaches no upstream."""
        self._observe_count(
            "quinceferry_gateway_unreachable_services",
            "Services of which this gateway reaches no upstream",
            unreachable_count,
        )

    def _observe_count(self, name: str, description: str, count: Callable[[], int]) -> None:
        """Export a count as a gauge."""
        self._meter.create_observable_gauge(
            name, callbacks=[lambda _: [Observation(count())]], description=description
        )

    def exposition(self) -> bytes:
        """Return all series in the Prometheus text format."""
        return generate_latest(self._registry)

    def _label(self, name: str) -> str:
        """Return a label value for a name, or the shared one above the limit."""
        if name not in self._labels and len(self._labels) >= MAX_LABELS:
            return _OVERFLOW_LABEL
        self._labels.add(name)
        return name
