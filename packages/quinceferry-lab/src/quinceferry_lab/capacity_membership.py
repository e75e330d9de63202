"""What membership and configuration cost in larger fleets, on virtual time."""

import logging
from concurrent.futures import ProcessPoolExecutor

import structlog

from quinceferry_lab.measure_membership import Bench, Phase
from quinceferry_lab.virtual_time import run_virtual

FLEETS = (9, 18, 36, 72)
MAX_PROCESSES = 2


def measure() -> list[Phase]:
    """Run each fleet through all phases."""
    with ProcessPoolExecutor(MAX_PROCESSES) as pool:
        return [phase for phases in pool.map(phases_of, reversed(FLEETS)) for phase in phases]


def phases_of(routers: int) -> list[Phase]:
    """Run one fleet."""
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL))
    return run_virtual(_run(routers))


async def _run(routers: int) -> list[Phase]:
    return await Bench(routers).run()
