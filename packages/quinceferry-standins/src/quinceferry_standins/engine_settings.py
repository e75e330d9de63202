"""Settings of the stand-in engine."""

from dataclasses import dataclass

from quinceferry_core.models import ModelRef


@dataclass(slots=True, frozen=True)
class EngineSettings:
    """Speed, memory and habits of one engine.

    A step takes ``step_seconds``, plus ``step_seconds_per_stream`` for each decoding stream, plus
    ``prefill_seconds_per_token`` for each uncached prompt token. ``cache_blocks`` counts blocks of
    :data:`quinceferry_core.prefixes.BLOCK_CHARS`. ``retain_seconds`` is how long the output of an
    ended stream can be resumed.
    """

    models: tuple[ModelRef, ...] = ()
    checks_fencing: bool = False
    slots: int = 16
    max_waiting: int = 256
    max_models: int = 8
    tokens_per_step: int = 1
    step_seconds: float = 0.02
    step_seconds_per_stream: float = 0.0005
    prefill_seconds_per_token: float = 0.0001
    prefill_tokens_per_step: int = 2048
    cache_blocks: int = 1024
    report_lag_seconds: float = 0.5
    cache_event_lag_seconds: float = 1.0
    cache_event_loss: float = 0.1
    retain_seconds: float = 60.0
