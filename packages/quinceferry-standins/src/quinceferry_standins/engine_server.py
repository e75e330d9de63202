"""Command that serves a stand-in model engine over HTTP."""

import asyncio
import random

import click

from quinceferry_core.clocks import SystemClock
from quinceferry_core.models import ModelRef, UpstreamId
from quinceferry_standins.engine import FakeEngine
from quinceferry_standins.engine_app import engine_app
from quinceferry_standins.engine_settings import EngineSettings
from quinceferry_standins.serving import listen, serve, url_of
from quinceferry_standins.weights_client import HttpWeights

_DEFAULTS = EngineSettings()


@click.command()
@click.option("--host", default="127.0.0.1", help="IP number to listen on.")
@click.option("--port", default=0, help="Port to listen on; 0 lets the system choose.")
@click.option("--id", "upstream", default="engine", help="Identifier of the engine.")
@click.option("--models", default="", help="Loaded models, as model[:adapter][@version],...")
@click.option("--checks-fencing", is_flag=True, help="Refuse orders with an old fencing number.")
@click.option("--slots", default=_DEFAULTS.slots, help="Streams that run at once.")
@click.option("--step-seconds", default=_DEFAULTS.step_seconds)
@click.option("--tokens-per-step", default=_DEFAULTS.tokens_per_step)
@click.option("--weights-url", default="", help="Weight store; without it, loads take no time.")
@click.option("--seed", default=0, help="Seed of the cache events that are lost.")
def main(
    host: str,
    port: int,
    upstream: str,
    models: str,
    checks_fencing: bool,
    slots: int,
    step_seconds: float,
    tokens_per_step: int,
    weights_url: str,
    seed: int,
) -> None:
    """Serve an engine; print the address when ready."""
    settings = EngineSettings(
        models=tuple(ModelRef.parse(text) for text in models.split(",") if text),
        checks_fencing=checks_fencing,
        slots=slots,
        step_seconds=step_seconds,
        tokens_per_step=tokens_per_step,
    )
    weights = HttpWeights(weights_url, upstream) if weights_url else None
    rng = random.Random(seed)
    engine = FakeEngine(SystemClock(), UpstreamId(upstream), settings, rng, weights)
    listener = listen(host, port)
    click.echo(url_of(listener))
    asyncio.run(serve(engine_app(engine), listener))


if __name__ == "__main__":
    main()
