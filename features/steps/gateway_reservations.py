"""Steps for reservations at several holders."""

import asyncio
import random

from behave import then, when

from features.fixtures_gateway_budgets import WORKSPACE, Bench
from features.steps.gateway_budgets import play as play_holders
from quinceferry_gateway.catalog import Configuration, Workspace
from quinceferry_gateway.peers import PeerError
from quinceferry_gateway.reservations import Reservation, Reservations
from quinceferry_gateway.settings import BudgetSettings
from quinceferry_lab.virtual_time import run_virtual

FIRST_DRAW_SECONDS = 4.0
LAST_SETTLEMENTS_SECONDS = 30.0
MAX_DELAY_SECONDS = 0.5
"""Longest delay of a call; longer than callers of holders wait."""
LOST_SHARE = 0.1
LEAVING_SHARE = 0.5
MAX_TOKENS = 2_500


class LossyPeers:
    """Calls holders with delays, if any; a call or its reply may then be lost."""

    def __init__(self, holders_by_vm, clock, rng, max_delay_seconds=MAX_DELAY_SECONDS):
        self.max_delay_seconds = max_delay_seconds
        self.lost_share = LOST_SHARE if max_delay_seconds else 0.0
        self.holders_by_vm = holders_by_vm
        self.clock = clock
        self.rng = rng

    async def reserve(self, peer, request, timeout_seconds):
        """Reserve tokens at a holder; a call that times out may still take effect."""

        async def call():
            await self.clock.sleep(self.rng.uniform(0.0, self.max_delay_seconds))
            reply = await self.holders_by_vm[peer.vm].reserve_for_request(request)
            await self.clock.sleep(self.rng.uniform(0.0, self.max_delay_seconds))
            if self.rng.random() < self.lost_share:
                await self.clock.sleep(timeout_seconds)
            return reply

        task = asyncio.create_task(call())
        try:
            async with asyncio.timeout(timeout_seconds):
                return await asyncio.shield(task)
        except TimeoutError as error:
            raise PeerError("no answer", step="reserve", peer=peer.vm, sent=True) from error

    async def settle(self, peer, request, timeout_seconds):
        """Settle reservations at a holder."""
        await self.clock.sleep(self.rng.uniform(0.0, self.max_delay_seconds))
        for settlement in request.settlements:
            self.holders_by_vm[peer.vm].settle(settlement)
        if self.rng.random() < self.lost_share:
            raise PeerError("no answer", step="settle", peer=peer.vm, sent=True)


def reservations_at(bench, name, rng):
    """Return what reserves tokens at one gateway, which reaches all others without delay."""
    holders_by_vm = {
        board.own.vm: bench.holders_by_name[holder]
        for holder, board in bench.boards_by_name.items()
    }
    board = bench.boards_by_name[name]
    peers = LossyPeers(holders_by_vm, bench.clock, rng, max_delay_seconds=0.0)
    return Reservations(board, holders_by_vm[board.own.vm], peers, bench.clock, BudgetSettings())


@when(
    "{count:d} requests reserve tokens at them with seed {seed:d}, replies are late or lost, and "
    "callers leave"
)
def when_callers_leave(context, count, seed):
    context.bench = bench = Bench(*context.size)

    async def ask(reservations, rng, number):
        task = asyncio.create_task(
            reservations.reserve(f"r{number}", WORKSPACE, rng.randint(1, MAX_TOKENS))
        )
        if rng.random() < LEAVING_SHARE:
            await bench.clock.sleep(rng.uniform(0.0, 3 * MAX_DELAY_SECONDS))
            task.cancel()
        result = (await asyncio.gather(task, return_exceptions=True))[0]
        if isinstance(result, Reservation):
            reservations.settle(result, 0)

    async def play():
        rng = random.Random(seed)
        await bench.fill()
        await bench.clock.sleep(FIRST_DRAW_SECONDS)
        boards = bench.boards_by_name.values()
        holders_by_vm = {
            board.own.vm: bench.holders_by_name[name]
            for name, board in bench.boards_by_name.items()
        }
        peers = LossyPeers(holders_by_vm, bench.clock, rng)
        senders = [
            Reservations(board, holders_by_vm[board.own.vm], peers, bench.clock, BudgetSettings())
            for board in boards
        ]
        tasks = []
        for number in range(count):
            tasks.append(asyncio.create_task(ask(rng.choice(senders), rng, number)))
            await bench.clock.sleep(rng.uniform(0.0, 0.1))
        await asyncio.gather(*tasks)
        await bench.clock.sleep(LAST_SETTLEMENTS_SECONDS)
        context.reserved = [
            account.reserved_by_id
            for holder in holders_by_vm.values()
            for account in holder._accounts.by_workspace.values()
        ]
        for part in (*senders, *bench.holders_by_name.values()):
            await part.stop()

    run_virtual(play())


CONFIGURATIONS_BY_LACK = {
    "has read no configuration": None,
    "has the one before a top-up": Configuration(0, {}, {}, {WORKSPACE: Workspace(WORKSPACE, 90)}),
    "has the one before it was added": Configuration(0, {}, {}, {}),
}


@when("the holders have drawn, and holder 2 {lack}")
def when_lacks(context, lack):
    async def lose(bench):
        await bench.clock.sleep(FIRST_DRAW_SECONDS)
        bench.boards_by_name["g2"].configuration = CONFIGURATIONS_BY_LACK[lack]
        # Requests have reserved all that the two of them hold.
        for holder in bench.holders_by_name.values():
            tokens = holder.available_by_workspace()[WORKSPACE]
            holder.reserve("others", WORKSPACE, tokens)

    context.acts.append(lose)


@when("a gateway asks them for {tokens:d} tokens")
def when_gateway_asks(context, tokens):
    async def ask(bench):
        sender = reservations_at(bench, "g1", random.Random(0))
        context.result = await sender.reserve("asked", WORKSPACE, tokens)
        await sender.stop()

    context.acts.append(ask)


@then("the gateway gets the tokens")
def then_gets(context):
    async def check(_bench):
        assert isinstance(context.result, Reservation), context.result

    play_holders(context, check)


@then("no tokens are reserved at any holder")
def then_none_reserved(context):
    assert len(context.reserved) == len(context.bench.holders_by_name), context.reserved
    assert not any(context.reserved), context.reserved
