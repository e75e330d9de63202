"""How much memory connections may hold for their clients.

A process that uses more memory than its machine has is ended by the operating system, and all its
requests with it. So what clients may make it keep depends on the machine.
"""

from quinceferry_http import ClientLimits

MEBIBYTE = 1024 * 1024
PROCESS_MEGABYTES = 50
"""Memory of a process without connections."""
COUNTED_SHARE = 0.4
"""Share of the other memory: a body is copied while it is joined and sent to an upstream."""
REQUESTS_IN_CALM = 2
"""Requests of the largest permitted size that always have room."""


def connection_memory_bytes(machine_megabytes: int) -> int:
    """Return how many counted bytes connections may hold on a machine of some memory."""
    return int(COUNTED_SHARE * max(0, machine_megabytes - PROCESS_MEGABYTES) * MEBIBYTE)


def required_bytes(limits: ClientLimits, max_body_bytes: int) -> int:
    """Return the memory that is needed to serve requests of the largest size in calm."""
    return REQUESTS_IN_CALM * (max_body_bytes + limits.max_head_bytes)
