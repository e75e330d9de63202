"""Ranges and relations that settings must keep."""

import ipaddress
import re
from collections.abc import Callable, Iterator
from typing import Any
from urllib.parse import urlsplit

from quinceferryd.settings import Settings

MIN_SECRET_CHARACTERS = 16
"""Shortest secret accepted."""

_NAME_PATTERN = re.compile(r"[A-Za-z0-9_.-]{1,64}")
_MAX_PORT = 65535
_MAX_SECONDS = 86400.0

Rule = Callable[[Any], str]
"""Returns why a value is wrong, or nothing; it must not repeat the value of a string."""


def value_fault(key: str, value: object) -> str:
    """Check one value by its key, or else by the unit in its key.

    :param key: ``table.key``.
    :return: what is wrong; empty when nothing is.
    """
    rule = _RULES_BY_KEY.get(key) or _unit_rule(key)
    return rule(value) if rule else ""


def relation_faults(settings: Settings) -> Iterator[tuple[str, str]]:
    """Check values against each other; yields keys and reasons."""
    router, membership = settings.router, settings.membership
    streams, callers = settings.streams, settings.callers
    if router.operator_key == router.fleet_secret:
        yield "router.operator_key", "must differ from router.fleet_secret"
    if membership.heartbeat_interval_seconds * 2 > membership.lease_ttl_seconds:
        yield (
            "membership.heartbeat_interval_seconds",
            "must be at most half of membership.lease_ttl_seconds",
        )
    if streams.min_backoff_seconds > streams.max_backoff_seconds:
        yield "streams.min_backoff_seconds", "must not exceed streams.max_backoff_seconds"
    if callers.max_body_bytes > callers.max_total_body_bytes:
        yield "callers.max_body_bytes", "must not exceed callers.max_total_body_bytes"
    if callers.default_deadline_seconds > callers.max_deadline_seconds:
        yield "callers.default_deadline_seconds", "must not exceed callers.max_deadline_seconds"


def _unit_rule(key: str) -> Rule | None:
    """Return the rule of the unit in which a key ends."""
    for suffix, rule in _RULES_BY_SUFFIX.items():
        if key.endswith(suffix):
            return rule
    return None


def _name(value: str) -> str:
    """Check a name."""
    return "" if _NAME_PATTERN.fullmatch(value) else f"must match {_NAME_PATTERN.pattern}"


def _optional_name(value: str) -> str:
    """Check a name that may be empty."""
    return _name(value) if value else ""


def _secret(value: str) -> str:
    """Check the length of a secret."""
    short = len(value) < MIN_SECRET_CHARACTERS
    return f"must have at least {MIN_SECRET_CHARACTERS} characters" if short else ""


def _ip_address(value: str) -> str:
    """Check an IP address that other VMs can reach."""
    try:
        address = ipaddress.ip_address(value)
    except ValueError:
        return "must be an IP address"
    return "must be an address that other VMs reach" if address.is_unspecified else ""


def _url(value: str) -> str:
    """Check the URL of a service."""
    try:
        parts = urlsplit(value)
        valid = parts.scheme in ("http", "https") and bool(parts.hostname) and parts.port != 0
    except ValueError:
        valid = False
    return "" if valid else "must be a URL such as http://10.0.0.1:7000"


def _between(low: float, high: float) -> Rule:
    """Return a rule for numbers in a closed range."""

    def rule(value: float) -> str:
        return "" if low <= value <= high else f"must be from {low:g} to {high:g}, not {value:g}"

    return rule


def _at_least(low: float) -> Rule:
    """Return a rule for numbers with a lower bound."""

    def rule(value: float) -> str:
        return "" if value >= low else f"must be at least {low:g}, not {value:g}"

    return rule


def _share(value: float) -> str:
    """Check a share of a whole."""
    return "" if 0 < value <= 1 else f"must be above 0 and at most 1, not {value:g}"


def _seconds(value: float) -> str:
    """Check a duration."""
    if 0 < value <= _MAX_SECONDS:
        return ""
    return f"must be above 0 and at most {_MAX_SECONDS:g} seconds, not {value:g}"


_RULES_BY_KEY: dict[str, Rule] = {
    "router.vm": _name,
    "router.zone": _name,
    "router.region": _optional_name,
    "router.host": _ip_address,
    "router.port": _between(1, _MAX_PORT),
    "router.fleet_secret": _secret,
    "router.operator_key": _secret,
    "platform.kv_url": _url,
    "platform.vm_list_url": _url,
    "platform.kv_timeout_seconds": _between(0.05, 60),
    "routing.load_report_lag_seconds": _between(0, 60),
    "routing.other_zone_penalty_seconds": _between(0, 60),
    "membership.lease_ttl_seconds": _between(1, 600),
    "membership.heartbeat_interval_seconds": _between(0.5, 300),
    "addresses.answer_ttl_seconds": _between(1, 3600),
    "streams.retry_share": _between(0, 1),
}
_RULES_BY_SUFFIX: dict[str, Rule] = {
    "_per_second": _between(0.01, 1e9),
    "_seconds": _seconds,
    "_days": _between(1, 3650),
    "_share": _share,
    "_bytes": _at_least(1024),
    "_tokens": _at_least(1),
    "_requests": _at_least(1),
    "_entries": _at_least(1),
    "_chunks": _at_least(1),
    "_attempts": _at_least(1),
    "_candidates": _at_least(1),
    "_upstreams": _at_least(1),
    "_slots": _at_least(1),
    "_per_workspace": _at_least(1),
}
