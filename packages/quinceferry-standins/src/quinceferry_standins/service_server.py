"""Command that serves a stand-in plain service over HTTP."""

import asyncio

import click

from quinceferry_core.clocks import SystemClock
from quinceferry_core.models import UpstreamId
from quinceferry_standins.service import DEFAULT_CALL_SECONDS, FakeService
from quinceferry_standins.service_app import service_app
from quinceferry_standins.serving import listen, serve, url_of


@click.command()
@click.option("--host", default="127.0.0.1", help="IP number to listen on.")
@click.option("--port", default=0, help="Port to listen on; 0 lets the system choose.")
@click.option("--id", "upstream", default="service", help="Identifier of the service instance.")
@click.option("--call-seconds", default=DEFAULT_CALL_SECONDS, help="Duration of one call.")
def main(host: str, port: int, upstream: str, call_seconds: float) -> None:
    """Serve a plain service; print the address when ready."""
    service = FakeService(SystemClock(), UpstreamId(upstream), call_seconds)
    listener = listen(host, port)
    click.echo(url_of(listener))
    asyncio.run(serve(service_app(service), listener))


if __name__ == "__main__":
    main()
