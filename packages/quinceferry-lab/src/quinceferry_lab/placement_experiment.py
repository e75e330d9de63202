"""Plays ways to place requests on modelled engines.

Usage: ``python -m quinceferry_lab.placement_experiment --help``.

The real decision code runs against the model of the engines, with several gateways of which each
knows its own sends, what came back to it, and what peers tell it.
"""

import random
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from statistics import mean

import click

from quinceferry_gateway.catalog import Load, Upstream
from quinceferry_gateway.decisions import (
    Attempt,
    Demand,
    Placement,
    PlacementPolicy,
    Placer,
    UpstreamStates,
)
from quinceferry_gateway.decisions.cached_prefixes import hash_prefix
from quinceferry_gateway.decisions.placement import DEFAULT_POLICY
from quinceferry_gateway.rendezvous import rank_candidates
from quinceferry_lab.engine_model import Clockwork, ModelEngine, ModelStream
from quinceferry_lab.placement_load import CUSTOMERS, Arrival, Customer, arrivals

TELL_SECONDS = 0.001
"""Time of a datagram from one gateway to another."""
WARM_UP_SECONDS = 4.0
SERVICE = "engines"


@dataclass(slots=True)
class Gateway:
    """One gateway's beliefs and choices."""

    zone: str
    upstream_states: UpstreamStates
    placer: Placer


@dataclass(slots=True)
class Seen:
    """What a caller saw of one request; times in seconds."""

    arrival: Arrival
    first_seconds: float = float("inf")
    longest_pause: float = 0.0
    last_at: float = 0.0
    whole: bool = False

    @property
    def late_first(self) -> bool:
        """Tell whether the first event came after the objective."""
        return self.first_seconds > self.arrival.kind.objective_seconds

    @property
    def paused(self) -> bool:
        """Tell whether a pause was longer than accepted."""
        return self.longest_pause > self.arrival.kind.pause_seconds


@dataclass(slots=True)
class Figures:
    """What a run came to."""

    seen: list[Seen] = field(default_factory=list)
    read_again: int = 0
    fetched: int = 0
    far_shares: list[float] = field(default_factory=list)

    def credit(self) -> float:
        """Return the share of the worth that was earned."""
        owed = sum(item.arrival.kind.worth for item in self.seen)
        earned = sum(
            (
                item.arrival.kind.late_worth
                if item.late_first or item.paused
                else item.arrival.kind.worth
            )
            for item in self.seen
        )
        return earned / owed

    def late(self, name: str) -> tuple[float, float, float]:
        """Return the shares of a kind that were late by first event, by pause, and by either."""
        kind = [item for item in self.seen if item.arrival.kind.name == name]
        count = max(1, len(kind))
        return (
            sum(item.late_first for item in kind) / count,
            sum(item.paused for item in kind) / count,
            sum(item.late_first or item.paused for item in kind) / count,
        )


Policy = Callable[["Run", Gateway, Arrival, Demand], Placement]


def choose_random(run: "Run", gateway: Gateway, arrival: Arrival, demand: Demand) -> Placement:
    """Place a request anywhere."""
    return Placement(run.source.choice(run.upstreams), demand.suffix_tokens)


def choose_least(run: "Run", gateway: Gateway, arrival: Arrival, demand: Demand) -> Placement:
    """Place a request where fewest are believed to run."""
    now = run.clockwork.now
    best = min(
        run.upstreams,
        key=lambda item: (
            gateway.upstream_states.get(item).estimated_running(now),
            run.source.random(),
        ),
    )
    return Placement(best, demand.suffix_tokens)


def choose_home(run: "Run", gateway: Gateway, arrival: Arrival, demand: Demand) -> Placement:
    """Place a request where its shared parts are kept, whatever the load."""
    by_id = {item.id: item for item in run.upstreams}
    return Placement(by_id[rank_candidates(demand.prefix_key, by_id)[0]], demand.suffix_tokens)


def choose_ours(run: "Run", gateway: Gateway, arrival: Arrival, demand: Demand) -> Placement:
    """Place a request as a gateway does."""
    found = gateway.placer.place(demand, run.upstreams, (), run.clockwork.now)
    assert found is not None
    return found


@dataclass(slots=True, frozen=True)
class Variant:
    """A way to place requests; ``told_tokens`` are the fewest of which peers are told."""

    choose: Policy = choose_ours
    told_tokens: int | None = 2000
    policy: PlacementPolicy = DEFAULT_POLICY


VARIANTS = {
    "random": Variant(choose_random, None),
    "least": Variant(choose_least, None),
    "home": Variant(choose_home, None),
    "ours": Variant(),
    "untold": Variant(told_tokens=None),
    "unfetched": Variant(policy=replace(DEFAULT_POLICY, fetches_prefixes=False)),
    "harmless": Variant(policy=replace(DEFAULT_POLICY, stream_delay_cost_seconds=0.0)),
    "unslowed": Variant(policy=replace(DEFAULT_POLICY, slowdown_cost_seconds=0.0)),
    "zoneless": Variant(policy=replace(DEFAULT_POLICY, other_zone_cost_seconds=0.0)),
}
"""Simple ways, ours, and ours without one of its parts each: telling peers, fetching shared parts,
weighing the harm to others, the belief that an engine is slow, the zone."""


@dataclass(slots=True, frozen=True)
class SlowSpell:
    """A time in which one engine works several times as long."""

    begins_at: float
    ends_at: float
    factor: float


SLOW_SPELL = SlowSpell(8.0, 15.0, 5.0)


class Run:
    """One policy under one load.

    :param gateways: how many share the engines.
    :param slow: when the first engine is slow, if it ever is.
    """

    def __init__(
        self,
        customer: Customer,
        variant: Variant,
        gateways: int,
        seed: int,
        slow: SlowSpell | None = None,
    ) -> None:
        self.source = random.Random(f"{seed} choices")
        self.clockwork = Clockwork()
        self.variant = variant
        self.engines_by_id: dict[str, ModelEngine] = {}
        self.upstreams: list[Upstream] = []
        for number in range(customer.engines):
            speed = customer.speeds[number % len(customer.speeds)]
            name = f"engine{number}"
            self.engines_by_id[name] = ModelEngine(self.clockwork, customer.figures, speed)
            slots = customer.figures.slots
            zone = f"zone{number % customer.zones}"
            self.upstreams.append(Upstream(name, SERVICE, "", zone, slots, False))
        self.gateways = []
        for number in range(gateways):
            upstream_states = UpstreamStates()
            zone = f"zone{number % customer.zones}"
            placer = Placer(
                zone, upstream_states, random.Random(f"{seed} {number}"), variant.policy
            )
            self.gateways.append(Gateway(zone, upstream_states, placer))
        self.far = 0
        self.placed = 0
        if slow is not None:
            engine = self.engines_by_id["engine0"]
            self.clockwork.at(slow.begins_at, lambda: engine.slow_down(slow.factor))
            self.clockwork.at(slow.ends_at, lambda: engine.slow_down(1 / slow.factor))

    def play(self, load: list[Arrival]) -> list[Seen]:
        """Play all arrivals and return what callers saw after the warm-up."""
        seen = [Seen(arrival) for arrival in load]
        for item in seen:
            self.clockwork.at(item.arrival.at, lambda item=item: self._arrive(item))
        self.clockwork.run()
        assert all(item.whole for item in seen)
        return [item for item in seen if item.arrival.at > WARM_UP_SECONDS]

    def _arrive(self, item: Seen) -> None:
        """Place one request."""
        arrival = item.arrival
        gateway = self.source.choice(self.gateways)
        demand = Demand(
            hash_prefix([part for part, _ in arrival.parts]),
            sum(tokens for _, tokens in arrival.parts),
            arrival.own_tokens,
            arrival.kind.pause_seconds,
        )
        placement = self.variant.choose(self, gateway, arrival, demand)
        now = self.clockwork.now
        attempt = gateway.upstream_states.start_attempt(
            placement.upstream, placement.uncached_tokens, demand.prefix_key, now
        )
        self._tell(gateway, placement, demand)
        self.placed += 1
        self.far += placement.upstream.zone != gateway.zone
        engine = self.engines_by_id[placement.upstream.id]
        stream = ModelStream(arrival.parts, arrival.own_tokens, arrival.events, lambda number: None)
        stream.on_event = lambda number: self._event(item, attempt, engine, number)
        source = placement.fetch_from
        engine.accept(stream, self.engines_by_id[source.id] if source else None)

    def _tell(self, gateway: Gateway, placement: Placement, demand: Demand) -> None:
        """Tell all other gateways of a long prompt."""
        least = self.variant.told_tokens
        if least is None or placement.uncached_tokens < least:
            return
        for other in self.gateways:
            if other is not gateway:
                self.clockwork.at(
                    self.clockwork.now + TELL_SECONDS,
                    lambda other=other: other.upstream_states.record_peer_prompt(
                        placement.upstream,
                        placement.uncached_tokens,
                        demand.prefix_key,
                        self.clockwork.now,
                    ),
                )

    def _event(self, item: Seen, attempt: Attempt, engine: ModelEngine, number: int) -> None:
        """Note an event of a stream."""
        now = self.clockwork.now
        if number == 1:
            item.first_seconds = now - item.arrival.at
            attempt.record_first_event(now)
            load = Load(len(engine.running), len(engine.waiting), engine.figures.slots)
            attempt.record_load(load, now)
        else:
            item.longest_pause = max(item.longest_pause, now - item.last_at)
        item.last_at = now
        if number >= item.arrival.events:
            item.whole = True
            attempt.finish(now)


def play(
    customer: Customer,
    name: str,
    seeds: int,
    load: float,
    gateways: int = 8,
    seconds: float = 24.0,
    slow: SlowSpell | None = None,
) -> Figures:
    """Play a variant over several seeds."""
    figures = Figures()
    for seed in range(seeds):
        run = Run(customer, VARIANTS[name], gateways, seed, slow)
        load_source = random.Random(f"{seed} load")
        figures.seen += run.play(list(arrivals(customer, seconds, load, load_source)))
        figures.read_again += sum(item.counts.read_again for item in run.engines_by_id.values())
        figures.far_shares.append(run.far / run.placed)
        figures.fetched += sum(item.counts.fetched for item in run.engines_by_id.values())
    return figures


@click.command()
@click.option("--customer", type=click.Choice(list(CUSTOMERS)), default="tank")
@click.option("--seeds", default=4)
@click.option("--load", default=1.0, help="Factor on the rates of the sheet.")
@click.option("--gateways", default=8)
@click.option("--slow", is_flag=True, help="One engine is slow for some seconds.")
@click.option("--variant", multiple=True, type=click.Choice(list(VARIANTS)))
def main(
    customer: str, seeds: int, load: float, gateways: int, slow: bool, variant: tuple[str, ...]
) -> None:
    """Print a table of placement variants."""
    chosen = CUSTOMERS[customer]
    for name in variant or tuple(VARIANTS):
        figures = play(chosen, name, seeds, load, gateways, slow=SLOW_SPELL if slow else None)
        late = "  ".join(
            "{}: {:.3f} {:.3f} {:.3f}".format(kind.name, *figures.late(kind.name))
            for kind in chosen.kinds
        )
        click.echo(
            f"{name:8} credit {figures.credit():.4f}  late by first, pause, either: {late}  "
            f"again {figures.read_again // seeds:,}  fetched {figures.fetched // seeds:,}  "
            f"other zone {mean(figures.far_shares):.2f}"
        )


if __name__ == "__main__":
    main()
