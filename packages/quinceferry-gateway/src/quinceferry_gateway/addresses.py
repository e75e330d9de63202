"""Addresses of the form ``host:port``."""


def host_and_port(address: str) -> tuple[str, int]:
    """Return both parts of an address.

    :raises ValueError: the port is no number.
    """
    host, _, port = address.rpartition(":")
    return host, int(port)
