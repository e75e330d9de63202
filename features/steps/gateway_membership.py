"""Steps for the members of a fleet of gateways."""

import asyncio
import random

import msgspec
from behave import given, then, when

from features.fixtures_fleet import KvSnapshots
from quinceferry_gateway.blackboard import Blackboard, Member
from quinceferry_gateway.catalog import Configuration
from quinceferry_gateway.fleet.datagrams import DatagramPort
from quinceferry_gateway.fleet.digests import DIGEST_FORMAT, Digest, incarnation_checksum
from quinceferry_gateway.fleet.gossip import Gossip
from quinceferry_gateway.fleet_api import caller_addresses
from quinceferry_gateway.membership import MEMBER_PREFIX, MemberReader
from quinceferry_gateway.metrics import Metrics
from quinceferry_lab.virtual_time import VirtualClock, run_virtual
from quinceferry_standins.kv import FakeKv

SPEAK_SECONDS = 0.5


def member(name):
    return Member(name, name, "z", f"127.0.0.1:{ord(name)}", name)


class Voices:
    """Members that send digests as the scenario says."""

    def __init__(self):
        self.silent = set()
        self.stopping = set()

    async def speak_forever(self, gossip, clock):
        """Let b and c send digests."""
        while True:
            for name in {"b", "c"} - self.silent:
                leaving = [incarnation_checksum(name)] if name in self.stopping else []
                gossip.handle_digest(Digest(DIGEST_FORMAT, member(name), {}, leaving, {}), name)
            await clock.sleep(SPEAK_SECONDS)


@given("a gateway among members b and c")
def given_members(context):
    context.voices = Voices()
    context.acts = []


@when("the registration of {name} lapses")
def when_lapses(context, name):
    async def lapse(clock, kv):
        key = MEMBER_PREFIX + name
        await kv.delete_if(key, (await kv.get(key)).version)

    context.acts.append(lapse)


@when("{name} does not answer any more")
def when_silent(context, name):
    async def silence(clock, kv):
        context.voices.silent.add(name)

    context.acts.append(silence)


@when("{name} says that it is stopping")
def when_stopping(context, name):
    async def stop(clock, kv):
        context.voices.stopping.add(name)
        await clock.sleep(1.0)

    context.acts.append(stop)


@when("the member list can't be read")
def when_away(context):
    async def away(clock, kv):
        kv.faults.outage = True

    context.acts.append(away)


@when("{seconds:d} seconds pass among the members")
def when_members_seconds(context, seconds):
    context.acts.append(lambda clock, kv: clock.sleep(seconds))


@then("the members are {members} and callers may use {usable}")
def then_members(context, members, usable):
    async def scene():
        clock = VirtualClock()
        kv = FakeKv(clock, random.Random(1))
        for name in "abc":
            await kv.put_if(MEMBER_PREFIX + name, msgspec.json.encode(member(name)), 0)
        board = Blackboard(member("a"))
        board.configuration = Configuration(1, {}, {})
        board.upstreams_revision = 1
        registered = asyncio.Event()
        registered.set()
        draws = random.Random(1)
        source = KvSnapshots(kv.connect("a", 0.8))
        reader = MemberReader(board, source, clock, draws, registered)
        port = DatagramPort("127.0.0.1:1", Metrics())
        gossip = Gossip(board, reader, port, clock, draws, lambda: 0.0)
        speaking = asyncio.create_task(context.voices.speak_forever(gossip, clock))
        await reader.start()
        await gossip.start()
        await clock.sleep(3.0)
        assert board.members_read_at is not None, board
        for act in context.acts:
            await act(clock, kv)
        speaking.cancel()
        await gossip.stop()
        await reader.stop()
        assert sorted(board.members_by_incarnation) == members.split(", "), board
        assert sorted(caller_addresses(board, 64, "z", draws)) == usable.split(", "), board

    run_virtual(scene())
