"""Processes of the demo: a stand-in platform, upstreams and three routers in three zones."""

import asyncio
import secrets
import socket
import sys
from dataclasses import dataclass, field
from pathlib import Path

from quinceferry import OperatorClient, RequestError, RetryPolicy
from quinceferry_core.operator_messages import GetStatus
from quinceferry_core.operator_replies import StatusReply
from quinceferry_lab.child_processes import ChildFailedError, ChildProcess, ChildProcesses

ZONES = ("zone-a", "zone-b", "zone-c")
MODELS = ("ledger-large", "fleet-large")
SERVICE = "postings"
HOST = "127.0.0.1"
ANSWER_TTL_SECONDS = 4.0
"""Short, so that the graceful stop in the middle of the demo does not wait long."""
READY_TIMEOUT_SECONDS = 30.0
POLL_SECONDS = 0.1

_SETTINGS = """\
[router]
vm = "vm-{zone}"
zone = "{zone}"
host = "{host}"
port = {port}
fleet_secret = "{fleet_secret}"
operator_key = "{operator_key}"

[platform]
kv_url = "{platform}"
vm_list_url = "{platform}"

[addresses]
answer_ttl_seconds = {answer_ttl_seconds}
"""


@dataclass(slots=True)
class DemoFleet:
    """All processes of the demo, and the keys to them."""

    children: ChildProcesses
    folder: Path
    operator_key: str = field(default_factory=lambda: secrets.token_hex(16))
    fleet_secret: str = field(default_factory=lambda: secrets.token_hex(16))
    platform: ChildProcess | None = None
    engines_by_name: dict[str, ChildProcess] = field(default_factory=dict)
    services_by_name: dict[str, ChildProcess] = field(default_factory=dict)
    routers_by_zone: dict[str, ChildProcess] = field(default_factory=dict)

    @property
    def router_urls(self) -> list[str]:
        """Return the base URLs of all routers, stopped or not."""
        return [router.url for router in self.routers_by_zone.values()]

    async def start(self) -> None:
        """Start everything and wait until each router serves."""
        await self._start_platform()
        await self._start_upstreams()
        for zone in ZONES:
            await self._start_router(zone)
        await asyncio.gather(*(self._wait_serving(router) for router in self._routers()))

    async def status(self, router: ChildProcess) -> StatusReply:
        """Read a router's status."""
        policy = RetryPolicy(max_attempts=1)
        async with OperatorClient([router.url], self.operator_key, policy=policy) as client:
            return await client.call(GetStatus())

    async def _start_platform(self) -> None:
        """Start the key-value service, the VM list and the weight store."""
        vms = [text for zone in ZONES for text in ("--vm", f"vm-{zone}={zone}")]
        self.platform = await self._start("platform", "platform_server", *vms)

    async def _start_upstreams(self) -> None:
        """Start one engine in each zone, of which one checks fencing numbers, and a service."""
        for index, zone in enumerate(ZONES):
            name = f"engine-{zone}"
            options = ["--id", name, "--models", ",".join(MODELS), "--step-seconds", "0.01"]
            if index == 0:
                options.append("--checks-fencing")
            self.engines_by_name[name] = await self._start(name, "engine_server", *options)
        name = f"{SERVICE}-1"
        self.services_by_name[name] = await self._start(name, "service_server", "--id", name)

    async def _start(self, name: str, module: str, *options: str) -> ChildProcess:
        """Start a stand-in."""
        command = (sys.executable, "-m", f"quinceferry_standins.{module}", *options)
        return await self.children.start(name, *command, announces=True)

    async def _start_router(self, zone: str) -> None:
        """Write a router's settings and start it."""
        port = _free_port()
        path = self.folder / f"{zone}.toml"
        path.write_text(
            _SETTINGS.format(
                zone=zone,
                host=HOST,
                port=port,
                fleet_secret=self.fleet_secret,
                operator_key=self.operator_key,
                platform=self.platform.url,
                answer_ttl_seconds=ANSWER_TTL_SECONDS,
            )
        )
        daemon = str(Path(sys.executable).with_name("quinceferryd"))
        router = await self.children.start(f"router-{zone}", daemon, "--config", str(path))
        router.url = f"http://{HOST}:{port}"
        self.routers_by_zone[zone] = router

    async def _wait_serving(self, router: ChildProcess) -> None:
        """Wait until a router takes requests."""
        for _ in range(int(READY_TIMEOUT_SECONDS / POLL_SECONDS)):
            if not router.running:
                raise ChildFailedError(f"{router.name} ended with {router.process.returncode}")
            try:
                status = await self.status(router)
                if status.state == "serving":
                    return
            except RequestError:
                pass
            await asyncio.sleep(POLL_SECONDS)
        raise ChildFailedError(f"{router.name} does not serve")

    def _routers(self) -> list[ChildProcess]:
        """Return all routers."""
        return list(self.routers_by_zone.values())


def _free_port() -> int:
    """Return a port that is free now."""
    with socket.create_server((HOST, 0)) as listener:
        return listener.getsockname()[1]
