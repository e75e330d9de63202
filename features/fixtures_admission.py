"""Fleets of routers under load, for tests of routing and admission."""

import asyncio
from dataclasses import dataclass, field

from fixtures_routing import MODEL, Answer, Router, Site, request

from quinceferry_core.adapters import LoadReport
from quinceferry_core.exceptions import UpstreamLostError
from quinceferry_core.membership import Member
from quinceferry_core.models import IncarnationId, UpstreamId, VmId
from quinceferry_lab.virtual_time import VirtualClock, run_virtual
from quinceferry_standins.engine_settings import EngineSettings

IDLE_REPORT = LoadReport(0, 0, 0, 16, (MODEL,))
GOSSIP_SECONDS = 0.5


@dataclass
class ReportFaults:
    """Client that alters the load reports of one engine."""

    inner: object
    upstream: UpstreamId = UpstreamId("e0")
    stuck_at_zero: bool = False
    lost_from: float = float("inf")

    def __getattr__(self, name):
        return getattr(self.inner, name)

    async def load(self, spec):
        """Return the report, unless it is stuck or lost."""
        if spec.id != self.upstream:
            return await self.inner.load(spec)
        if VirtualClock().monotonic() >= self.lost_from:
            raise UpstreamLostError("no answer")
        report = await self.inner.load(spec)
        return IDLE_REPORT if self.stuck_at_zero else report


@dataclass
class Fleet:
    """Routers before the same engines, which tell each other what heartbeats carry."""

    site: Site
    routers: list[Router]
    answers: list[Answer] = field(default_factory=list)
    first_sign: float | None = None

    @classmethod
    def build(cls, routers: int, engines: int, router=Router) -> "Fleet":
        """Build routers ``r0``, ``r1`` and so on."""
        site = Site.build(engines, EngineSettings(models=(MODEL,)))
        built = [router(site, f"r{n}", seed=n, wrap=ReportFaults) for n in range(routers)]
        fleet = cls(site, built)
        fleet.gossip()
        return fleet

    def run(self, work):
        """Run a coroutine function between start and stop of all routers."""

        async def started():
            await asyncio.gather(*(router.start() for router in self.routers))
            gossip = asyncio.create_task(self._gossip_forever())
            try:
                return await work()
            finally:
                gossip.cancel()
                await asyncio.gather(*(router.stop() for router in self.routers))

        return run_virtual(started())

    def gossip(self) -> None:
        """Show every router the heartbeat records of all."""
        members = [self._member(router) for router in self.routers]
        for router in self.routers:
            router.blackboard.members_by_incarnation = {m.incarnation: m for m in members}

    async def serve(self, router: Router, wanted) -> Answer:
        """Admit a request and stream its answer."""
        admitted = await router.scheduler.admit(wanted, 1)
        permit = admitted.unwrap()
        try:
            answer = await router.answer(wanted)
        finally:
            permit.release()
        self.answers.append(answer)
        return answer

    async def steady_load(self, seconds: float, interval: float) -> None:
        """Send requests at even times through the routers in turn."""
        tasks = []
        for number in range(int(seconds / interval)):
            router = self.routers[number % len(self.routers)]
            wanted = request(f"r{number}", output_tokens=30)
            tasks.append(asyncio.create_task(self.serve(router, wanted)))
            await asyncio.sleep(interval)
        await asyncio.gather(*tasks)

    async def _gossip_forever(self) -> None:
        while True:
            self.gossip()
            if self.first_sign is None and any(
                r.blackboard.leaving_upstreams for r in self.routers
            ):
                self.first_sign = VirtualClock().monotonic()
            await asyncio.sleep(GOSSIP_SECONDS)

    def _member(self, router: Router) -> Member:
        leaving = tuple(router.blackboard.leaving_upstreams)
        name = router.name
        return Member(IncarnationId(name), VmId(name), "a", name, 1, leaving_upstreams=leaving)
