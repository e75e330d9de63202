"""Planning of the models that each engine should load.

Every order holder computes the same plan from the same records, and sends orders only to its own
engines. The plan consists of loads. A model is unloaded only when no workspace has it attached any
more, or when a model with more demand fits on no engine.
"""

import math
from collections.abc import Mapping, Sequence
from dataclasses import dataclass

import msgspec

from quinceferry_core.models import Configuration, ModelRef, UpstreamId
from quinceferry_core.routing import model_is_loaded, rendezvous_order

EVICTION_DEMAND_RATIO = 2.0
"""Factor by which demand must exceed that of a model whose last replica it evicts."""
MIN_REPLICAS = 2
"""Replicas of every model with demand, so that the loss of one engine stops no caller."""


class EngineRecord(msgspec.Struct, frozen=True):
    """State of an engine, as published by its order holder.

    ``usable`` is false while the engine is leaving or does not answer; ``full`` is set after it
    rejected a load.
    """

    upstream: UpstreamId
    loaded: tuple[ModelRef, ...] = ()
    loading: tuple[ModelRef, ...] = ()
    usable: bool = True
    full: bool = False

    def has_or_loads(self, model: ModelRef) -> bool:
        """Return whether a model is loaded or being loaded."""
        return model_is_loaded(model, (*self.loaded, *self.loading))


@dataclass(slots=True, frozen=True)
class PlannedLoad:
    """A planned load; ``replicas`` counts the engines that already have the model."""

    upstream: UpstreamId
    model: ModelRef
    replicas: int


def attached_models(configuration: Configuration) -> tuple[ModelRef, ...]:
    """Return the models attached to any workspace, in a stable order."""
    specs = configuration.workspaces_by_id.values()
    return tuple(sorted({model for spec in specs for model in spec.models}, key=str))


def replica_target(demand: float, total_demand: float, engines: int) -> int:
    """Return the number of engines that should have a model.

    :param demand: request rate of the model, in requests per second.
    :param total_demand: request rate of all models, in requests per second.
    :param engines: number of usable engines.
    """
    if demand <= 0 or total_demand <= 0:
        return min(1, engines)
    share = math.ceil(engines * demand / total_demand)
    return min(engines, max(MIN_REPLICAS, share))


def plan_loads(
    attached: Sequence[ModelRef], demand: Mapping[ModelRef, float], engines: Sequence[EngineRecord]
) -> list[PlannedLoad]:
    """Return the loads that the fleet should perform, in order of need.

    Models that no engine has come first, then models with more demand.

    :param attached: models attached to workspaces.
    :param demand: request rate by model over the fleet, in requests per second.
    :param engines: all engines of the fleet.
    """
    usable = {engine.upstream: engine for engine in engines if engine.usable}
    total = sum(demand.get(model, 0.0) for model in attached)
    planned: list[PlannedLoad] = []
    for model in attached:
        holders = [engine for engine in usable.values() if engine.has_or_loads(model)]
        target = replica_target(demand.get(model, 0.0), total, len(usable))
        eligible = [u for u, engine in usable.items() if not engine.full and engine not in holders]
        missing = max(0, target - len(holders))
        for upstream in rendezvous_order(str(model), eligible)[:missing]:
            planned.append(PlannedLoad(upstream, model, len(holders)))
    return sorted(planned, key=lambda p: (p.replicas > 0, -demand.get(p.model, 0.0), str(p.model)))


def detached_models(engine: EngineRecord, attached: Sequence[ModelRef]) -> list[ModelRef]:
    """Return the models loaded on an engine that no workspace has attached."""
    return [
        loaded_model for loaded_model in engine.loaded if not _serves_any(loaded_model, attached)
    ]


def choose_eviction(
    engine: EngineRecord,
    attached: Sequence[ModelRef],
    demand: Mapping[ModelRef, float],
    engines: Sequence[EngineRecord],
) -> ModelRef | None:
    """Return the model that an engine should unload for one that is loaded nowhere, or None.

    Only the engine that ranks first for the unplaced model evicts, so that one model is unloaded
    for it and not one on every engine.

    :param engine: the engine that may evict.
    :param attached: models attached to workspaces.
    :param demand: request rate by model over the fleet, in requests per second.
    :param engines: all engines of the fleet.
    """
    usable = [other for other in engines if other.usable]
    if not usable or not all(other.full for other in usable):
        return None
    names = [other.upstream for other in usable]
    unplaced = [m for m in attached if not any(other.has_or_loads(m) for other in usable)]
    preferring = [m for m in unplaced if rendezvous_order(str(m), names)[0] == engine.upstream]
    if not preferring:
        return None
    detached = detached_models(engine, attached)
    if detached:
        return detached[0]
    needed = max(demand.get(model, 0.0) for model in preferring)
    return _least_needed_model(engine, needed, demand, usable)


def _least_needed_model(
    engine: EngineRecord,
    needed: float,
    demand: Mapping[ModelRef, float],
    usable: Sequence[EngineRecord],
) -> ModelRef | None:
    """Return the loaded model whose eviction costs least, or None when none may be evicted."""

    def cost(loaded_model: ModelRef) -> tuple[bool, float, str]:
        is_last = sum(loaded_model in other.loaded for other in usable) < MIN_REPLICAS
        return is_last, demand.get(loaded_model, 0.0), str(loaded_model)

    for loaded_model in sorted(engine.loaded, key=cost):
        is_last, loaded_demand, _ = cost(loaded_model)
        if not is_last or needed > EVICTION_DEMAND_RATIO * loaded_demand:
            return loaded_model
    return None


def _serves_any(loaded_model: ModelRef, attached: Sequence[ModelRef]) -> bool:
    return any(model_is_loaded(model, (loaded_model,)) for model in attached)
