"""Load of the placement experiment: kinds of requests, their sizes, and when they arrive."""

import math
import random
from collections.abc import Iterator
from dataclasses import dataclass

from quinceferry_lab.engine_model import FLEET_ENGINES, TANK_ENGINES, EngineFigures

CLUMP = 3.0
"""Requests that arrive together on average; the users' traffic comes so."""
CLUMP_SECONDS = 0.05


@dataclass(slots=True, frozen=True)
class Size:
    """A log-normal size with its mean, spread (sigma of the logarithm) and upper bound."""

    mean: float
    spread: float
    most: float

    def draw(self, source: random.Random) -> int:
        """Return a size."""
        if not self.spread:
            return round(self.mean)
        mu = math.log(self.mean) - self.spread**2 / 2
        return max(1, round(min(self.most, source.lognormvariate(mu, self.spread))))


@dataclass(slots=True, frozen=True)
class Kind:
    """A kind of request; ``worth`` in time, ``late_worth`` after the objective or a long pause."""

    name: str
    per_second: float
    objective_seconds: float
    pause_seconds: float
    worth: float
    late_worth: float
    heads: int
    head_tokens: int
    sessions: int
    session_tokens: Size
    own_tokens: Size
    events: Size


@dataclass(slots=True, frozen=True)
class Customer:
    """Engines and traffic of one customer."""

    engines: int
    zones: int
    speeds: tuple[float, ...]
    figures: EngineFigures
    kinds: tuple[Kind, ...]


TANK = Customer(
    6,
    4,
    (1.0, 1.0, 1.3),
    TANK_ENGINES,
    (
        Kind(
            "reconcile", 10.6, 0.6, 0.3, 9.0, 2.7, 1, 512, 119,
            Size(4870, 0.7, 14_600), Size(6610, 1.4, 54_600), Size(42.5, 0.44, 124),
        ),
        Kind(
            "explain", 39.5, 0.8, 0.3, 0.84, 0.25, 20, 119, 298,
            Size(79, 0.7, 238), Size(628, 1.0, 3310), Size(32.4, 0.69, 106),
        ),
        Kind(
            "summary", 28.5, 1.2, 0.3, 0.39, 0.12, 20, 341, 322,
            Size(227, 0.7, 681), Size(1800, 1.3, 6870), Size(2.51, 1.4, 10),
        ),
    ),
)  # fmt: skip
"""Tank book-keeping: few long prompts among many short ones, of which some are huge."""
FLEET = Customer(
    5,
    3,
    (1.0,),
    FLEET_ENGINES,
    (
        Kind(
            "opinion", 8.45, 0.8, 0.5, 4.7, 1.4, 1, 700, 100,
            Size(5600, 0.7, 16_000), Size(2890, 0.8, 15_000), Size(17, 0.5, 60),
        ),
        Kind(
            "check", 10.2, 1.5, 0.5, 1.1, 0.34, 20, 341, 300,
            Size(227, 0.7, 681), Size(1800, 0.8, 6870), Size(8, 0.7, 30),
        ),
        Kind(
            "notes", 9.15, 2.0, 0.5, 0.43, 0.13, 20, 100, 300,
            Size(72, 0.7, 238), Size(543, 0.8, 3310), Size(87, 0.5, 200),
        ),
    ),
)  # fmt: skip
"""Fleet underwriting: slow readers; sizes beyond those of the sheet are assumed."""
CUSTOMERS = {"tank": TANK, "fleet": FLEET}


@dataclass(slots=True, frozen=True)
class Arrival:
    """One request as its caller sends it."""

    at: float
    kind: Kind
    parts: tuple[tuple[str, int], ...]
    own_tokens: int
    events: int


def arrivals(
    customer: Customer, seconds: float, load: float, source: random.Random
) -> Iterator[Arrival]:
    """Return the requests of some seconds, in order of time.

    :param load: factor on the rates of the sheet.
    """
    session_tokens = {
        (kind.name, number): kind.session_tokens.draw(source)
        for kind in customer.kinds
        for number in range(kind.sessions)
    }
    rates = [kind.per_second for kind in customer.kinds]
    now = 0.0
    found: list[Arrival] = []
    while now < seconds:
        now += source.expovariate(load * sum(rates) / CLUMP)
        for _ in range(_clump(source)):
            kind = source.choices(customer.kinds, rates)[0]
            session = source.randrange(kind.sessions)
            head = (f"{kind.name}-head{session % kind.heads}", kind.head_tokens)
            tail = (f"{kind.name}-session{session}", session_tokens[kind.name, session])
            at = now + source.random() * CLUMP_SECONDS
            own_tokens = kind.own_tokens.draw(source)
            events = kind.events.draw(source)
            found.append(Arrival(at, kind, (head, tail), own_tokens, events))
    yield from sorted(found, key=lambda arrival: arrival.at)


def _clump(source: random.Random) -> int:
    """Return how many requests arrive together; geometric, so that the mean is kept."""
    return 1 + int(math.log(1 - source.random()) / math.log(1 - 1 / CLUMP))
