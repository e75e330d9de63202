"""Steps for reservations whose caller leaves."""

import asyncio
import random

from behave import then, when

from features.fixtures_gateway_budgets import WORKSPACE, Bench
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
    """Calls holders with delays; a call or its reply may be lost."""

    def __init__(self, holders_by_vm, clock, rng):
        self.holders_by_vm = holders_by_vm
        self.clock = clock
        self.rng = rng

    async def reserve(self, peer, request, timeout_seconds):
        """Reserve tokens at a holder; a call that times out may still take effect."""

        async def call():
            await self.clock.sleep(self.rng.uniform(0.0, MAX_DELAY_SECONDS))
            reply = await self.holders_by_vm[peer.vm].reserve_for_request(request)
            await self.clock.sleep(self.rng.uniform(0.0, MAX_DELAY_SECONDS))
            if self.rng.random() < LOST_SHARE:
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
        await self.clock.sleep(self.rng.uniform(0.0, MAX_DELAY_SECONDS))
        for settlement in request.settlements:
            self.holders_by_vm[peer.vm].settle(settlement)
        if self.rng.random() < LOST_SHARE:
            raise PeerError("no answer", step="settle", peer=peer.vm, sent=True)


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
            for account in holder._accounts_by_workspace.values()
        ]
        for part in (*senders, *bench.holders_by_name.values()):
            await part.stop()

    run_virtual(play())


@then("no tokens are reserved at any holder")
def then_none_reserved(context):
    assert len(context.reserved) == len(context.bench.holders_by_name), context.reserved
    assert not any(context.reserved), context.reserved
