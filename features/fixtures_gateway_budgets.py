"""Token holders on one store in virtual time, as the scenarios on prepaid tokens need them."""

import asyncio
import random
from collections import Counter

from quinceferry_core.clocks import MachineTime
from quinceferry_core.exceptions import KvConflictError
from quinceferry_gateway.blackboard import Blackboard, Member
from quinceferry_gateway.budgets import BudgetRecord
from quinceferry_gateway.catalog import Configuration, Workspace
from quinceferry_gateway.holder import TokenHolder
from quinceferry_gateway.metrics import Metrics
from quinceferry_gateway.peers import Settlement
from quinceferry_gateway.settings import BudgetSettings
from quinceferry_gateway.shared_budgets import BUDGET_KEY
from quinceferry_lab.virtual_time import VirtualClock
from quinceferry_standins.kv import FakeKv

WORKSPACE = "choir"
MAX_TOKENS = 900
SPENT_AT_ONCE = 2_000
"""Tokens of each request of those that come at an even rate."""


class CountedConnection:
    """A connection to the store that counts writes by what came of them."""

    def __init__(self, connection, counts):
        self._connection = connection
        self._counts = counts

    async def get(self, key):
        """Read one key."""
        return await self._connection.get(key)

    async def put_if(self, key, value, expected_version):
        """Write a key by compare-and-swap."""
        try:
            entry = await self._connection.put_if(key, value, expected_version)
        except KvConflictError:
            self._counts["refused"] += 1
            raise
        self._counts["written"] += 1
        return entry


class Bench:
    """Token holders on one store, in virtual time."""

    def __init__(self, count, prepaid, seed=0):
        self.clock = VirtualClock()
        self.boot_id = "boot"
        self.random = random.Random(seed)
        self.kv = FakeKv(self.clock, random.Random(seed))
        workspace = Workspace(WORKSPACE, prepaid)
        self.configuration = Configuration(1, {}, {}, {WORKSPACE: workspace})
        self.holders_by_name = {}
        self.boards_by_name = {}
        self.open_by_name = {}
        self.prepaid = prepaid
        self.writes = Counter()
        self.metrics = Metrics()
        self.used = 0
        self.used_by_holder = Counter()
        self.underreported = []
        self._check_writes()
        self.next_name = 0
        self.restarts = []
        self.stopped_vms = []
        self.next_request = 0
        self.count = count

    def count_used(self, name, tokens):
        """Count tokens that were used at a holder."""
        self.used += tokens
        self.used_by_holder[name] += tokens

    def _check_writes(self):
        """Check each write that takes effect, its answer lost or not."""
        state = self.kv._service.state
        put_if = state.put_if

        def put_if_checked(now, key, value, expected, lease):
            before = state.get(now, key)
            entry = put_if(now, key, value, expected, lease)
            if key == BUDGET_KEY and before is not None:
                self._check_write(before.value, value)
            return entry

        state.put_if = put_if_checked

    def _check_write(self, before, after):
        """Note a write that removes a holder and counts fewer tokens as spent than it has used."""
        before = BudgetRecord.decode(before).budgets_by_workspace[WORKSPACE]
        after = BudgetRecord.decode(after).budgets_by_workspace[WORKSPACE]
        due = 0
        for name, entry in before.allotments_by_holder.items():
            kept = after.allotments_by_holder.get(name)
            due += (kept.reported if kept else self.used_by_holder[name]) - entry.reported
        new = after.allotments_by_holder.keys() - before.allotments_by_holder.keys()
        due += sum(after.allotments_by_holder[name].reported for name in new)
        if after.spent - before.spent < due:
            self.underreported.append((after.spent - before.spent, due))

    async def fill(self):
        """Start holders until there are as many as there should be."""
        while len(self.holders_by_name) < self.count:
            self.next_name += 1
            await self.add(f"g{self.next_name}", f"g{self.next_name}")
        self.refresh()

    async def add(self, name, vm):
        """Start a holder on a vm."""
        board = Blackboard(Member(name, vm, "z", "", ""))
        board.configuration = self.configuration
        store = CountedConnection(self.kv.connect(name, 0.8), self.writes)
        holder = TokenHolder(
            board,
            store,
            self.clock,
            BudgetSettings(),
            random.Random(name),
            self.machine_time,
            self.metrics,
        )
        self.boards_by_name[name] = board
        self.holders_by_name[name] = holder
        self.open_by_name[name] = {}
        await holder.start()

    def machine_time(self):
        """Return the time on the clocks of all machines, which boot together."""
        seconds = self.clock.monotonic()
        return MachineTime(self.boot_id, seconds, seconds)

    def refresh(self):
        """Tell all holders who lives and whether they reach the store."""
        members = {name: board.own for name, board in self.boards_by_name.items()}
        for name, board in self.boards_by_name.items():
            if board.members_by_incarnation.keys() != members.keys():
                board.members_changed_at = self.clock.monotonic()
            board.members_by_incarnation = members
            cut_off = self.kv.connect(name).faults.outage
            board.store_reachable = not self.kv.faults.outage and not cut_off

    def held(self):
        """Return the tokens that each holder has drawn and not used."""
        holders = self.holders_by_name.values()
        return [holder.held_by_workspace().get(WORKSPACE, 0) for holder in holders]

    def cut(self, names, is_cut=True):
        """Cut some holders off from the store, or end the cut."""
        for name in names:
            self.kv.connect(name).faults.outage = is_cut
        self.refresh()

    async def restart(self, name):
        """Kill a holder and start another one on its vm."""
        vm = self.boards_by_name[name].own.vm
        await self.kill(name)
        self.next_name += 1
        await self.add(f"{vm}-{self.next_name}", vm)
        self.refresh()

    async def restart_all(self, down_seconds=0.0):
        """Kill all holders, and start others on their vms after a time."""
        vms = [board.own.vm for board in self.boards_by_name.values()]
        for name in list(self.holders_by_name):
            await self.kill(name)
        await self.clock.sleep(down_seconds)
        for vm in vms:
            self.next_name += 1
            await self.add(f"{vm}-{self.next_name}", vm)
        self.refresh()

    def begin_restart(self, name, down_seconds):
        """Kill a holder, and start another one on its vm after a time."""
        vm, holder = self.boards_by_name[name].own.vm, self.holders_by_name[name]
        self.remove(name)
        self.restarts.append(asyncio.create_task(self._restart(holder, vm, down_seconds)))

    async def _restart(self, holder, vm, down_seconds):
        await holder.stop()
        await self.clock.sleep(down_seconds)
        await self._start_on(vm)

    def start_again(self):
        """Start holders on the vms of those that have stopped in order."""
        while self.stopped_vms:
            vm = self.stopped_vms.pop()
            self.restarts.append(asyncio.create_task(self._start_on(vm)))

    async def _start_on(self, vm):
        self.next_name += 1
        await self.add(f"{vm}-{self.next_name}", vm)
        self.refresh()

    async def spend(self, tokens_per_second, seconds):
        """Ask for tokens at an even rate, and use all that are granted.

        A request takes what the holder that it reaches has, then what the others have, then what
        that holder draws.

        :return: the share of the requests that got all their tokens.
        """
        pause = SPENT_AT_ONCE / tokens_per_second
        outcomes = []
        for _ in range(round(seconds / pause)):
            self.next_request += 1
            outcomes.append(asyncio.create_task(self._spend_once(f"s{self.next_request}")))
            await self.clock.sleep(pause)
        served = await asyncio.gather(*outcomes)
        return sum(served) / len(served)

    async def _spend_once(self, reservation):
        """Make one request; tell whether it got all its tokens."""
        holders = list(self.holders_by_name.values())
        self.random.shuffle(holders)
        missing = SPENT_AT_ONCE
        parts = []
        for holder in holders:
            reply = holder.reserve(reservation, WORKSPACE, missing)
            parts.append((holder, reservation, reply.reserved))
            missing -= reply.reserved
        if missing and await holders[0].draw_missing(WORKSPACE, missing):
            drawn = f"{reservation}/drawn"
            reply = holders[0].reserve(drawn, WORKSPACE, missing)
            parts.append((holders[0], drawn, reply.reserved))
            missing -= reply.reserved
        for holder, part, tokens in parts:
            holder.settle(Settlement(part, WORKSPACE, 0 if missing else tokens))
        return not missing

    async def request_drawing(self, number):
        """Reserve, with tokens drawn for the request where some are missing; settle as well."""
        name = self.random.choice(list(self.holders_by_name))
        holder = self.holders_by_name[name]
        tokens = self.random.randint(1, 5 * MAX_TOKENS)
        missing = tokens - holder.reserve(f"d{number}", WORKSPACE, tokens).reserved
        if missing and await holder.draw_missing(WORKSPACE, missing):
            assert holder.reserve(f"d{number}/drawn", WORKSPACE, missing).reserved == missing
            self.count_used(name, missing)
            holder.settle(Settlement(f"d{number}/drawn", WORKSPACE, missing))
        holder.settle(Settlement(f"d{number}", WORKSPACE, 0))
        await self.request(number)

    async def request(self, number):
        """Reserve at some holder, and settle some earlier request."""
        name = self.random.choice(list(self.holders_by_name))
        holder, opened = self.holders_by_name[name], self.open_by_name[name]
        tokens = self.random.randint(1, MAX_TOKENS)
        reply = holder.reserve(f"r{number}", WORKSPACE, tokens)
        if reply.reserved:
            opened[f"r{number}"] = reply.reserved
        if opened and self.random.random() < 0.8:
            key = self.random.choice(list(opened))
            used = self.random.randint(0, opened.pop(key))
            self.count_used(name, used)
            holder.settle(Settlement(key, WORKSPACE, used))

    async def kill(self, name):
        """End a holder at once; what it had reserved was used."""
        await self.holders_by_name[name].stop()
        self.remove(name)

    async def end(self, name, times=1):
        """Stop a holder in order; its tokens go to the store or to another holder."""
        holder = self.holders_by_name[name]
        vm = self.boards_by_name[name].own.vm
        returned = await holder.return_tokens()
        if name not in self.holders_by_name:
            return
        self.stopped_vms.append(vm)
        self.remove(name)
        if returned or not self.holders_by_name:
            return
        await holder.wait_for_end_of_limits()
        if not self.holders_by_name:
            return
        heir = self.holders_by_name[self.random.choice(list(self.holders_by_name))]
        for _ in range(times):
            heir.inherit(holder.inherit_request())

    def remove(self, name):
        """Forget a holder; what it had reserved was used."""
        self.count_used(name, sum(self.open_by_name.pop(name).values()))
        del self.holders_by_name[name]
        del self.boards_by_name[name]
        self.refresh()

    async def record(self):
        """Return the budget in the record."""
        self.kv.faults.clear()
        entry = await self.kv.connect("test").get(BUDGET_KEY)
        return BudgetRecord.decode(entry.value).budgets_by_workspace[WORKSPACE]

    async def close(self):
        """End all holders."""
        await asyncio.gather(*self.restarts)
        for holder in self.holders_by_name.values():
            await holder.stop()
