"""Overload of upstreams with few slots, before gateways as real processes.

Callers send requests at given times, whether earlier ones have been answered or not, and come back
once after a refusal. At some time the upstreams announce how many rejections a second they bear, or
how many requests a second they accept; from then on they are held to it.
"""

import asyncio
import json
import random
import tempfile
import time
from collections import Counter, deque
from contextlib import AsyncExitStack, suppress
from dataclasses import dataclass, field
from pathlib import Path

import click

from quinceferry_gateway import HttpClient, HttpListener
from quinceferry_gateway.exceptions import ConnectionBrokenError, NotSentError
from quinceferry_lab.gateway_processes import GatewayProcess, create_gateways, free_port
from quinceferry_lab.soak_callers import HOST, KEY, caller_headers
from quinceferry_standins.managed_store import ManagedStore
from quinceferry_standins.managed_upstream import Answered
from quinceferry_standins.slotted_upstream import SlottedUpstream

GRACE_SECONDS = 8.0
CALLER_SECONDS = 3.0
OBJECTIVE_SECONDS = 0.4
RETRY_TIME_SHARE = 1 / 3
"""Longest retry time that callers observe, as a share of the time that they have left."""
CONTACT_SECONDS = 3.0
"""Time from an announcement until upstreams are held to it."""
RATE_WINDOW_SECONDS = 4.0
RATE_EXCESS = 1.5
RATE_SLACK = 5
"""All gateways together may exceed a rate limit by this factor, and by so many requests, in a
window."""
FAILED_SHARE = 0.1
FAILED_SLACK = 2
"""Upstreams of a service may fail so often: this share of their number, and some more."""
LISTED_SECONDS = 3.6
"""Time for which a crashed upstream stays in the list."""
REPLACED_SECONDS = 4.5
"""Time from a crash until another lifetime of the upstream starts."""
WARM_UP_SECONDS = 2.0
RUNNING_SECONDS = (0.5, 2.0)
STALLED_SECONDS = (0.2, 1.2)
"""Bounds of the times for which a stalled gateway runs and stands still in turns."""
ZONES = 4


@dataclass(slots=True, frozen=True)
class Scenario:
    """What is played; times are in seconds, rates in requests a second.

    :param announced: the header about rejections, empty for none.
    :param max_rejections: rejections a second that an upstream bears.
    :param rate_limit: the rate limit header of the first upstream, empty for none.
    :param short_queue: length of the queue once upstreams are held to what they announced.
    :param rate: requests a second before the burst.
    :param burst_rate: requests a second from the time at which upstreams are held to it.
    :param restarted: gateways that are killed and started again during the burst.
    :param stalled: gateways that stand still now and then during the burst.
    """

    gateways: int = 8
    upstreams: int = 4
    slots: int = 6
    queue: int = 24
    work_seconds: float = 0.36
    announced: str = "5"
    max_rejections: int = 5
    rate_limit: str = ""
    short_queue: int = 4
    rate: float = 40.0
    burst_rate: float = 100.0
    calm_seconds: float = 3.0
    burst_seconds: float = 12.0
    restarted: int = 0
    stalled: int = 0


@dataclass(slots=True, frozen=True)
class Outcome:
    """One request of a caller; ``tries`` counts its attempts."""

    sent_at: float
    status: int
    tries: int
    seconds: float


@dataclass(slots=True)
class Overload:
    """One run, and what callers and upstreams saw; times are on the monotonic clock."""

    scenario: Scenario
    rng: random.Random
    gateways: list[GatewayProcess]
    store: ManagedStore
    http: HttpClient = field(default_factory=HttpClient)
    lifetimes: list[SlottedUpstream] = field(default_factory=list)
    current: list[SlottedUpstream] = field(default_factory=list)
    outcomes: list[Outcome] = field(default_factory=list)
    judged_from: float = 0.0

    async def run(self) -> None:
        """Play everything."""
        scenario = self.scenario
        for number in range(scenario.upstreams):
            self.current.append(await self._start_upstream(f"app-{number}"))
        for gateway in self.gateways:
            await gateway.start()
        await asyncio.gather(*(item.wait_ready(self.http) for item in self.gateways))
        await asyncio.sleep(WARM_UP_SECONDS)
        async with asyncio.TaskGroup() as group:
            watching = [group.create_task(self._replace(n)) for n in range(scenario.upstreams)]
            await self._send(group, scenario.rate, scenario.calm_seconds)
            self._announce()
            await self._send(group, scenario.rate, CONTACT_SECONDS)
            self._hold_to_it()
            for gateway in self.gateways[: scenario.restarted]:
                group.create_task(self._restart(gateway))
            for gateway in self.gateways[len(self.gateways) - scenario.stalled :]:
                watching.append(group.create_task(self._stall_repeatedly(gateway)))
            await self._send(group, scenario.burst_rate, scenario.burst_seconds)
            for task in watching:
                task.cancel()
        for upstream in self.lifetimes:
            await upstream.stop()

    async def _start_upstream(self, identifier: str) -> SlottedUpstream:
        """Start a lifetime of an upstream, and list it."""
        scenario = self.scenario
        answer = Answered(delay_seconds=scenario.work_seconds)
        upstream = SlottedUpstream(
            identifier, deque([answer]), slots=scenario.slots, queue=scenario.queue
        )
        if self.current and self.current[0].announced:
            self._announce_at(upstream)
        if self.judged_from:
            self._hold(upstream)
        await upstream.start()
        self.lifetimes.append(upstream)
        await self.store.register_upstream(upstream, "app", slots=scenario.slots)
        return upstream

    def _announce(self) -> None:
        """Let all upstreams announce what they bear."""
        for upstream in self.current:
            self._announce_at(upstream)
        self.current[0].rate_limit = self.scenario.rate_limit

    def _announce_at(self, upstream: SlottedUpstream) -> None:
        """Let one upstream announce what it bears."""
        upstream.announced = self.scenario.announced

    def _hold_to_it(self) -> None:
        """Hold all upstreams to what they announced."""
        self.judged_from = time.monotonic()
        for upstream in self.current:
            self._hold(upstream)

    def _hold(self, upstream: SlottedUpstream) -> None:
        """Hold an upstream to what it announced."""
        if self.scenario.announced:
            upstream.max_rejections = self.scenario.max_rejections
            upstream.queue = self.scenario.short_queue

    async def _replace(self, number: int) -> None:
        """Start another lifetime whenever an upstream has crashed."""
        generation = 0
        while True:
            await asyncio.sleep(0.05)
            crashed = self.current[number]
            if crashed.crashed_at is None:
                continue
            await asyncio.sleep(LISTED_SECONDS)
            await self.store.remove(f"servers/{crashed.id}")
            await asyncio.sleep(REPLACED_SECONDS - LISTED_SECONDS)
            generation += 1
            self.current[number] = await self._start_upstream(f"app-{number}-{generation}")

    async def _restart(self, gateway: GatewayProcess) -> None:
        """Kill a gateway in the burst, and start it again."""
        await asyncio.sleep(self.rng.uniform(0.0, self.scenario.burst_seconds / 2))
        await gateway.kill()
        await asyncio.sleep(0.5)
        await gateway.start()

    async def _stall_repeatedly(self, gateway: GatewayProcess) -> None:
        """Let a gateway stand still in turns, some of them longer than peers wait for a reply."""
        while True:
            await asyncio.sleep(self.rng.uniform(*RUNNING_SECONDS))
            await gateway.stall(self.rng.uniform(*STALLED_SECONDS))

    async def _send(self, group: asyncio.TaskGroup, rate: float, seconds: float) -> None:
        """Begin requests at random times."""
        ends_at = time.monotonic() + seconds
        next_at = time.monotonic()
        while next_at < ends_at:
            await asyncio.sleep(max(0.0, next_at - time.monotonic()))
            group.create_task(self._ask(f"r{len(self.outcomes)}-{self.rng.getrandbits(40):x}"))
            next_at += self.rng.expovariate(rate)

    async def _ask(self, name: str) -> None:
        """Send a request, and once more after a refusal with a retry time."""
        sent_at = time.monotonic()
        status, retry_seconds = await self._try(f"{name}-1", sent_at)
        tries = 1
        if retry_seconds is not None:
            remaining = sent_at + CALLER_SECONDS - time.monotonic()
            await asyncio.sleep(min(retry_seconds, RETRY_TIME_SHARE * remaining))
            status, _ = await self._try(f"{name}-2", sent_at)
            tries = 2
        self.outcomes.append(Outcome(sent_at, status, tries, time.monotonic() - sent_at))

    async def _try(self, request_id: str, sent_at: float) -> tuple[int, float | None]:
        """Return the status of one attempt, 0 for none, and the retry time of a refusal."""
        remaining = sent_at + CALLER_SECONDS - time.monotonic()
        # Each request has contents of its own, so that no crash is blamed on them.
        body = request_id.rpartition("-")[0].encode()
        headers = [
            (name.encode(), value.encode())
            for name, value in caller_headers(request_id, len(body), max(0.001, remaining))
        ]
        address = self.rng.choice(self.gateways).address("callers")
        with suppress(NotSentError, ConnectionBrokenError, TimeoutError):
            async with (
                asyncio.timeout(remaining + 0.5),
                self.http.open(address, b"POST", b"/post/a", headers, body) as reply,
            ):
                async for _ in reply.chunks():
                    pass
                retry_after = dict(reply.headers).get(b"retry-after")
                refused = reply.status in (429, 503) and retry_after is not None
                return reply.status, float(retry_after) if refused else None
        return 0, None


def configuration() -> bytes:
    """Return the operators' document."""
    route = {"name": "post", "prefix": "/post/", "kind": "unsafe", "service": "app", "host": HOST}
    route |= {"timeout_ms": CALLER_SECONDS * 1000, "slo_ms": OBJECTIVE_SECONDS * 1000}
    return json.dumps(
        {
            "version": 1,
            "routes": [route | {"attempts": 2}],
            "services": [{"name": "app", "max_conns": 110}],
            "tenants": [{"name": "choir", "api_keys": [KEY]}],
        }
    ).encode()


async def play(seed: int, scenario: Scenario, folder: Path) -> Overload:
    """Play one overload and return what was seen; the gateways' logs are in a folder."""
    store = ManagedStore()
    async with AsyncExitStack() as stack:
        store_address = f"127.0.0.1:{free_port()}"
        listener = HttpListener(store, store_address, 5.0)
        await listener.start()
        stack.push_async_callback(listener.stop)
        await store.put("op/config", configuration())
        gateways = create_gateways(
            stack, scenario.gateways, ZONES, store_address, folder, GRACE_SECONDS
        )
        overload = Overload(scenario, random.Random(seed), gateways, store)
        await overload.run()
        return overload


def failures(overload: Overload) -> int:
    """Return how often upstreams failed while they were held to what they announced."""
    times = [item.crashed_at for item in overload.lifetimes if item.crashed_at is not None]
    return sum(at >= overload.judged_from for at in times)


def max_failures(scenario: Scenario) -> float:
    """Return how often the upstreams may fail."""
    return FAILED_SLACK + FAILED_SHARE * scenario.upstreams


def most_in_window(times: list[float], window_seconds: float) -> int:
    """Return the largest number of times in any window."""
    most, first = 0, 0
    for last, at in enumerate(times):
        while times[first] <= at - window_seconds:
            first += 1
        most = max(most, last - first + 1)
    return most


def max_arrivals(scenario: Scenario) -> float:
    """Return how many requests may reach a rate-limited upstream in a window."""
    return RATE_EXCESS * float(scenario.rate_limit) * RATE_WINDOW_SECONDS + RATE_SLACK


def find_faults(overload: Overload) -> list[str]:
    """Return a line for each limit that was exceeded."""
    scenario, faults = overload.scenario, []
    if failures(overload) > max_failures(scenario):
        faults.append(f"upstreams failed {failures(overload)} times")
    if scenario.rate_limit:
        most = most_in_window(_arrivals(overload), RATE_WINDOW_SECONDS)
        if most > max_arrivals(scenario):
            faults.append(f"{most} requests reached a rate-limited upstream in a window")
    return faults


def _arrivals(overload: Overload) -> list[float]:
    """Return when requests reached the first upstream while it was held to its limit."""
    return [at for at in overload.lifetimes[0].arrived_at if at >= overload.judged_from]


def summarize(overload: Overload) -> dict[str, object]:
    """Return the figures of a run."""
    burst = [item for item in overload.outcomes if item.sent_at >= overload.judged_from]
    served = [item for item in burst if item.status == 200]
    seconds = sorted(item.seconds for item in served)
    return {
        "failures": failures(overload),
        "rejections": {
            item.id: (len(item.rejected_at), most_in_window(item.rejected_at, 1.0))
            for item in overload.lifetimes
            if item.rejected_at
        },
        "arrivals_in_window": most_in_window(_arrivals(overload), RATE_WINDOW_SECONDS),
        "requests": len(burst),
        "served": len(served),
        "in_objective": sum(item <= 2 * OBJECTIVE_SECONDS for item in seconds),
        "median_seconds": round(seconds[len(seconds) // 2], 3) if seconds else None,
        "statuses": dict(Counter(str(item.status) for item in burst)),
        "peak_waiting": max(item.peak_waiting for item in overload.lifetimes),
        "faults": find_faults(overload),
    }


@click.command()
@click.option("--seed", default=1, help="First seed.")
@click.option("--seeds", default=1, help="Number of seeds, played one after the other.")
@click.option("--gateways", default=8)
@click.option("--burst", default=100.0, help="Requests a second while upstreams are held to it.")
@click.option("--announced", default="5", help="Header about rejections; empty for none.")
@click.option("--rejections", default=5, help="Rejections a second that an upstream bears.")
@click.option("--rate-limit", default="", help="Rate limit of the first upstream.")
@click.option("--queue", default=4, help="Length of the queues while upstreams are held to it.")
@click.option("--restarted", default=0, help="Gateways that are killed and started again.")
@click.option("--stalled", default=0, help="Gateways that stand still now and then.")
@click.option("--keep", type=click.Path(path_type=Path), help="Folder for the gateways' logs.")
def main(
    seed: int,
    seeds: int,
    gateways: int,
    burst: float,
    announced: str,
    rejections: int,
    rate_limit: str,
    queue: int,
    restarted: int,
    stalled: int,
    keep: Path | None,
) -> None:
    """Play overloads, print a line of JSON for each, and exit with 1 if a limit was exceeded."""
    scenario = Scenario(
        gateways=gateways,
        announced=announced,
        max_rejections=rejections,
        rate_limit=rate_limit,
        short_queue=queue,
        burst_rate=burst,
        restarted=restarted,
        stalled=stalled,
    )
    broken = False
    for number in range(seed, seed + seeds):
        with tempfile.TemporaryDirectory() as folder:
            logs = keep / str(number) if keep else Path(folder)
            logs.mkdir(parents=True, exist_ok=True)
            overload = asyncio.run(play(number, scenario, logs))
        broken |= bool(find_faults(overload))
        click.echo(json.dumps({"seed": number} | summarize(overload)))
    raise SystemExit(1 if broken else 0)


if __name__ == "__main__":
    main()
