"""Settings of a gateway: a TOML file, checked whole."""

import tomllib
from pathlib import Path

import msgspec

from quinceferry_core.exceptions import SettingsError


class Identity(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Who this gateway is."""

    vm: str
    zone: str
    region: str


class Addresses(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Where it listens, as ``host:port``; ``directory`` may be empty."""

    callers: str
    readiness: str
    directory: str
    peers: str
    metrics: str


class StoreSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The platform's store.

    ``heartbeat_milliseconds`` is the interval at which upstreams renew their entries.
    """

    address: str
    timeout_seconds: float = 0.8
    heartbeat_milliseconds: int = 1_200


class RetrySettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The fleet's budget of repeated sends, for each service."""

    ratio: float
    slack: float
    window_seconds: float


class StopSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """How a planned stop proceeds.

    ``grace_seconds`` is the time until the process is killed; ``leave_seconds`` how long new
    requests are still taken, until callers have stopped using the address.
    """

    grace_seconds: float
    leave_seconds: float = 3.5


class DirectorySettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Answers to callers that ask where to connect."""

    answer_seconds: float = 1.0
    max_addresses: int = 64


class FreshnessSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """How soon a change in the store must be followed everywhere.

    ``configuration_milliseconds`` is the time until a configuration must be in force,
    ``leaving_milliseconds`` that until an upstream that leaves may get no more requests.
    """

    configuration_milliseconds: int = 2_000
    leaving_milliseconds: int = 2_000


class BudgetSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Who keeps tokens at hand, and how much of what a workspace has left.

    Up to ``max_holders`` gateways all hold; of a larger fleet, ``few_holders`` do, since each
    writes the record up to 1.3 times a second. ``margin_share`` of the prepaid tokens is never
    drawn: it covers what is in doubt, such as the prompt of a run whose first event was lost on the
    way. ``held_share`` is kept at hand while a workspace's tokens last for ``ample_seconds`` or
    longer, and less the sooner they will be spent.
    """

    held_share: float = 0.35
    ample_seconds: float = 35.0
    max_holders: int = 12
    few_holders: int = 5
    margin_share: float = 0.01


class QuarantineSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """When content that crashes upstreams is run no more.

    ``crashes`` is how many upstreams it has crashed then, ``hold_seconds`` how long it is not run.
    """

    crashes: int = 3
    hold_seconds: float = 600.0


class Settings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """All settings of a gateway."""

    gateway: Identity
    listen: Addresses
    store: StoreSettings
    retries: RetrySettings
    stop: StopSettings
    directory: DirectorySettings = DirectorySettings()
    freshness: FreshnessSettings = FreshnessSettings()
    budgets: BudgetSettings = BudgetSettings()
    quarantine: QuarantineSettings = QuarantineSettings()

    @classmethod
    def load(cls, path: Path) -> "Settings":
        """Read and check a file.

        :raises SettingsError: it can't be read or holds faults; all of them are named.
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
        """Return what is wrong with the values."""
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
            "budgets.ample_seconds": self.budgets.ample_seconds,
            "budgets.max_holders": self.budgets.max_holders,
            "budgets.few_holders": self.budgets.few_holders,
            "quarantine.crashes": self.quarantine.crashes,
            "quarantine.hold_seconds": self.quarantine.hold_seconds,
        }
        faults += [
            f"{name} must be above zero"
            for name, value in positive_values_by_name.items()
            if value <= 0
        ]
        shares_by_name = {
            "budgets.held_share": self.budgets.held_share,
            "budgets.margin_share": self.budgets.margin_share,
        }
        faults += [
            f"{name} must be in 0 to 1"
            for name, value in shares_by_name.items()
            if not 0 < value < 1
        ]
        if self.stop.leave_seconds >= self.stop.grace_seconds:
            faults.append("stop.leave_seconds must be below stop.grace_seconds")
        return faults


def _is_malformed_address(address: str) -> bool:
    """Tell whether an address lacks a host or a port."""
    host, _, port = address.rpartition(":")
    return not host or not port.isdigit()
