"""Models, adapters and versions that the stand-in engine has loaded, and its role."""

import asyncio
from collections.abc import Callable
from typing import Any, Protocol

from quinceferry_core.adapters import EngineOrder, OrderKind
from quinceferry_core.exceptions import PlatformUnavailableError, UpstreamRefusedError
from quinceferry_core.models import ModelRef, UpstreamId
from quinceferry_standins.engine_settings import EngineSettings


class WeightSource(Protocol):
    """Where an engine fetches weights."""

    async def fetch(self, model: ModelRef) -> Any:
        """Return when the weights have arrived.

        :raises PlatformUnavailableError: the weight store did not answer.
        """


class LoadedModels:
    """Obeys orders to load, unload and change role.

    :param weights: source of weights; None loads at once.
    :param changed: called after each change of ``loaded``.
    """

    def __init__(
        self,
        upstream: UpstreamId,
        settings: EngineSettings,
        weights: WeightSource | None,
        changed: Callable[[], None],
    ) -> None:
        self.loaded: tuple[ModelRef, ...] = settings.models
        self.role = ""
        self.failed_loads = 0
        self._upstream = upstream
        self._settings = settings
        self._weights = weights
        self._changed = changed
        self._highest_fencing = 0
        self._loads_by_model: dict[ModelRef, asyncio.Task[None]] = {}

    def obey(self, order: EngineOrder) -> None:
        """Carry out an order, or begin to.

        :raises UpstreamRefusedError: the fencing number is old and checked, or no memory is left.
        """
        if self._settings.checks_fencing and order.fencing < self._highest_fencing:
            raise self._refusal(f"fencing number {order.fencing} is old")
        self._highest_fencing = max(self._highest_fencing, order.fencing)
        match order.kind:
            case OrderKind.LOAD:
                self._load(order.model)
            case OrderKind.UNLOAD:
                self._unload(order.model)
            case OrderKind.CHANGE_ROLE:
                self.role = order.role

    async def stop(self) -> None:
        """Cancel loads in progress."""
        tasks = list(self._loads_by_model.values())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _load(self, model: ModelRef) -> None:
        """Begin to load a model unless it is loaded or loading."""
        if model in self.loaded or model in self._loads_by_model:
            return
        if len(self.loaded) + len(self._loads_by_model) >= self._settings.max_models:
            raise self._refusal("no memory left for another model")
        if self._weights is None:
            self.loaded += (model,)
            self._changed()
            return
        task = asyncio.create_task(self._fetch(self._weights, model), name=f"load {model}")
        self._loads_by_model[model] = task

    def _unload(self, model: ModelRef) -> None:
        """Drop a model, or stop loading it; streams in progress go on."""
        task = self._loads_by_model.pop(model, None)
        if task is not None:
            task.cancel()
        self.loaded = tuple(loaded for loaded in self.loaded if loaded != model)
        self._changed()

    async def _fetch(self, weights: WeightSource, model: ModelRef) -> None:
        """Fetch weights and make the model usable."""
        try:
            await weights.fetch(model)
        except PlatformUnavailableError:
            self.failed_loads += 1
        else:
            self.loaded += (model,)
        del self._loads_by_model[model]
        self._changed()

    def _refusal(self, detail: str) -> UpstreamRefusedError:
        """Return the error for a refused order."""
        return UpstreamRefusedError(detail, step="engine.order", peer=self._upstream)
