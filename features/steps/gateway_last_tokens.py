"""Steps for the last tokens of a workspace."""

import asyncio
import random
from dataclasses import dataclass

from behave import then, when

from features.fixtures_gateway_budgets import WORKSPACE
from features.steps.gateway_budgets import play
from features.steps.gateway_reservations import reservations_at
from quinceferry_gateway.decisions.last_tokens import LastTokens
from quinceferry_gateway.reservations import Reservation, Shortage

POWER_OFF_SECONDS = 2.0
RUN_SECONDS = (0.2, 1.5)
"""Shortest and longest time for which a request keeps its reservation."""


@dataclass(slots=True, frozen=True)
class Kind:
    """Requests whose sizes are spread around a mean that all of them share."""

    requests_per_second: float
    shared_tokens: int
    own_tokens: int


KINDS = (Kind(3.9, 6_300, 2_940), Kind(4.8, 568, 1_820), Kind(4.8, 172, 820))
"""Together 52,000 tokens a second, two thirds of them for the largest kind."""
REQUESTS_PER_SECOND = sum(kind.requests_per_second for kind in KINDS)


class Traffic:
    """Requests of all sizes that reach the gateways at random."""

    def __init__(self, bench, seed):
        self.bench = bench
        self.random = random.Random(seed)
        self.asked = 0
        self._senders_by_name = {}

    async def ask(self, seconds):
        """Send requests for a time.

        :return: the share of them that got their tokens.
        """
        ends_at = self.bench.clock.monotonic() + seconds
        tasks = []
        while self.bench.clock.monotonic() < ends_at:
            tasks.append(asyncio.create_task(self._ask_once()))
            await self.bench.clock.sleep(self.random.expovariate(REQUESTS_PER_SECOND))
        granted = await asyncio.gather(*tasks)
        return sum(granted) / len(granted)

    async def _ask_once(self):
        """Make one request; tell whether it got its tokens."""
        self.asked += 1
        name = self.random.choice(list(self.bench.holders_by_name))
        sender = self._sender(name)
        result = await sender.reserve(f"{name}-{self.asked}", WORKSPACE, self._tokens())
        if not isinstance(result, Reservation):
            return False
        asyncio.create_task(self._run(sender, result))
        return True

    async def _run(self, sender, reservation):
        """Use all tokens of a reservation."""
        await self.bench.clock.sleep(self.random.uniform(*RUN_SECONDS))
        sender.settle(reservation, sum(part.tokens for part in reservation.parts))

    def _tokens(self):
        """Draw the size of a request."""
        rates = [kind.requests_per_second for kind in KINDS]
        kind = self.random.choices(KINDS, rates)[0]
        return kind.shared_tokens + int(kind.own_tokens * self.random.lognormvariate(-0.32, 0.8))

    def _sender(self, name):
        """Return what reserves tokens at one gateway."""
        if name not in self._senders_by_name:
            self._senders_by_name[name] = reservations_at(self.bench, name, self.random)
        return self._senders_by_name[name]

    async def close(self):
        """Stop all that has been started."""
        for sender in self._senders_by_name.values():
            await sender.stop()


@when("they are asked for requests of all sizes for {seconds:d} seconds, seed {seed:d}")
def when_asked_first(context, seconds, seed):
    async def ask(bench):
        context.traffic = Traffic(bench, seed)
        context.granted_share = await context.traffic.ask(seconds)

    context.acts.append(ask)


@when("they are asked for requests of all sizes for {seconds:d} seconds")
def when_asked_for_all_sizes(context, seconds):
    context.acts.append(lambda bench: context.traffic.ask(seconds))


@when("nothing stops all of them")
def when_nothing_stops(context):
    pass


@when("a loss of power stops all of them")
def when_power_lost(context):
    async def lose_power(bench):
        bench.boot_id = "boot after a loss of power"
        await bench.restart_all(POWER_OFF_SECONDS)

    context.acts.append(lose_power)


@then(
    "more than a quarter of the requests of the next {seconds:d} seconds are served, {plain:d} of "
    "100 without tokens"
)
def then_quarter_served(context, seconds, plain):
    async def check(bench):
        granted_share = await context.traffic.ask(seconds)
        await context.traffic.close()
        share = (plain + granted_share * (100 - plain)) / 100
        assert share > 0.25, share

    play(context, check)


@then("all of the requests have got their tokens")
def then_all_granted(context):
    async def check(_bench):
        await context.traffic.close()
        assert context.granted_share == 1.0, context.granted_share

    play(context, check)


@then("the request is refused as {refusal}")
def then_refused_as(context, refusal):
    async def check(_bench):
        await context.traffic.close()
        match context.result:
            case Shortage(exhausted=True):
                found = "larger than what the workspace has left"
            case Shortage(is_too_large=True):
                found = "too large for the last tokens"
            case result:
                found = str(result)
        assert found == refusal, context.result

    play(context, check)


@when("{left:d} tokens are left of {kept:d} that are kept, and {drawn:d} are drawn a second")
def when_left(context, left, kept, drawn):
    context.most = LastTokens(left, kept, drawn).max_request_tokens


@then("one request may draw {most} of them")
def then_may_take(context, most):
    assert context.most == int(most), context.most
