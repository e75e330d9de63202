"""One router process of a simulated fleet."""

import asyncio
from random import Random

from quinceferry_core.clocks import Clock
from quinceferry_lab.edges import Edge
from quinceferry_lab.gates import Gate, GateState
from quinceferry_lab.histories import History
from quinceferry_lab.network import Network
from quinceferry_lab.network_peers import NetworkPeers
from quinceferry_lab.platform_links import GatedKv, GatedUpstreams, GatedVmList
from quinceferry_standins.kv import FakeKv
from quinceferry_standins.upstreams import FakeUpstreams
from quinceferry_standins.vms import FakeVmList
from quinceferryd.application import Application, Dependencies
from quinceferryd.blackboard import RouterState
from quinceferryd.settings import Settings


class RouterProcess:
    """The real application behind a gate.

    :param label: name of the process; a VM's processes differ in it.
    :param upstreams: the connections of the VM to all upstreams.
    """

    def __init__(
        self,
        label: str,
        settings: Settings,
        clock: Clock,
        kv: FakeKv,
        vms: FakeVmList,
        upstreams: FakeUpstreams,
        network: Network,
        rng: Random,
        history: History,
    ) -> None:
        self.label = label
        self.name = settings.router.vm
        self.zone = settings.router.zone
        self.address = f"{settings.router.host}:{settings.router.port}"
        self.gate = Gate(label)
        self.listening = False
        self.stopping = False
        dependencies = Dependencies(
            clock=clock,
            kv=GatedKv(self.gate, kv.connect(self.name)),
            vms=GatedVmList(self.gate, vms.connect(self.name)),
            upstreams=GatedUpstreams(self.gate, upstreams),
            peers=NetworkPeers(self, network),
            rng=rng,
        )
        self.application = self.gate.context().run(Application, settings, dependencies)
        self.edge = Edge(label, self.application, history)
        self._network = network

    @property
    def alive(self) -> bool:
        """Return whether the process exists."""
        return self.gate.state in (GateState.OPEN, GateState.PAUSED)

    @property
    def serving(self) -> bool:
        """Return whether the process takes requests now."""
        is_open = self.gate.state is GateState.OPEN and self.listening
        return is_open and self.application.blackboard.state is RouterState.SERVING

    def start(self) -> None:
        """Listen and start the application."""
        self._network.endpoints_by_address[self.address] = self
        self.listening = True
        self.gate.spawn(self.application.start(), f"start {self.label}")

    async def stop(self) -> None:
        """Stop gracefully, then end the process; returns early if it is killed."""
        self.stopping = True
        stopping = self.gate.spawn(self.application.stop(), f"stop {self.label}")
        killed = asyncio.create_task(self.gate.ended.wait())
        await asyncio.wait({stopping, killed}, return_when=asyncio.FIRST_COMPLETED)
        killed.cancel()
        if self.alive:
            self.exit()

    def exit(self) -> None:
        """End the process; the connections still open break as the host closes them."""
        self.listening = False
        self._network.end_connections(self.label)
        self.gate.kill()

    def kill(self, silent: bool) -> None:
        """End the process without warning.

        :param silent: the whole host is gone, so that open connections stay silent.
        """
        self.listening = False
        if silent:
            self._network.silence_all(self.name)
        else:
            self._network.break_connections(self.name)
        self.gate.kill()
