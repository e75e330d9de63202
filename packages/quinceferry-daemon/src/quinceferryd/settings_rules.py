"""Validation rules of the settings: ranges of values and relations between them."""

import ipaddress
import re
from collections.abc import Callable, Iterator
from typing import Any
from urllib.parse import urlsplit

from quinceferryd.settings import Settings

MIN_SECRET_CHARACTERS = 16
"""Minimum length of a secret."""

_NAME_PATTERN = re.compile(r"[A-Za-z0-9_.-]{1,64}")
_MAX_PORT = 65535
_MAX_SECONDS = 86400.0

Rule = Callable[[Any], str]
"""Returns the reason why a value is invalid, or an empty string.

The reason must not contain the value of a string, since it may be a secret.
"""


def check_value(key: str, value: object) -> str:
    """Check a value by the rule of its key, or else of the unit that ends its key.

    :param key: ``table.key``.
    :param value: the value, of the type that the key requires.
    :return: the reason why the value is invalid; empty when it is valid.
    """
    rule = _RULES_BY_KEY.get(key) or _find_unit_rule(key)
    return rule(value) if rule else ""


def check_relations(settings: Settings) -> Iterator[tuple[str, str]]:
    """Check values against each other; yield a key and a reason for each violation."""
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


def _find_unit_rule(key: str) -> Rule | None:
    """Return the rule for the unit suffix of a key; None when the suffix has no rule."""
    for suffix, rule in _RULES_BY_SUFFIX.items():
        if key.endswith(suffix):
            return rule
    return None


def _check_name(value: str) -> str:
    """Check the characters and the length of a name."""
    return "" if _NAME_PATTERN.fullmatch(value) else f"must match {_NAME_PATTERN.pattern}"


def _check_optional_name(value: str) -> str:
    """Check a name that may be empty."""
    return _check_name(value) if value else ""


def _check_secret(value: str) -> str:
    """Check the length of a secret."""
    is_short = len(value) < MIN_SECRET_CHARACTERS
    return f"must have at least {MIN_SECRET_CHARACTERS} characters" if is_short else ""


def _check_ip_address(value: str) -> str:
    """Check an IP address that other VMs can reach."""
    try:
        address = ipaddress.ip_address(value)
    except ValueError:
        return "must be an IP address"
    return "must be an address that other VMs reach" if address.is_unspecified else ""


def _check_url(value: str) -> str:
    """Check the URL of a service."""
    try:
        parts = urlsplit(value)
        is_valid = parts.scheme in ("http", "https") and bool(parts.hostname) and parts.port != 0
    except ValueError:
        is_valid = False
    return "" if is_valid else "must be a URL such as http://10.0.0.1:7000"


def _range_rule(low: float, high: float) -> Rule:
    """Return a rule for numbers in a closed range."""

    def rule(value: float) -> str:
        return "" if low <= value <= high else f"must be from {low:g} to {high:g}, not {value:g}"

    return rule


def _minimum_rule(low: float) -> Rule:
    """Return a rule for numbers with a lower bound."""

    def rule(value: float) -> str:
        return "" if value >= low else f"must be at least {low:g}, not {value:g}"

    return rule


def _check_share(value: float) -> str:
    """Check a share: above 0 and at most 1."""
    return "" if 0 < value <= 1 else f"must be above 0 and at most 1, not {value:g}"


def _seconds(value: float) -> str:
    """Check a duration: above 0 and at most one day."""
    if 0 < value <= _MAX_SECONDS:
        return ""
    return f"must be above 0 and at most {_MAX_SECONDS:g} seconds, not {value:g}"


_RULES_BY_KEY: dict[str, Rule] = {
    "router.vm": _check_name,
    "router.zone": _check_name,
    "router.region": _check_optional_name,
    "router.host": _check_ip_address,
    "router.port": _range_rule(1, _MAX_PORT),
    "router.fleet_secret": _check_secret,
    "router.operator_key": _check_secret,
    "platform.kv_url": _check_url,
    "platform.vm_list_url": _check_url,
    "platform.kv_timeout_seconds": _range_rule(0.05, 60),
    "routing.load_report_lag_seconds": _range_rule(0, 60),
    "routing.other_zone_penalty_seconds": _range_rule(0, 60),
    "membership.lease_ttl_seconds": _range_rule(1, 600),
    "membership.heartbeat_interval_seconds": _range_rule(0.5, 300),
    "addresses.answer_ttl_seconds": _range_rule(1, 3600),
    "streams.retry_share": _range_rule(0, 1),
    "clients.max_requests_ahead": _minimum_rule(1),
    "clients.max_connections": _minimum_rule(1),
}
_RULES_BY_SUFFIX: dict[str, Rule] = {
    "_per_second": _range_rule(0.01, 1e9),
    "_seconds": _seconds,
    "_days": _range_rule(1, 3650),
    "_share": _check_share,
    "_bytes": _minimum_rule(1024),
    "_tokens": _minimum_rule(1),
    "_requests": _minimum_rule(1),
    "_entries": _minimum_rule(1),
    "_chunks": _minimum_rule(1),
    "_attempts": _minimum_rule(1),
    "_candidates": _minimum_rule(1),
    "_upstreams": _minimum_rule(1),
    "_slots": _minimum_rule(1),
    "_per_workspace": _minimum_rule(1),
}
