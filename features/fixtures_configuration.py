"""Random faults against the configuration of a fleet, with a continuous check."""

import asyncio
import random

import msgspec

from quinceferry_core.changes import PutWorkspace
from quinceferry_core.exceptions import KvUnavailableError, LeaseLostError
from quinceferry_core.membership import member_key
from quinceferry_core.models import WorkspaceSpec
from quinceferryd.blackboard import RouterState
from quinceferryd.configuration_log import LOG_STATE_KEY, LogState

CHECK_SECONDS = 0.05
HEAL_SECONDS = 180.0
MAY_SERVE = (RouterState.SERVING, RouterState.STOPPING)


class FaultyRun:
    """Draws faults and changes from a seed and compares every router with what is accepted."""

    def __init__(self, fleet, seed):
        self._fleet = fleet
        self._rng = random.Random(seed)
        self._applied_by_vm = {}
        self._operations = 0
        self.missing = []
        self.reverted = []
        self.accepted_seen = 0

    async def run(self, seconds):
        for router in self._fleet.routers_by_vm.values():
            router.membership.mark_listening()
        tasks = [asyncio.create_task(work) for work in (self._strike(), self._operate())]
        await self._check_for(seconds)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def heal(self):
        self._fleet.kv.faults.clear()
        for router in self._fleet.routers_by_vm.values():
            router.kv.faults.clear()
            router.clock.resume()
        await self._fleet.clock.sleep(HEAL_SECONDS)

    async def _check_for(self, seconds):
        ends_at = self._fleet.clock.monotonic() + seconds
        while self._fleet.clock.monotonic() < ends_at:
            await self._fleet.clock.sleep(CHECK_SECONDS)
            self._check()

    def _check(self):
        """Compare all routers with the accepted revision, read past every fault."""
        now = self._fleet.clock.monotonic()
        stored = self._fleet.kv._service.state.get(now, LOG_STATE_KEY)
        log_state = msgspec.json.decode(stored.value, type=LogState) if stored else None
        accepted = log_state.accepted if log_state else 0
        if accepted < self.accepted_seen:
            self.reverted.append(("fleet", self.accepted_seen, accepted))
        self.accepted_seen = max(self.accepted_seen, accepted)
        for vm, router in self._fleet.routers_by_vm.items():
            if router.blackboard.state in MAY_SERVE and router.applied < accepted:
                self.missing.append((now, vm, router.applied, accepted))
            if router.applied < self._applied_by_vm.get(vm, 0):
                self.reverted.append((now, vm, router.applied))
            self._applied_by_vm[vm] = router.applied

    async def _operate(self):
        while True:
            await self._fleet.clock.sleep(self._rng.uniform(0.2, 3.0))
            self._operations += 1
            asyncio.create_task(self._propose(f"op-{self._operations}"))

    async def _propose(self, operation):
        router = self._rng.choice(list(self._fleet.routers_by_vm.values()))
        workspace = f"ws-{self._rng.randrange(3)}"
        change = PutWorkspace(WorkspaceSpec(workspace, key_hashes=(operation,)))
        try:
            await router.configuration.propose(change, router.applied, operation, operation)
        except KvUnavailableError:
            return

    async def _strike(self):
        faults = [self._pause, self._cut_off, self._lose, self._restart, self._close, self._slow]
        while True:
            await self._fleet.clock.sleep(self._rng.uniform(2.0, 8.0))
            asyncio.create_task(self._rng.choice(faults)())

    def _any_router(self):
        return self._rng.choice(list(self._fleet.routers_by_vm.values()))

    async def _pause(self):
        router = self._any_router()
        router.clock.pause()
        await self._fleet.clock.sleep(self._rng.uniform(1.0, 30.0))
        router.clock.resume()

    async def _cut_off(self):
        faults = self._rng.choice([self._fleet.kv.faults, self._any_router().kv.faults])
        faults.outage = True
        await self._fleet.clock.sleep(self._rng.uniform(1.0, 20.0))
        faults.outage = False

    async def _lose(self):
        faults = self._any_router().kv.faults
        faults.lose_probability = 0.5
        await self._fleet.clock.sleep(self._rng.uniform(1.0, 10.0))
        faults.lose_probability = 0.0

    async def _slow(self):
        faults = self._any_router().kv.faults
        faults.extra_latency_seconds = 1.0
        await self._fleet.clock.sleep(self._rng.uniform(1.0, 10.0))
        faults.extra_latency_seconds = 0.0

    async def _restart(self):
        """Kill one router's process and start another on the same VM and address."""
        vm, old = self._rng.choice(list(self._fleet.routers_by_vm.items()))
        await old.kill()
        seed = int(old.blackboard.identity.address.split(":")[0].rpartition(".")[2])
        router = self._fleet.router_class(self._fleet, vm, seed)
        router.kv.faults.clear()
        self._fleet.routers_by_vm[vm] = router
        self._applied_by_vm.pop(vm, None)
        await router.start()
        router.membership.mark_listening()

    async def _close(self):
        """Close an incarnation whose lease has lapsed, as a recovering router does."""
        now = self._fleet.clock.monotonic()
        for router in self._fleet.routers_by_vm.values():
            key = member_key(router.incarnation)
            if router.incarnation and self._fleet.kv._service.state.get(now, key) is None:
                try:
                    await self._fleet.close_incarnation(router.incarnation, "vm-1-1")
                except (KvUnavailableError, LeaseLostError, AttributeError):
                    return
