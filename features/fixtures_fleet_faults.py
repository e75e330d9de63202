"""Faults of a modelled fleet that sends requests to upstreams with an issuer of permits.

The context of a scenario has ``limited_id``, the identifier of an upstream, and ``start_sending``,
which starts the requests of a gateway.
"""

import asyncio

from features.fixtures_fleet import Node
from quinceferry_gateway.issuers import permit_issuer


async def kill_issuer(context, world):
    """Kill the gateway that grants the permits for the upstream."""
    issuer = permit_issuer(world.nodes[0].board, context.limited_id)
    await next(node for node in world.nodes if node.vm == issuer.vm).stop()


async def restart_half(context, world):
    """Kill every second gateway and start others on their vms together."""
    restarted = range(0, len(world.nodes), 2)
    for number in restarted:
        await world.nodes[number].stop()
        world.nodes[number] = Node(world, number, "second")
    await asyncio.gather(*(world.nodes[number].start() for number in restarted))
    for number in restarted:
        context.start_sending(context, world, world.nodes[number])


def split(parts):
    """Return a fault that cuts the fleet into parts of equal size, all of which reach the store."""

    async def cut(context, world):
        for number, origin in enumerate(world.nodes):
            for other, target in enumerate(world.nodes):
                if number % parts != other % parts:
                    cut_link(world, origin, target)

    return cut


def cut_link(world, origin, target):
    """Let nothing pass from one gateway to another."""
    pair = (origin.board.own.peer_address, target.board.own.peer_address)
    world.network.cut.add(pair)


FAULTS = {
    ", while the issuer is killed": kill_issuer,
    ", while half of the gateways restart": restart_half,
    ", while the fleet is split in two": split(2),
    ", while the fleet is split in four": split(4),
}
