"""Requests that several routers serve, played as the acts of one scene."""

from features.fixtures_routers import Fleet
from quinceferry_core.models import IncarnationId
from quinceferry_lab.virtual_time import run_virtual
from quinceferryd.settings import JournalSettings

BILL_SECONDS = 2
DEAD = IncarnationId("dead-1")


class Scene:
    """Acts of one scenario, played in one virtual run before each check."""

    def __init__(self, routers, budget, journal=None):
        self.journal = journal or JournalSettings()
        self.routers = routers
        self.budget = budget
        self.acts = []

    def play(self, check):
        async def scene():
            fleet = Fleet(self.routers, self.budget, journal=self.journal)
            await fleet.start()
            fleet.last = None
            fleet.sent = {}
            for act in self.acts:
                await act(fleet)
            await check(fleet)
            await fleet.stop()

        run_virtual(scene())


def add_act(context, act):
    context.scene.acts.append(act)


async def send(fleet, router, request):
    fleet.sent[request.request_id] = request
    fleet.last = request
    return await fleet.ask(router, request)
