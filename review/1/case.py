"""Takes away the API keys, two at a time, and checks that no request without a valid key runs."""

import asyncio
import itertools
import json
import os
import signal
import sys
import tempfile
from dataclasses import dataclass
from pathlib import Path

from standins import Gateway, Record, Runner, Store, ask

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
TENANTS = [f"tenant-{number}" for number in range(10)]
KEY_BY_TENANT = {tenant: f"key-of-{tenant}" for tenant in TENANTS}
UNKNOWN_KEY = "key-that-no-configuration-held"
ZONES = ("hall-a", "hall-b", "hall-c")
CONFIG_SECONDS = 2.0
"""config_ms of the small sites."""
REVOKED_AT_ONCE = 2
REVOKE_GAP_SECONDS = 1.5
CALM_SECONDS = 4.0
LAST_SECONDS = 8.0
PAUSE_SECONDS = 0.25
"""Time between two requests of one client."""


@dataclass(slots=True, frozen=True)
class Sent:
    """A request of a client."""

    key: str
    at: float


class Case:
    """All parts of the case, and what its clients sent."""

    def __init__(self, folder: Path, record: Record) -> None:
        self.record = record
        self.store = Store()
        self.folder = folder
        self.runners: list[Runner] = []
        self.gateways: list[Gateway] = []
        self.sent_by_id: dict[str, Sent] = {}
        self.removed_at_by_key: dict[str, float] = {}
        self.statuses: dict[str, int] = {}
        self._numbers = itertools.count(1)
        self._version = 3

    async def start(self) -> None:
        """Start the stand-ins and the gateways, and wait until all are ready."""
        await self.store.start()
        self._configure(KEY_BY_TENANT)
        for number, zone in enumerate(ZONES):
            runner = Runner(f"app-{number}", "kassa-app", zone, self.store, self.record)
            self.runners.append(runner)
            await runner.start()
        for zone in ZONES:
            gateway = Gateway(f"front-{zone}-1", zone, self.folder, self.store.server.address)
            self.gateways.append(gateway)
            await gateway.start()
        for gateway in self.gateways:
            await gateway.wait_ready()

    async def stop(self) -> None:
        """End all processes and stand-ins."""
        await asyncio.gather(*(gateway.end() for gateway in self.gateways))
        for runner in self.runners:
            await runner.stop()
        await self.store.server.stop()

    async def play(self) -> None:
        """Let all clients send while the operator takes keys away."""
        clients = [asyncio.create_task(self._send_forever(key)) for key in KEY_BY_TENANT.values()]
        clients.append(asyncio.create_task(self._send_forever(UNKNOWN_KEY)))
        await asyncio.sleep(CALM_SECONDS)
        if TROUBLE:
            await self._revoke_all()
        else:
            await asyncio.sleep(REVOKE_GAP_SECONDS * len(TENANTS) / REVOKED_AT_ONCE)
        await asyncio.sleep(LAST_SECONDS)
        for client in clients:
            client.cancel()
        await asyncio.gather(*clients, return_exceptions=True)
        await asyncio.sleep(1.0)

    def broken(self) -> dict[str, list[str]]:
        """Return the requests that ran against a rule, by rule."""
        found: dict[str, list[str]] = {"ROUTE": [], "CONFIG": [], "UNASKED": []}
        for runner in self.runners:
            for run in runner.runs:
                sent = self.sent_by_id[run.request_id]
                removed_at = self.removed_at_by_key.get(sent.key)
                if sent.key == UNKNOWN_KEY:
                    found["ROUTE"].append(run.request_id)
                elif KEY_BY_TENANT.get(run.tenant) != sent.key:
                    found["UNASKED"].append(run.request_id)
                if removed_at is not None and sent.at > removed_at + CONFIG_SECONDS:
                    found["CONFIG"].append(run.request_id)
        return found

    async def _revoke_all(self) -> None:
        """Take the keys away, some with each version, until none is left."""
        keys = dict(KEY_BY_TENANT)
        while keys:
            for tenant in list(keys)[:REVOKED_AT_ONCE]:
                del keys[tenant]
            self._configure(keys)
            now = self.record.now()
            for key in set(KEY_BY_TENANT.values()) - set(keys.values()):
                self.removed_at_by_key.setdefault(key, now)
            await asyncio.sleep(REVOKE_GAP_SECONDS)

    def _configure(self, keys: dict[str, str]) -> None:
        """Write a new version of the configuration with these keys."""
        self._version += 4
        common = {"host": "books.example", "timeout_ms": 1200, "slo_ms": 150, "priority": 2}
        common |= {"service": "kassa-app", "anonymous": False}
        routes = [
            {**common, "name": "dues", "prefix": "/dues/", "kind": "unsafe", "attempts": 1},
            {**common, "name": "ledger", "prefix": "/ledger/", "kind": "safe", "attempts": 2},
        ]
        tenants = [
            {"name": name, "api_keys": [keys[name]] if name in keys else [], "prepaid": 1_000_000}
            for name in TENANTS
        ]
        limits = {"max_header_bytes": 16384, "max_body_bytes": 4194304}
        limits |= {"header_timeout_ms": 3000, "idle_timeout_ms": 15000}
        document = {"version": self._version, "routes": routes, "tenants": tenants}
        document |= {"services": [{"name": "kassa-app"}], "limits": limits}
        self.store.put("op/config", json.dumps(document).encode())
        self.record.write(f"operator: version {self._version} is acknowledged, {len(keys)} keys")

    async def _send_forever(self, key: str) -> None:
        """Send requests with one key, to the gateways in turn."""
        for number in itertools.count():
            await self._send(key, self.gateways[number % len(self.gateways)])
            await asyncio.sleep(PAUSE_SECONDS)

    async def _send(self, key: str, gateway: Gateway) -> None:
        """Send one request and record its answer."""
        request_id = f"r{next(self._numbers):05d}"
        method, path = ("POST", "/dues/1") if int(request_id[1:]) % 2 else ("GET", "/ledger/1")
        headers = {"X-Quinceferry-Request-Id": request_id, "X-Quinceferry-Credential": key}
        headers["X-Quinceferry-Deadline-Ms"] = "2500"
        at = self.record.write(f"client sends {request_id} with {key} to {gateway.vm}")
        self.sent_by_id[request_id] = Sent(key, at)
        try:
            answer = await ask(gateway.address("callers"), method, path, headers)
        except OSError as error:
            answer = None
            self.record.write(f"client has no channel for {request_id}: {error}")
        status = answer.start.split()[1] if answer else "none"
        self.statuses[status] = self.statuses.get(status, 0) + 1
        self.record.write(f"client gets {status} for {request_id}")


async def main(folder: Path) -> int:
    """Play the case; return 1 if a rule was broken, 0 if not, 2 if the case could not run."""
    record = Record(Path(__file__).with_name("record.txt"))
    case = Case(folder, record)
    # An interrupted run still ends the gateways that it started.
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, asyncio.current_task().cancel)
    try:
        await case.start()
        await case.play()
    except (OSError, TimeoutError, asyncio.CancelledError) as error:
        record.write(f"the case could not run: {error!r}")
        return 2
    finally:
        await case.stop()
    if not case.statuses.get("200"):
        record.write("the case could not run: no request was served")
        return 2
    broken = case.broken()
    for rule, request_ids in broken.items():
        record.write(f"{rule}: {len(request_ids)} requests ran against it {request_ids[:5]}")
    summary = ", ".join(f"{rule} {len(ids)}" for rule, ids in broken.items())
    print(f"trouble {int(TROUBLE)}: answers {case.statuses}; runs against a rule: {summary}")
    return 1 if any(broken.values()) else 0


if __name__ == "__main__":
    with tempfile.TemporaryDirectory() as name:
        sys.exit(asyncio.run(main(Path(name))))
