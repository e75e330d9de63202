"""Answers whose bodies never end, in chunks of one byte, from servers in trouble.

With TROUBLE=0 the same servers answer as the others do.
"""

import asyncio
import json
import random
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
import fleet_2 as fleet  # noqa: E402

GATEWAYS = 3
SECONDS = 60.0
REQUESTS_PER_SECOND = 4.3  # At each gateway: 39 a second at nine machines.
ROUTE_TIMEOUT_SECONDS = 0.8
ROUTE_SLACK_SECONDS = 0.5  # Of the rule.
CALLER_SECONDS = 1.5
MIN_UNANSWERED = 8  # Fewer show nothing.
SPOILED_SHARE = 0.05
SPOILING_ENGINES = 2  # Of five; 'garble' spoils answers of half of the servers.
PATHS = {
    "/stream/opinion/x": (8.0, 0.26),
    "/stream/check/x": (4.0, 0.31),
    "/stream/notes/x": (15.0, 0.15),
}
"""Path of each kind of stream with its time limit in seconds and its share of the requests; the
rest are requests to the application."""


def route(
    prefix: str, kind: str, timeout_ms: int, slo_ms: int, service: str, **more: object
) -> dict:
    """Return a route of the configuration."""
    named = {"name": prefix.strip("/"), "host": "demo.example", "prefix": prefix, "kind": kind}
    return {**named, "timeout_ms": timeout_ms, "slo_ms": slo_ms, "service": service, **more}


STREAM = {"gap_target_ms": 500}
CONFIGURATION = {
    "version": 1,
    "routes": [
        route("/stream/opinion/", "stream", 8000, 800, "llm", attempts=2, resumable=True, **STREAM),
        route("/stream/check/", "stream", 4000, 1500, "llm", attempts=1, **STREAM),
        route("/stream/notes/", "stream", 15000, 2000, "llm", attempts=2, resumable=True, **STREAM),
        route("/app/", "unsafe", 800, 300, "app", attempts=1),
    ],
    "services": [
        {
            "name": "llm",
            "health_path": "/healthz",
            "max_conns": 630,
            "engine": {"slots": 128, "stride": 3},
        },
        {"name": "app", "health_path": "/healthz", "max_conns": 110},
    ],
    "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "idle_timeout_ms": 15000},
}


async def call(outcomes: list, gateway: fleet.Child, number: int, rng: random.Random) -> None:
    """Send one request of the mix."""
    draw = rng.random()
    for path, (seconds, share) in PATHS.items():
        draw -= share
        if draw < 0:
            parts = f"{rng.randrange(60):x}:600,{number + 256:x}:500"
            headers = {"X-Quinceferry-Prompt-Prefix": parts, "X-Quinceferry-Token-Count": "1100,60"}
            outcomes.append(await fleet.send(gateway, path, f"r{number}", seconds, headers))
            return
    outcomes.append(await fleet.send(gateway, "/app/x", f"r{number}", CALLER_SECONDS))


async def ask_ready(gateway: fleet.Child, missed: list) -> None:
    """Ask once a second whether a gateway is ready, as the platform does."""
    while True:
        began_at = time.time()
        try:
            is_ready = await fleet.is_ready(gateway)
        except (TimeoutError, OSError, EOFError):
            is_ready = False
        if not is_ready:
            missed.append(
                f"{gateway.name} did not answer /v1/readyz within a second at {began_at:.1f}"
            )
        await asyncio.sleep(max(0.0, 1.0 - (time.time() - began_at)))


async def case(is_troubled: bool) -> bool:
    """Run the case; return whether CONFIG was broken."""
    rng = random.Random(4)
    outcomes, missed = [], []
    async with fleet.Fleet() as processes:
        await fleet.put_key(processes.store, "op/config", json.dumps(CONFIGURATION).encode())
        for number in range(5):
            is_spoiling = is_troubled and number < SPOILING_ENGINES
            trouble = {"spoiled_share": SPOILED_SHARE} if is_spoiling else {}
            await processes.start_upstream(id=f"llm-{number}", service="llm", slots=128, **trouble)
        for number in range(3):
            await processes.start_upstream(id=f"app-{number}", service="app")
        gateways = [await processes.start_gateway(f"vm-{number}") for number in range(GATEWAYS)]
        for gateway in gateways:
            await fleet.wait_until(lambda gateway=gateway: fleet.is_ready(gateway))
        await asyncio.sleep(2.0)
        probes = [asyncio.create_task(ask_ready(gateway, missed)) for gateway in gateways]
        calls, ends_at = [], time.time() + SECONDS
        while time.time() < ends_at:
            for gateway in gateways:
                calls.append(asyncio.create_task(call(outcomes, gateway, len(calls), rng)))
            await asyncio.sleep(1 / REQUESTS_PER_SECOND)
        await asyncio.gather(*calls)
        for probe in probes:
            probe.cancel()
        # Streams are left out: their callers do not wait beyond the timeout of the route.
        lasting = [
            item
            for item in outcomes
            if item.path == "/app/x" and item.ended_at - item.sent_at > ROUTE_TIMEOUT_SECONDS
        ]
        late = [
            item
            for item in lasting
            if not item.status
            or item.ended_at - item.sent_at > ROUTE_TIMEOUT_SECONDS + ROUTE_SLACK_SECONDS
        ]
        is_broken = len(lasting) >= MIN_UNANSWERED and 2 * len(late) > len(lasting)
        spoiled = sum(
            line.get("event") == "spoiled" for item in processes.children for line in item.lines()
        )
        notes = [
            f"trouble: {is_troubled}; {spoiled} answers without end",
            f"{len(outcomes)} requests; {len(lasting)} to the application unanswered at the "
            f"timeout of their route, {len(late)} of these half a second later too",
            f"{len(missed)} questions for readiness unanswered",
            f"CONFIG {'broken' if is_broken else 'held'}",
            *missed,
        ]
        fleet.write_record(FOLDER, outcomes, processes.children, notes)
        print("\n".join(notes[:4]))
    return is_broken


if __name__ == "__main__":
    fleet.run_case(case)
