"""Steps for copies of the list of upstreams in a fleet of which a part is cut off."""

import random

from behave import given, then, when

from features.fixtures_copy_orders import (
    BOUND_SECONDS,
    CONTACT_SECONDS,
    HEARTBEAT_SECONDS,
    PERIOD_SECONDS,
    READERS,
    STEP_SECONDS,
    take_summary,
)
from quinceferry_core.exceptions import KvUnavailableError
from quinceferry_gateway.blackboard import Blackboard, Member
from quinceferry_gateway.catalog import Upstream, UpstreamList
from quinceferry_gateway.upstream_reader import UpstreamReader
from quinceferry_lab.virtual_time import VirtualClock, run_virtual

PERIOD_OF_CUTS_SECONDS = 7.0
LEAVING_INTERVAL_SECONDS = 0.4


class FleetStore:
    """Store that lists upstreams, seen by gateways that are not cut off."""

    def __init__(self, count):
        self.revision = 10
        self.registrations_by_id = {f"u-{number}": number + 1 for number in range(count)}
        self.left_at_by_id = {}
        self.away = False

    def listed(self):
        """Return the list; other writes have raised the revision meanwhile."""
        self.revision += 1
        listed = {
            name: Upstream(name, "app", "127.0.0.1:1", "z", 1, False, registration=registration)
            for name, registration in self.registrations_by_id.items()
        }
        return UpstreamList(self.revision, listed)

    def remove(self, name, now):
        """Let an upstream leave."""
        del self.registrations_by_id[name]
        self.left_at_by_id[name] = now


class FleetGateway:
    """One gateway with its copy; ``cut_at`` is when its last cut ended."""

    def __init__(self, number, count, store, clock, rng):
        self.store = store
        self.cut = False
        self.cut_at = float("-inf")
        members = [Member(f"vm-{index}-a", f"vm-{index}", "z", "", "") for index in range(count)]
        self.board = Blackboard(
            members[number],
            is_store_reader=number < READERS,
            members_by_incarnation={item.incarnation: item for item in members},
        )
        self.reader = UpstreamReader(self.board, self, clock, HEARTBEAT_SECONDS, rng, BOUND_SECONDS)

    async def upstreams(self):
        """Read the store, as the source of the reader."""
        if self.cut or self.store.away:
            raise KvUnavailableError("lost", step="test")
        return self.store.listed()

    def compare(self, other, now):
        """Adopt the copy of another gateway if it is newer, or confirm that it is the same."""
        if take_summary(self.reader, other.reader.summary(now), now):
            self.reader.adopt(other.reader.encode(now), other.board.own.vm, now)


class CopyFleet:
    """Gateways that pass copies on, and what each of them used."""

    def __init__(self, gateways, upstreams, seed):
        self.rng = random.Random(seed)
        self.clock = VirtualClock()
        self.store = FleetStore(upstreams)
        self.gateways = [
            FleetGateway(number, gateways, self.store, self.clock, random.Random(self.rng.random()))
            for number in range(gateways)
        ]
        self.all_ids = set(self.store.registrations_by_id)
        self.used_late = []
        self.not_used = []

    async def start(self):
        """Start all gateways, and wait until they have the list."""
        for gateway in self.gateways:
            await gateway.reader.start()
        await self.play_for(3.0, checked=False)

    async def stop(self):
        """Stop all gateways."""
        for gateway in self.gateways:
            await gateway.reader.stop()

    async def play_for(self, seconds, checked=True):
        """Pass copies on at random, and check what gateways use."""
        for _ in range(round(seconds / STEP_SECONDS)):
            now = self.clock.monotonic()
            connected = [item for item in self.gateways if not item.cut]
            count = max(1, round(len(connected) * STEP_SECONDS / PERIOD_SECONDS))
            for gateway in self.rng.sample(connected, count):
                gateway.compare(self.rng.choice(connected), now)
            if checked:
                self._check(now)
            await self.clock.sleep(STEP_SECONDS)

    def _check(self, now):
        """Note what gateways in touch use though it left, and what they don't use."""
        for gateway in self.gateways:
            if gateway.cut or now - gateway.cut_at < CONTACT_SECONDS:
                continue
            for name, left_at in self.store.left_at_by_id.items():
                if now - left_at > BOUND_SECONDS and name in gateway.board.upstreams_by_id:
                    self.used_late.append((gateway.board.own.vm, name, round(now - left_at, 1)))
            staying = self.all_ids - self.store.left_at_by_id.keys()
            for name in staying - gateway.board.upstreams_by_id.keys():
                self.not_used.append((gateway.board.own.vm, name, round(now, 1)))

    async def cut_off(self, count, seconds):
        """Cut gateways off while upstreams leave, and let them come back."""
        cut = self.rng.sample(self.gateways[:READERS], min(count, READERS - 1))
        others = [item for item in self.gateways if item not in cut]
        cut += self.rng.sample(others, count - len(cut))
        for gateway in cut:
            gateway.cut = True
        for _ in range(round(seconds / LEAVING_INTERVAL_SECONDS)):
            name = self.rng.choice(sorted(self.store.registrations_by_id))
            self.store.remove(name, self.clock.monotonic())
            await self.play_for(LEAVING_INTERVAL_SECONDS)
        for gateway in cut:
            gateway.cut = False
            gateway.cut_at = self.clock.monotonic()
        await self.play_for(PERIOD_OF_CUTS_SECONDS - seconds)


@given(
    "{gateways:d} gateways that read the list of {upstreams:d} upstreams and pass copies on, "
    "seed {seed:d}"
)
def given_fleet(context, gateways, upstreams, seed):
    context.copy_fleet = CopyFleet(gateways, upstreams, seed)


def _play(fleet, act):
    """Play an act on virtual time."""

    async def play():
        await fleet.start()
        await act()
        await fleet.stop()

    run_virtual(play())


@when(
    "{times:d} times {count:d} of them, readers among them, are cut off for {seconds:g} seconds "
    "while upstreams leave"
)
def when_cut_off(context, times, count, seconds):
    async def act():
        for _ in range(times):
            await context.copy_fleet.cut_off(count, seconds)

    _play(context.copy_fleet, act)


@when("the store is away for {seconds:g} seconds, and upstreams register again within {late:g} s")
def when_away(context, seconds, late):
    fleet = context.copy_fleet

    async def act():
        fleet.store.away = True
        await fleet.play_for(seconds)
        fleet.store.registrations_by_id.clear()
        fleet.store.away = False
        for name in sorted(fleet.all_ids):
            await fleet.play_for(late / len(fleet.all_ids))
            fleet.store.revision += 1
            fleet.store.registrations_by_id[name] = fleet.store.revision
        await fleet.play_for(PERIOD_OF_CUTS_SECONDS)

    _play(fleet, act)


@then("gateways in touch used no upstream more than {seconds:g} seconds after it had left")
def then_not_used(context, seconds):
    assert seconds == BOUND_SECONDS
    used = context.copy_fleet.used_late
    assert not used, (len(used), used[:5])


@then("gateways in touch used every upstream that had not left")
@then("gateways used every upstream that had not left")
def then_used(context):
    assert not context.copy_fleet.not_used, context.copy_fleet.not_used[:5]
