"""Steps for gateway processes whose configuration has malformed entries."""

import asyncio
import contextlib
import json
import tempfile
import time
from collections import deque
from pathlib import Path

from behave import given, then, when

from features.fixtures_gateway import KEY, configuration, free_address
from features.steps.gateway_malformed_configurations import replaced
from quinceferry_gateway import HttpClient, HttpListener
from quinceferry_gateway.exceptions import ConnectionBrokenError, NotSentError
from quinceferry_lab.gateway_processes import GatewayProcess
from quinceferry_standins.managed_store import ManagedStore
from quinceferry_standins.managed_upstream import Answered, ManagedUpstream

GRACE_SECONDS = 8.0
REQUEST_SECONDS = 2.0
CHECK_SECONDS = 0.1
MAX_REQUESTS = 20_000
PUBLIC_ROUTE = {"name": "public", "prefix": "/public/", "kind": "safe", "service": "app"} | {
    "host": "books.example",
    "timeout_ms": 2000,
    "slo_ms": 500,
    "anonymous": True,
}


class ProcessFleet:
    """Gateway processes on one platform, with steps that are played in order.

    ``served_revoked`` are the times at which a revoked key was served.
    """

    def __init__(self, count):
        self.count = count
        self.acts = []
        self.served_revoked = []
        self.revoked_at = float("inf")
        self._requests = 0

    def play(self):
        """Start everything, play all acts and end what still runs."""
        asyncio.run(self._play())

    async def _play(self):
        self.http = HttpClient()
        self.store = ManagedStore()
        upstream = ManagedUpstream("app-1", deque([Answered()] * MAX_REQUESTS))
        async with contextlib.AsyncExitStack() as stack:
            folder = Path(stack.enter_context(tempfile.TemporaryDirectory()))
            store_address = free_address()
            for part in (HttpListener(self.store, store_address, 5.0), upstream):
                await part.start()
                stack.push_async_callback(part.stop)
            await self.publish(self.document(1))
            await self.store.register_upstream(upstream, "app", zone="zone-0")
            self.gateways = [
                GatewayProcess.create(
                    f"vm-{number}", f"zone-{number}", store_address, folder, GRACE_SECONDS
                )
                for number in range(self.count)
            ]
            for gateway in self.gateways:
                stack.push_async_callback(gateway.kill)
                await gateway.start()
            for gateway in self.gateways:
                await gateway.wait_ready(self.http)
            for act in self.acts:
                await act()

    @staticmethod
    def document(version):
        """Return the operators' document, with a route that needs no key."""
        document = configuration(version)
        document["routes"].append(PUBLIC_ROUTE)
        return document

    async def publish(self, document):
        """Write the operators' document."""
        await self.store.put("op/config", json.dumps(document).encode())

    async def ask(self, gateway, path, key):
        """Return the status of an answer, 0 without one."""
        self._requests += 1
        headers = [
            (b"host", b"books.example"),
            (b"x-quinceferry-request-id", f"r{self._requests}".encode()),
            (b"x-quinceferry-credential", key.encode()),
        ]
        try:
            reply = await self.http.fetch(
                gateway.address("callers"), b"GET", path, headers, timeout_seconds=REQUEST_SECONDS
            )
        except (NotSentError, ConnectionBrokenError):
            return 0
        return reply.status

    async def answers(self):
        """Return the statuses for no valid key and for an anonymous route, of each process."""
        found = []
        for gateway in self.gateways:
            asked_at = time.monotonic()
            if await self.ask(gateway, b"/get/a", KEY) == 200:
                self.served_revoked.append(asked_at)
            unknown = await self.ask(gateway, b"/get/a", "key-that-never-was")
            found.append((unknown, await self.ask(gateway, b"/public/a", "any")))
        return found

    async def expect(self, seconds):
        """Check that all processes soon answer as they should, and then go on to do so."""
        expected = [(401, 200)] * self.count
        ends_at = time.monotonic() + seconds
        while await self.answers() != expected:
            assert time.monotonic() < ends_at, await self.answers()
            await asyncio.sleep(CHECK_SECONDS)
        for _ in range(10):
            found = await self.answers()
            assert found == expected, found
            await asyncio.sleep(CHECK_SECONDS)

    async def restart(self, count):
        """Kill some processes and start them again."""
        for gateway in self.gateways[:count]:
            await gateway.kill()
        for gateway in self.gateways[:count]:
            await gateway.start()


@given("{count:d} gateway processes that know each other")
def given_processes(context, count):
    context.processes = ProcessFleet(count)


@when("the operators revoke all keys by a version with {path} = {value}")
def when_revoked(context, path, value):
    fleet = context.processes

    async def revoke():
        document = fleet.document(2)
        document["tenants"][0]["api_keys"] = []
        await fleet.publish(replaced(document, path, json.loads(value)))
        fleet.revoked_at = time.monotonic()

    fleet.acts.append(revoke)


@when("the operators write a document that is cut short")
def when_cut_short(context):
    fleet = context.processes

    async def write():
        whole = json.dumps(fleet.document(2)).encode()
        await fleet.store.put("op/config", whole[: len(whole) // 2])

    fleet.acts.append(write)


@when("one of the processes is killed and started again")
def when_one_killed(context):
    fleet = context.processes
    fleet.acts.append(lambda: fleet.restart(1))


@when("all of the processes are killed and started again")
def when_all_killed(context):
    fleet = context.processes
    fleet.acts.append(lambda: fleet.restart(fleet.count))


@then(
    "within {seconds:d} seconds each process answers 401 without a valid key, and 200 on an "
    "anonymous route"
)
def then_answers(context, seconds):
    fleet = context.processes
    fleet.acts.append(lambda: fleet.expect(seconds))


@then("none of the processes served a revoked key after these {seconds:d} seconds")
def then_not_served(context, seconds):
    fleet = context.processes
    fleet.play()
    late = [at for at in fleet.served_revoked if at > fleet.revoked_at + seconds]
    assert not late, len(late)


@then("the processes answered as described")
def then_as_described(context):
    context.processes.play()
