"""Creates the components of a gateway, starts them and stops them in order."""

import asyncio
import random
import uuid
from collections.abc import Awaitable, Callable, Iterable
from dataclasses import replace
from functools import cache

from quinceferry_core.adapters import KvStore
from quinceferry_core.clocks import Clock, machine_time, suspended_seconds
from quinceferry_core.quarantine import Quarantine
from quinceferry_gateway.admissions import Admissions
from quinceferry_gateway.attempt_log import AttemptLog
from quinceferry_gateway.blackboard import Blackboard, Member, Phase
from quinceferry_gateway.callers import CallerApi
from quinceferry_gateway.catalog import CallerLimits, Upstream
from quinceferry_gateway.cold_starts import ColdStarts
from quinceferry_gateway.configuration_reader import ConfigurationReader
from quinceferry_gateway.controllers import Controller
from quinceferry_gateway.crashes import CrashMonitor
from quinceferry_gateway.decisions import Placer, UpstreamStates
from quinceferry_gateway.decisions.cold_starts import ColdStartLimit
from quinceferry_gateway.decisions.connection_memory import required_bytes
from quinceferry_gateway.decisions.planned_stops import PlannedStop
from quinceferry_gateway.exchanges import UpstreamExchanges
from quinceferry_gateway.fleet.calls import DatagramCalls
from quinceferry_gateway.fleet.copies import CopyReplicator
from quinceferry_gateway.fleet.datagrams import DatagramPort
from quinceferry_gateway.fleet.gossip import Gossip
from quinceferry_gateway.fleet_api import MetricsApi, PeerApi, register_token_calls
from quinceferry_gateway.forwarding import RequestForwarder
from quinceferry_gateway.fragile_upstreams import FragileUpstreams
from quinceferry_gateway.freshness import CONFIGURATION_KIND, ConfigurationFreshness
from quinceferry_gateway.holder import TokenHolder
from quinceferry_gateway.holder_role import holder_vms
from quinceferry_gateway.interfaces import CatalogSource, Dialect, SnapshotSource
from quinceferry_gateway.listeners import Listeners
from quinceferry_gateway.logs import log
from quinceferry_gateway.loop_monitor import LoopMonitor
from quinceferry_gateway.membership import MemberReader, Registration
from quinceferry_gateway.metrics import Metrics
from quinceferry_gateway.peers import PeerClient, PeerError
from quinceferry_gateway.permits import SendPermits
from quinceferry_gateway.quarantine_records import QuarantineRecords
from quinceferry_gateway.reachability import ReachabilityMonitor
from quinceferry_gateway.relay import Relay
from quinceferry_gateway.reservations import Reservations
from quinceferry_gateway.retries import RetryBudget
from quinceferry_gateway.sends import SendNotifier
from quinceferry_gateway.server import HttpListener
from quinceferry_gateway.settings import Settings
from quinceferry_gateway.signals import UpstreamSignals
from quinceferry_gateway.software_versions import SoftwareVersions
from quinceferry_gateway.stop_requests import StopRequest
from quinceferry_gateway.stopped_upstreams import StopMonitor
from quinceferry_gateway.stream_origins import StreamOrigins
from quinceferry_gateway.transport import HttpClient
from quinceferry_gateway.upstream_choice import UpstreamSelector
from quinceferry_gateway.upstream_reader import HEARTBEATS_PER_LEASE, UpstreamReader

PEER_IDLE_TIMEOUT_SECONDS = 5.0
FIRST_CALL_NUMBER_BITS = 40
"""Size of the random first number of calls to peers; two processes are unlikely to use the same
numbers."""
HOUSEKEEPING_INTERVAL_SECONDS = 1.0
DRAIN_CHECK_INTERVAL_SECONDS = 0.05
"""Interval at which a stopping gateway checks whether its last requests are answered."""
LINGER_SECONDS = 0.2
"""How long requests are served on open connections after the gateway has stopped to listen."""
INHERIT_TIMEOUT_SECONDS = 0.5
"""Longest wait for a peer that is to take over tokens; a planned stop leaves time to try several
peers."""

ListenerFactory = Callable[["Application"], list[HttpListener]]


class Application:
    """One gateway.

    :param settings: validated settings.
    :param store: the platform's key-value store.
    :param snapshots: the same store, read together with its revision.
    :param source: configuration and upstreams of the platform.
    :param dialect: translates the headers of the platform.
    :param create_listeners: creates additional listeners, for calls whose format the platform
        defines.
    :param on_tick: called several times a second as long as the event loop runs.
    """

    def __init__(
        self,
        settings: Settings,
        store: KvStore,
        snapshots: SnapshotSource,
        source: CatalogSource,
        dialect: Dialect,
        clock: Clock,
        metrics: Metrics,
        http: HttpClient,
        create_listeners: ListenerFactory,
        on_tick: Callable[[], None] = lambda: None,
    ) -> None:
        self.settings = settings
        self.metrics = metrics
        self._clock = clock
        self._housekeeping = Controller()
        self._loop_monitor = LoopMonitor(clock, metrics, on_tick)
        self.blackboard = Blackboard(_own_member(settings))
        board = self.blackboard
        metrics.observe_list_age(lambda: self._age_seconds(board.upstreams_read_at))
        metrics.observe_configuration_age(lambda: self._age_seconds(board.configuration_read_at))
        metrics.observe_evacuated_zones(lambda: len(board.evacuated_zones))
        metrics.observe_rejected_documents(lambda: int(board.is_document_rejected))
        metrics.observe_malformed_entries(board.malformed_entries_by_kind)
        rng = random.Random()
        port = DatagramPort(settings.listen.peers, metrics)
        calls = DatagramCalls(port, clock, rng.getrandbits(FIRST_CALL_NUMBER_BITS))
        self._peers = peers = PeerClient(http, calls, metrics)
        self.holder = TokenHolder(
            board,
            store,
            clock,
            settings.budgets,
            rng,
            machine_time,
            metrics,
        )
        self.reservations = Reservations(board, self.holder, peers, clock, settings.budgets)
        self._registration = Registration(board, store, clock)
        self.upstream_states = upstream_states = UpstreamStates()
        cold_limit = ColdStartLimit(settings.cold_starts.excess, settings.cold_starts.slack)
        cold_starts = ColdStarts(board, upstream_states, cold_limit, port, clock, metrics)
        send_notifier = SendNotifier(board, upstream_states, port, clock, rng)
        heartbeat_seconds = settings.store.heartbeat_milliseconds / 1000
        freshness_settings = settings.freshness
        configuration = ConfigurationReader(
            board,
            source,
            clock,
            rng,
            freshness_settings.configuration_milliseconds / 1000,
            cold_starts.zone_restored,
            frozenset(settings.gateway.region_by_zone.values()),
        )
        versions = SoftwareVersions(
            board, upstream_states, clock, HEARTBEATS_PER_LEASE * heartbeat_seconds
        )

        def list_read(listed: Iterable[Upstream], requested_at: float) -> None:
            cold_starts.list_read(listed, requested_at)
            versions.list_read(listed, requested_at)

        upstreams = UpstreamReader(
            board,
            source,
            clock,
            heartbeat_seconds,
            rng,
            freshness_settings.leaving_milliseconds / 1000,
            list_read,
        )
        members = MemberReader(board, snapshots, clock, rng, self._registration.registered)
        self._gossip = Gossip(board, members, port, clock, rng, suspended_seconds)
        lists_by_kind = {
            CONFIGURATION_KIND: configuration,
            "upstreams": upstreams,
            "members": members,
        }
        copies = CopyReplicator(
            lists_by_kind, peers, clock, self._gossip.copies_updated, upstreams.record_contact
        )
        quarantine = Quarantine(settings.quarantine.crashes, settings.quarantine.hold_seconds)
        reachability = ReachabilityMonitor(
            board, upstream_states, http, clock, random.Random(), metrics
        )
        reachability.on_change = self._gossip.announce_reachability
        stops = StopMonitor(board, upstream_states, http, clock, metrics, reachability)
        crashes = CrashMonitor(board, quarantine, port, clock, metrics, stops)
        self._gossip.attach(copies, crashes)
        metrics.observe_workspace_tokens(self.holder.tokens_by_workspace_and_state)
        register_token_calls(calls, self.holder)
        self._controllers = [
            self._loop_monitor,
            port,
            calls,
            configuration,
            upstreams,
            members,
            copies,
            self._gossip,
            self._registration,
            self.holder,
            self.reservations,
            reachability,
            stops,
            crashes,
            QuarantineRecords(board, store, clock, crashes),
        ]
        fragile_upstreams = FragileUpstreams(board, upstream_states, port, clock, metrics)
        signals = UpstreamSignals(
            board, upstream_states, cold_starts, fragile_upstreams, port, clock, metrics
        )
        admissions = Admissions(
            board, upstream_states, fragile_upstreams, port, calls, clock, metrics
        )
        self._controllers.append(admissions)
        permits = SendPermits(
            board, upstream_states, cold_starts, admissions, calls, clock, metrics
        )
        placer = Placer(settings.gateway.zone, upstream_states, random.Random())
        selector = UpstreamSelector(
            board, upstream_states, placer, permits, clock, settings.gateway.region_of, versions
        )
        self._origins = origins = StreamOrigins(board, port, calls, clock, metrics, versions)
        self._controllers.append(origins)
        exchanges = UpstreamExchanges(
            dialect, http, clock, metrics, signals, reachability, origins, crashes, versions
        )
        forwarder = RequestForwarder(board, dialect, exchanges, clock, random.Random(), metrics)
        relay = Relay(
            board,
            upstream_states,
            selector,
            send_notifier,
            dialect,
            exchanges,
            clock,
            self._create_retry_budgets(),
            crashes,
            AttemptLog(metrics),
            reachability,
            forwarder,
        )
        self.caller_api = CallerApi(
            board,
            dialect,
            self.reservations,
            relay,
            metrics,
            clock,
            random.Random(),
            crashes,
            ConfigurationFreshness(
                board, copies, clock, freshness_settings.configuration_milliseconds / 1000
            ),
            origins,
        )
        self.listeners = Listeners(settings.limits, settings.clients, clock, metrics)
        create = self.listeners.create
        listen, idle_seconds = settings.listen, PEER_IDLE_TIMEOUT_SECONDS
        self._caller_listener = create("callers", self.caller_api, listen.callers, idle_seconds * 3)
        peer_api = PeerApi(copies, self.holder, self.caller_api)
        peer_listener = create("peers", peer_api, listen.peers, idle_seconds)
        self._request_listeners = [self._caller_listener, peer_listener]
        self._other_listeners = [
            peer_listener,
            create("metrics", MetricsApi(metrics), listen.metrics, idle_seconds),
            *create_listeners(self),
        ]

    async def run(self, stop_request: StopRequest) -> None:
        """Serve until a stop is requested, then shut down gracefully.

        If it is requested already, nothing is started: what is accepted now could be cut.
        """
        if stop_request.is_made:
            log.change("gateway.stopped", in_progress=0, connections=0, seconds=0.0)
            log.flush()
            return
        await self._start()
        self._housekeeping.supervise(self._run_housekeeping, "housekeeping")
        await stop_request.wait()
        await self._stop(self._planned_stop(stop_request))
        await self._housekeeping.stop()

    async def _start(self) -> None:
        """Start all listeners and controllers."""
        own = self.blackboard.own
        log.change("gateway.starting", incarnation=own.incarnation, zone=own.zone)
        for listener in self._other_listeners:
            await listener.start()
        for controller in self._controllers:
            await controller.start()
        await self._caller_listener.start()
        self.blackboard.phase = Phase.SERVING

    def _planned_stop(self, request: StopRequest) -> PlannedStop:
        """Return the times of a stop that was requested."""
        not_before = request.not_before
        if not_before is None:
            not_before = min(self._loop_monitor.responsive_at, request.noted_at)
        return PlannedStop.starting_between(not_before, request.noted_at, self.settings.stop)

    async def _stop(self, stop: PlannedStop) -> None:
        """Shut down: withdraw the registration, finish requests, return tokens and close."""
        self.blackboard.phase = Phase.DRAINING
        self.caller_api.begin_stop(stop)
        now = self._clock.monotonic()
        log.change(
            "gateway.draining",
            in_progress=self.caller_api.in_progress,
            noticed_seconds=round(now - stop.noted_at, 4),
            uncertain_seconds=round(stop.noted_at - stop.began_at, 4),
            work_ends_in_seconds=round(stop.work_ends_at - now, 4),
        )
        self._gossip.announce_leaving()
        # The store may be slow or unavailable, and callers must not wait for it.
        withdrawal = asyncio.create_task(self._registration.withdraw())
        await self._clock.sleep(max(0.0, stop.callers_left_at - self._clock.monotonic()))
        return_task = asyncio.create_task(self._return_tokens())
        origins_task = asyncio.create_task(self._origins.hand_over())
        await self._serve_last_requests(stop)
        await self._finish_by(
            stop.closed_at,
            self.reservations.finish(),
            return_task,
            origins_task,
            withdrawal,
            self._wait_while(self._count_open_connections, stop.closed_at),
        )
        for controller in self._controllers:
            await controller.stop()
        for listener in self._other_listeners:
            await listener.stop()
        self.caller_api.log_cut_requests(stop)
        log.change(
            "gateway.stopped",
            in_progress=self.caller_api.in_progress,
            connections=self._count_open_connections(),
            seconds=round(self._clock.monotonic() - stop.began_at, 4),
        )
        log.flush()

    async def _serve_last_requests(self, stop: PlannedStop) -> None:
        """Serve until no request is in progress, then close the addresses for requests.

        A request may be on its way when the last one ends. So connections stay open for a moment
        after their listeners.
        """
        await self._wait_while(self._count_open_requests, stop.work_ends_at)
        for listener in self._request_listeners:
            listener.stop_listening()
        await self._clock.sleep(LINGER_SECONDS)
        for listener in self._request_listeners:
            await listener.stop()

    async def _wait_while(self, is_busy: Callable[[], int], ends_at: float) -> None:
        """Wait while there is work, at most until a time."""
        while is_busy() and self._clock.monotonic() < ends_at:
            await self._clock.sleep(DRAIN_CHECK_INTERVAL_SECONDS)

    async def _finish_by(self, ends_at: float, *steps: Awaitable[None]) -> None:
        """Finish some steps together, and cancel those that take too long."""
        tasks = [asyncio.ensure_future(step) for step in steps]
        timeout_seconds = max(0.0, ends_at - self._clock.monotonic())
        _, unfinished = await asyncio.wait(tasks, timeout=timeout_seconds)
        for task in unfinished:
            task.cancel()
        if unfinished:
            log.failure("gateway.unfinished", steps=len(unfinished))
        await asyncio.gather(*tasks, return_exceptions=True)

    def _count_open_requests(self) -> int:
        """Return the number of requests in progress, those of peers included."""
        return sum(listener.open_requests for listener in self._request_listeners)

    def _count_open_connections(self) -> int:
        """Return the number of connections for requests."""
        return sum(listener.open_connections for listener in self._request_listeners)

    async def _return_tokens(self) -> None:
        """Return the tokens to the store, or pass them on to one peer if that fails.

        Another peer is tried only if the previous one certainly did not take them, since the
        message was not sent or was refused: tokens that two peers hold would be spent twice.
        """
        if await self.holder.return_tokens():
            return
        await self.holder.wait_for_end_of_limits()
        inherit_request = self.holder.inherit_request()
        for peer in self._inheriting_peers():
            try:
                await self._peers.inherit(peer, inherit_request, INHERIT_TIMEOUT_SECONDS)
            except PeerError as error:
                log.failure("allotments.not_passed_on", member=peer.incarnation, error=str(error))
                if error.sent and not error.refused:
                    return
            else:
                log.change("allotments.passed_on", member=peer.incarnation)
                return

    def _inheriting_peers(self) -> list[Member]:
        """Return the peers that may take over tokens.

        Holders come first, since requests reserve tokens there.
        """
        vms = holder_vms(self.blackboard, self.settings.budgets)
        peers = self.blackboard.usable_peers()
        return sorted(peers, key=lambda peer: peer.vm not in vms)

    async def _run_housekeeping(self) -> None:
        """Periodically apply the configured limits of callers and forget removed upstreams."""
        while True:
            configuration = self.blackboard.configuration
            if configuration is not None:
                self._apply_limits(configuration.limits)
            self.upstream_states.discard_missing(self.blackboard.upstreams_by_id)
            await self._clock.sleep(HOUSEKEEPING_INTERVAL_SECONDS)

    def _apply_limits(self, limits: CallerLimits) -> None:
        """Apply the configured limits of callers, and of peers that forward their requests."""
        self._caller_listener.set_idle_timeout_seconds(limits.idle_seconds)
        client_limits = replace(
            self.settings.clients,
            max_header_bytes=limits.max_header_bytes,
            head_seconds=limits.head_seconds,
        )
        for listener in self._request_listeners:
            listener.set_client_limits(client_limits)
        self.listeners.memory.allow(required_bytes(client_limits, limits.max_body_bytes))

    def _age_seconds(self, read_at: float | None) -> float | None:
        """Return the time since a list was read, None before the first read."""
        return None if read_at is None else self._clock.monotonic() - read_at

    def _create_retry_budgets(self) -> Callable[[str], RetryBudget]:
        """Return a function that returns the retry budget of a service."""
        retries, clock = self.settings.retries, self._clock

        @cache
        def budget(service: str) -> RetryBudget:
            return RetryBudget(clock, retries.ratio, retries.slack, retries.window_seconds)

        return budget


def _own_member(settings: Settings) -> Member:
    """Return the member entry under which this incarnation registers."""
    return Member(
        f"{settings.gateway.vm}-{uuid.uuid4().hex[:8]}",
        settings.gateway.vm,
        settings.gateway.zone,
        settings.listen.peers,
        settings.listen.callers,
    )
