"""Command that serves the platform stand-ins over HTTP."""

import asyncio
import random

import click

from quinceferry_core.clocks import SystemClock
from quinceferry_core.models import VmId, VmRecord
from quinceferry_standins.kv import DEFAULT_LATENCY_SECONDS, FakeKv
from quinceferry_standins.kv_faults import (
    DEFAULT_READS_PER_SECOND,
    DEFAULT_WRITES_PER_SECOND,
    KvLimits,
)
from quinceferry_standins.platform_app import Platform, platform_app
from quinceferry_standins.serving import listen, serve, url_of
from quinceferry_standins.vms import DEFAULT_LAG_SECONDS, FakeVmList
from quinceferry_standins.weights import DEFAULT_BYTES_PER_SECOND, FakeWeightStore

_MILLISECONDS_PER_SECOND = 1000


@click.command()
@click.option("--host", default="127.0.0.1", help="IP number to listen on.")
@click.option("--port", default=0, help="Port to listen on; 0 lets the system choose.")
@click.option(
    "--latency-ms",
    default=DEFAULT_LATENCY_SECONDS * _MILLISECONDS_PER_SECOND,
    help="Round trip of a key-value call.",
)
@click.option("--writes-per-second", default=DEFAULT_WRITES_PER_SECOND)
@click.option("--reads-per-second", default=DEFAULT_READS_PER_SECOND)
@click.option("--vm", "vms", multiple=True, metavar="ID=ZONE", help="VM listed from the start.")
@click.option("--vm-lag-seconds", default=DEFAULT_LAG_SECONDS)
@click.option("--weight-bytes-per-second", default=DEFAULT_BYTES_PER_SECOND)
@click.option("--seed", default=0, help="Seed of faults and latencies.")
def main(
    host: str,
    port: int,
    latency_ms: float,
    writes_per_second: float,
    reads_per_second: float,
    vms: tuple[str, ...],
    vm_lag_seconds: float,
    weight_bytes_per_second: float,
    seed: int,
) -> None:
    """Serve the key-value store, the VM list and the weight store; print the address when ready."""
    clock = SystemClock()
    limits = KvLimits(writes_per_second, reads_per_second)
    latency_seconds = latency_ms / _MILLISECONDS_PER_SECOND
    platform = Platform(
        FakeKv(clock, random.Random(seed), limits, latency_seconds),
        FakeVmList(clock, vm_lag_seconds, [_vm_record(text) for text in vms]),
        FakeWeightStore(clock, weight_bytes_per_second),
    )
    listener = listen(host, port)
    click.echo(url_of(listener))
    asyncio.run(serve(platform_app(platform), listener))


def _vm_record(text: str) -> VmRecord:
    vm, _, zone = text.partition("=")
    return VmRecord(VmId(vm), zone)


if __name__ == "__main__":
    main()
