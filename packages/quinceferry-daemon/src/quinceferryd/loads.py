"""Polling of load reports and cache events, and detection of upstreams that are leaving.

Only upstreams that this router uses, or is most likely to use, are polled, at a bounded rate.
"""

import random
from itertools import count

from quinceferry_core.adapters import UpstreamClient
from quinceferry_core.clocks import Clock
from quinceferry_core.exceptions import UpstreamError
from quinceferry_core.models import UpstreamId, UpstreamKind, UpstreamSpec
from quinceferry_core.routing import rendezvous_order
from quinceferryd.blackboard import Blackboard
from quinceferryd.controllers import TaskGroupController
from quinceferryd.scheduling import Scheduler
from quinceferryd.settings import RoutingSettings

ROUNDS_PER_CACHE_EVENT_READ = 8
"""Cache events of an engine are read along with one in this many load reports."""
PROBES_FOR_UNSERVED_TARGET = 4
"""Random upstreams polled per round while no polled upstream serves the target of a request."""
LEAVING_UPDATE_INTERVAL_SECONDS = 0.25
"""Interval at which the set of leaving upstreams is recomputed."""


class LoadController(TaskGroupController):
    """Polls upstreams for their load.

    Writes ``blackboard.upstreams_by_id`` and ``blackboard.leaving_upstreams``.

    :param scheduler: its tracker receives the reports and events.
    :param rng: random generator for the sampling of upstreams outside the active set.
    """

    def __init__(
        self,
        blackboard: Blackboard,
        upstreams: UpstreamClient,
        scheduler: Scheduler,
        clock: Clock,
        rng: random.Random,
        settings: RoutingSettings,
    ) -> None:
        super().__init__()
        self._blackboard = blackboard
        self._upstreams = upstreams
        self._scheduler = scheduler
        self._tracker = scheduler.tracker
        self._clock = clock
        self._rng = rng
        self._settings = settings
        self._pending_poll_ids: set[UpstreamId] = set()
        self.polls = 0
        self.failed_polls = 0

    async def start(self) -> None:
        """Start polling."""
        self.spawn(self._poll_forever(), "load polls")
        self.spawn(self._update_leaving_forever(), "leaving signs")

    def update_leaving(self) -> None:
        """Update the leaving upstreams from the VM list, load reports and other routers."""
        reported_by_members = {
            upstream
            for member in self._blackboard.members_by_incarnation.values()
            if member.incarnation != self._blackboard.identity.incarnation
            for upstream in member.leaving_upstreams
        }
        specs_by_id = self._blackboard.configuration.upstreams_by_id
        for upstream in (
            *self._blackboard.upstreams_by_id,
            *(reported_by_members & specs_by_id.keys()),
        ):
            self._tracker.status(upstream).reported_leaving = upstream in reported_by_members
        polled = self._blackboard.upstreams_by_id.keys() & specs_by_id.keys()
        self._blackboard.leaving_upstreams = {
            upstream
            for upstream in polled
            if self._tracker.is_observed_leaving(specs_by_id[upstream])
        }

    def upstreams_to_poll(self) -> list[UpstreamSpec]:
        """Return the upstreams to poll: those in use, and those this router most likely chooses.

        Each router has its own order, so that they do not all poll an upstream at the same moment.
        """
        specs_by_id = self._blackboard.configuration.upstreams_by_id
        ranked = rendezvous_order(self._blackboard.identity.vm, list(specs_by_id))
        chosen = set(ranked)
        if len(ranked) > self._settings.max_active_upstreams:
            chosen = set(ranked[: self._settings.max_active_upstreams - 1])
            chosen.update(self._rng.sample(ranked, self._probe_count()))
            chosen.update(upstream for upstream in ranked if self._tracker.in_flight(upstream))
        return [specs_by_id[upstream] for upstream in ranked if upstream in chosen]

    def _probe_count(self) -> int:
        """Return the number of random upstreams in this round, more while a target is unserved."""
        return PROBES_FOR_UNSERVED_TARGET if self._tracker.has_unserved_target else 1

    async def _poll_forever(self) -> None:
        for round_number in count():
            upstreams = self.upstreams_to_poll()
            self._tracker.has_unserved_target = False
            self._tracker.remove_unused()
            for position, spec in enumerate(upstreams):
                self._poll_requested()
                with_events = (round_number + position) % ROUNDS_PER_CACHE_EVENT_READ == 0
                self._spawn_poll(spec, with_events)
                await self._clock.sleep(self._poll_delay_seconds(len(upstreams), with_events))
            if not upstreams:
                await self._clock.sleep(self._settings.load_interval_seconds)

    def _poll_delay_seconds(self, upstream_count: int, with_events: bool) -> float:
        calls = 2 if with_events else 1
        return max(
            self._settings.load_interval_seconds / upstream_count,
            calls / self._settings.max_polls_per_second,
        )

    def _poll_requested(self) -> None:
        specs_by_id = self._blackboard.configuration.upstreams_by_id
        for upstream in self._tracker.requested_reports:
            if upstream in specs_by_id:
                self._spawn_poll(specs_by_id[upstream], with_events=False)
        self._tracker.requested_reports.clear()

    def _spawn_poll(self, spec: UpstreamSpec, with_events: bool) -> None:
        if spec.id in self._pending_poll_ids:
            return
        self._pending_poll_ids.add(spec.id)
        self.spawn(self._poll(spec, with_events), f"poll {spec.id}")

    async def _poll(self, spec: UpstreamSpec, with_events: bool) -> None:
        self.polls += 1
        try:
            report = await self._upstreams.load(spec)
            self._tracker.apply_report(spec.id, report)
            self._scheduler.admission.process_queue()
            if with_events and spec.kind is UpstreamKind.ENGINE:
                sequence = self._tracker.last_event_sequence(spec.id)
                events = await self._upstreams.cache_events(spec, sequence)
                self._tracker.apply_events(spec.id, events)
        except UpstreamError:
            self.failed_polls += 1
        finally:
            self._pending_poll_ids.discard(spec.id)

    async def _update_leaving_forever(self) -> None:
        while True:
            self.update_leaving()
            await self._clock.sleep(LEAVING_UPDATE_INTERVAL_SECONDS)
