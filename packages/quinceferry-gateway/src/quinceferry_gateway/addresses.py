"""Parses addresses of the form ``host:port``."""

ADDRESS_PATTERN = r"^[0-9A-Za-z.-]{1,253}:[0-9]{1,5}\Z"
"""IPv4 address or host name in ASCII, and a port: what an address from outside must look like."""


def host_and_port(address: str) -> tuple[str, int]:
    """Split an address into host and port.

    :raises ValueError: the port is not a number.
    """
    host, _, port = address.rpartition(":")
    return host, int(port)
