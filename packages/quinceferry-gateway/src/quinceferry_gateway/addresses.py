"""Parses addresses of the form ``host:port``."""


def host_and_port(address: str) -> tuple[str, int]:
    """Split an address into host and port.

    :raises ValueError: the port is not a number.
    """
    host, _, port = address.rpartition(":")
    return host, int(port)
