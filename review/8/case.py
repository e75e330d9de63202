"""One request ends each upstream that begins to run it, and comes again with the same content.

With TROUBLE=0 the upstreams bear that request.
"""

import asyncio
import json
import os
import random
import sys
import time
from collections import Counter
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
import fleet_2 as fleet  # noqa: E402

GATEWAYS = 4
UPSTREAMS = 2  # The site has three; one is lost for good (srv_crash, how gone).
REQUESTS_PER_SECOND = 2.75  # Sound ones at each gateway, 11 a second in all, as on the sheet.
FATAL_PER_SECOND = float(os.environ.get("FATAL_PER_SECOND", "1.05"))  # In all.
BACK_SECONDS = 2.0
CALM_SECONDS = 5.0
TROUBLE_SECONDS = 45.0
CONTACT_SECONDS = 3.0  # contact_ms of the site.
JUDGED_AFTER_CRASH = 3  # Of the rule.
MAX_RETRIES = 3  # Of the rule.
CALLER_SECONDS = 1.5
FATAL_PATH = "/app/fatal"
CONFIGURATION = {
    "version": 1,
    "routes": [
        {
            "name": "quote",
            "host": "demo.example",
            "prefix": "/app/",
            "kind": "unsafe",
            "timeout_ms": 800,
            "slo_ms": 300,
            "service": "app",
            "attempts": 1,
        }
    ],
    "services": [{"name": "app", "health_path": "/healthz", "max_conns": 110}],
    "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "idle_timeout_ms": 15000},
}


async def send_requests(gateways: list, outcomes: list, calls: list, fatal_from: float) -> None:
    """Send sound requests to all gateways, and the fatal one to any of them from a time on.

    Both are sent at fixed times.
    """
    rng, fatal_at = random.Random(8), fatal_from

    async def send(gateway: fleet.Child, path: str, request_id: str, body: bytes = b"") -> None:
        outcomes.append(await fleet.send(gateway, path, request_id, CALLER_SECONDS, body=body))

    next_at = time.time()
    while True:
        is_due = time.time() >= next_at
        next_at += is_due / REQUESTS_PER_SECOND
        for gateway in gateways if is_due else ():
            calls.append(asyncio.create_task(send(gateway, "/app/x", f"sound-{len(calls)}")))
        while time.time() >= fatal_at:
            fatal_at += 1 / FATAL_PER_SECOND
            request = send(rng.choice(gateways), FATAL_PATH, f"fatal-{len(calls)}", b'"the same"')
            calls.append(asyncio.create_task(request))
        await asyncio.sleep(max(0.0, min(next_at, fatal_at) - time.time()))


async def case(is_troubled: bool) -> bool:
    """Run the case; return whether BUDGET was broken."""
    outcomes, calls = [], []
    fatal_path = FATAL_PATH if is_troubled else ""
    async with fleet.Fleet() as processes:
        await fleet.put_key(processes.store, "op/config", json.dumps(CONFIGURATION).encode())
        fields = [
            {"id": f"app-{number}", "service": "app", "fatal_path": fatal_path}
            for number in range(UPSTREAMS)
        ]
        upstreams = [await processes.start_upstream(**item) for item in fields]
        gateways = [await processes.start_gateway(f"vm-{number}") for number in range(GATEWAYS)]
        for gateway in gateways:
            await fleet.wait_until(lambda gateway=gateway: fleet.is_ready(gateway))
        keepers = [
            asyncio.create_task(fleet.keep_running(processes, *pair, BACK_SECONDS))
            for pair in zip(upstreams, fields, strict=True)
        ]
        fatal_from = time.time() + CALM_SECONDS
        sending = asyncio.create_task(send_requests(gateways, outcomes, calls, fatal_from))
        await asyncio.sleep(CALM_SECONDS + TROUBLE_SECONDS)
        sending.cancel()
        await asyncio.gather(*calls)
        for keeper in keepers:
            keeper.cancel()
        lines = fleet.upstream_lines(processes.children)
        crashes = sorted(line["at"] for line in lines if line.get("event") == "fell")
        reached = [
            line
            for line in lines
            if line.get("event") == "arrived"
            and line["request"].startswith("fatal")
            and len(crashes) >= JUDGED_AFTER_CRASH
            and line["at"] >= crashes[JUDGED_AFTER_CRASH - 1] + CONTACT_SECONDS
        ]
        is_broken = len(reached) > MAX_RETRIES
        sound = [item for item in outcomes if item.request.startswith("sound")]
        later = [item for item in sound if item.sent_at >= fatal_from]
        served = sum(item.status == 200 for item in later)
        events = Counter(line.get("event") for gateway in gateways for line in gateway.lines())
        told = ("upstream.crashed", "quarantine.began", "service.unreachable")
        notes = [
            f"trouble: {is_troubled}; {len(crashes)} crashes",
            f"the fatal request reached upstreams {len(reached)} times later than contact_ms after "
            f"the third crash",
            f"sound requests served since it comes: {served} of {len(later)}",
            f"log lines of the gateways: {', '.join(f'{name} {events[name]}' for name in told)}",
            f"BUDGET {'broken' if is_broken else 'held'}",
        ]
        fleet.write_record(FOLDER, outcomes, processes.children, notes)
        print("\n".join(notes))
    return is_broken


if __name__ == "__main__":
    fleet.run_case(case)
