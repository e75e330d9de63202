"""Settings of a gateway, read from a TOML file and validated."""

import tomllib
from dataclasses import asdict
from pathlib import Path

import msgspec

from quinceferry_core.exceptions import SettingsError
from quinceferry_http import ClientLimits


class Identity(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Identity of this gateway, and the regions of all availability zones."""

    vm: str
    zone: str
    region: str
    region_by_zone: dict[str, str] = {}

    def region_of(self, zone: str) -> str:
        """Return the region of a zone, empty if it is unknown."""
        return self.region if zone == self.zone else self.region_by_zone.get(zone, "")


class Addresses(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Addresses to listen on, as ``host:port``; ``directory`` may be empty."""

    callers: str
    readiness: str
    directory: str
    peers: str
    metrics: str


class StoreSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Access to the platform's store.

    ``heartbeat_milliseconds`` is the interval at which upstreams renew their entries.
    """

    address: str
    timeout_seconds: float = 0.8
    heartbeat_milliseconds: int = 1_200


class RetrySettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Retry budget of the fleet for each service."""

    ratio: float
    slack: float
    window_seconds: float


class StopSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Timing of a planned stop.

    ``grace_seconds`` is the time until the process is killed; ``leave_seconds`` is how long it
    accepts every request, until callers have had the time to learn other addresses. Afterwards it
    accepts those that are certainly finished before the process ends, and refuses the others; once
    nothing is in progress, it listens no more.
    """

    grace_seconds: float
    leave_seconds: float = 2.5


class DirectorySettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Answers to callers that ask for gateway addresses."""

    answer_seconds: float = 1.0
    max_addresses: int = 64


class FreshnessSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Time limits within which changes in the store must take effect in the whole fleet.

    ``configuration_milliseconds`` is the time until a new configuration must be in force,
    ``leaving_milliseconds`` the time after which a leaving upstream must not get more requests.
    """

    configuration_milliseconds: int = 2_000
    leaving_milliseconds: int = 2_000


class ColdStartSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """How far requests may exceed the rate that a cold upstream tolerates.

    In any second, the fleet may send it ``excess`` times that rate and ``slack`` requests more.
    """

    excess: float = 1.0
    slack: float = 0.0


class BudgetSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Number of gateways that hold tokens, and the share of a workspace's tokens that they hold.

    In a fleet of up to ``max_holders`` gateways, all of them hold tokens; in a larger one,
    ``few_holders`` do, since each writes the record up to 1.3 times per second. ``margin_share`` of
    the prepaid tokens is never drawn: it covers uncertain spending, such as the prompt of a run
    whose first event was lost. ``kept_share`` of the others is kept for small requests.
    ``held_share`` is the share of the remaining tokens that the holders together keep available
    while these last for ``ample_seconds`` or longer; the share shrinks as they run out sooner.

    ``limit_seconds`` is how long a holder keeps to the spending limits of the record after it has
    written it. It must exceed the time from the last write of a killed gateway until its successor
    listens: about a second between writes, and the time that a restart takes. What limits
    allow is lost with a killed holder. It lasts for this time, and is up to ``spendable_share`` of
    what the holders keep.
    """

    held_share: float = 0.35
    ample_seconds: float = 35.0
    max_holders: int = 12
    few_holders: int = 5
    margin_share: float = 0.01
    kept_share: float = 0.015
    limit_seconds: float = 3.5
    spendable_share: float = 0.5


class QuarantineSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Quarantine of content that crashes upstreams.

    ``crashes`` is the number of crashed upstreams at which the quarantine begins, ``hold_seconds``
    its duration.
    """

    crashes: int = 3
    hold_seconds: float = 600.0


class LimitSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Limits of the process.

    ``descriptors`` is the number of descriptors that it may have open; 0: what the operating system
    allows it. ``memory_megabytes`` is the memory that it may use; 0: connections may hold 256 MB.
    """

    descriptors: int = 0
    memory_megabytes: int = 0


class Settings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """All settings of a gateway."""

    gateway: Identity
    listen: Addresses
    store: StoreSettings
    retries: RetrySettings
    stop: StopSettings
    directory: DirectorySettings = DirectorySettings()
    freshness: FreshnessSettings = FreshnessSettings()
    cold_starts: ColdStartSettings = ColdStartSettings()
    budgets: BudgetSettings = BudgetSettings()
    quarantine: QuarantineSettings = QuarantineSettings()
    limits: LimitSettings = LimitSettings()
    clients: ClientLimits = ClientLimits()

    @classmethod
    def load(cls, path: Path) -> "Settings":
        """Read and validate a file.

        :raises SettingsError: the file can't be read or is invalid; the message lists all faults.
        """
        try:
            settings = msgspec.convert(tomllib.loads(path.read_text()), type=cls, strict=False)
        except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as error:
            raise SettingsError(str(error), step="settings.read", peer=str(path)) from error
        except msgspec.ValidationError as error:
            raise SettingsError(str(error), step="settings.check", peer=str(path)) from error
        faults = settings.faults()
        if faults:
            raise SettingsError("; ".join(faults), step="settings.check", peer=str(path))
        return settings

    def faults(self) -> list[str]:
        """Return descriptions of all invalid values."""
        addresses_by_name = {
            "listen.callers": self.listen.callers,
            "listen.readiness": self.listen.readiness,
            "listen.peers": self.listen.peers,
            "listen.metrics": self.listen.metrics,
            "store.address": self.store.address,
        }
        if self.listen.directory:
            addresses_by_name["listen.directory"] = self.listen.directory
        faults = [
            f"{name} is not host:port"
            for name, value in addresses_by_name.items()
            if _is_malformed_address(value)
        ]
        positive_values_by_name = {
            "store.timeout_seconds": self.store.timeout_seconds,
            "store.heartbeat_milliseconds": self.store.heartbeat_milliseconds,
            "retries.window_seconds": self.retries.window_seconds,
            "stop.grace_seconds": self.stop.grace_seconds,
            "directory.answer_seconds": self.directory.answer_seconds,
            "directory.max_addresses": self.directory.max_addresses,
            "freshness.configuration_milliseconds": self.freshness.configuration_milliseconds,
            "freshness.leaving_milliseconds": self.freshness.leaving_milliseconds,
            "cold_starts.excess": self.cold_starts.excess,
            "budgets.ample_seconds": self.budgets.ample_seconds,
            "budgets.limit_seconds": self.budgets.limit_seconds,
            "budgets.max_holders": self.budgets.max_holders,
            "budgets.few_holders": self.budgets.few_holders,
            "quarantine.crashes": self.quarantine.crashes,
            "quarantine.hold_seconds": self.quarantine.hold_seconds,
        }
        positive_values_by_name |= {
            f"clients.{name}": value for name, value in asdict(self.clients).items()
        }
        faults += [
            f"{name} must be above zero"
            for name, value in positive_values_by_name.items()
            if value <= 0
        ]
        shares_by_name = {
            "budgets.held_share": self.budgets.held_share,
            "budgets.margin_share": self.budgets.margin_share,
            "budgets.spendable_share": self.budgets.spendable_share,
        }
        faults += [
            f"{name} must be above 0 and below 1"
            for name, value in shares_by_name.items()
            if not 0 < value < 1
        ]
        if self.limits.descriptors < 0:
            faults.append("limits.descriptors must not be below zero")
        if self.limits.memory_megabytes < 0:
            faults.append("limits.memory_megabytes must not be below zero")
        if self.cold_starts.slack < 0:
            faults.append("cold_starts.slack must not be below zero")
        if self.stop.leave_seconds >= self.stop.grace_seconds:
            faults.append("stop.leave_seconds must be below stop.grace_seconds")
        return faults


def _is_malformed_address(address: str) -> bool:
    """Return whether an address lacks a host or a numeric port."""
    host, _, port = address.rpartition(":")
    return not host or not port.isdigit()
