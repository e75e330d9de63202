"""Loads and validates the settings file, and reports all of its faults at once."""

import dataclasses
import math
import tomllib
import typing
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from quinceferry_core.exceptions import SettingsError
from quinceferryd.settings import Settings
from quinceferryd.settings_rules import check_relations, check_value

_TYPE_NAMES_BY_TYPE = {
    str: "a string",
    int: "a whole number",
    float: "a number",
    bool: "true or false",
}


@dataclass(slots=True, frozen=True)
class SettingsFault:
    """One fault of a settings file; it never holds the value of a secret."""

    file: str
    key: str
    reason: str

    def __str__(self) -> str:
        """Return the fault as one line of text."""
        return (
            f"{self.file}: {self.key}: {self.reason}" if self.key else f"{self.file}: {self.reason}"
        )


class SettingsFileError(SettingsError):
    """The settings file is invalid.

    :param faults: all faults, in the order of the settings reference.
    """

    def __init__(self, faults: list[SettingsFault]) -> None:
        super().__init__("\n".join(str(fault) for fault in faults), step="settings.load")
        self.faults = faults

    def __str__(self) -> str:
        """Return one line for each fault."""
        return self.detail


def load_settings(path: str | Path) -> Settings:
    """Load and validate a settings file.

    :param path: path of the TOML file.
    :raises SettingsFileError: the file can't be read or is invalid.
    """
    return _Loader(str(path)).load()


class _Loader:
    """Loads one settings file and collects its faults."""

    def __init__(self, path: str) -> None:
        self._path = path
        self._faults: list[SettingsFault] = []

    def load(self) -> Settings:
        """Return the settings.

        :raises SettingsFileError: the file can't be read or is invalid.
        """
        document = self._parse()
        self._check_unknown_keys(document, _fields(Settings), "")
        values = {
            name: self._read_table(document, name, table_type)
            for name, table_type in _fields(Settings)
        }
        if not self._faults:
            settings = Settings(**values)
            for key, reason in check_relations(settings):
                self._add_fault(key, reason)
        if self._faults:
            raise SettingsFileError(self._faults)
        return settings

    def _parse(self) -> dict[str, Any]:
        """Read the file and parse it as TOML.

        :raises SettingsFileError: the file can't be read or is not valid TOML.
        """
        try:
            return tomllib.loads(Path(self._path).read_text(encoding="utf-8"))
        except (OSError, UnicodeDecodeError) as error:
            reason = f"can't be read: {error}"
        except tomllib.TOMLDecodeError as error:
            reason = f"is not valid TOML: {error}"
        raise SettingsFileError([SettingsFault(self._path, "", reason)])

    def _read_table(self, document: dict[str, Any], name: str, table_type: type) -> Any:
        """Read one table; return None when it has faults."""
        table = document.get(name, {})
        if not isinstance(table, dict):
            self._add_fault(name, "must be a table")
            return None
        self._check_unknown_keys(table, _fields(table_type), f"{name}.")
        fault_count = len(self._faults)
        values = self._read_values(table, name, table_type)
        return table_type(**values) if len(self._faults) == fault_count else None

    def _read_values(self, table: dict[str, Any], name: str, table_type: type) -> dict[str, Any]:
        """Return the values of the keys in a table, and add a fault for each missing key."""
        values = {}
        for field, expected in zip(
            dataclasses.fields(table_type), _fields(table_type), strict=True
        ):
            key = f"{name}.{field.name}"
            if field.name in table:
                values[field.name] = self._convert_and_check(key, table[field.name], expected[1])
            elif field.default is dataclasses.MISSING:
                self._add_fault(key, "is missing")
        return values

    def _convert_and_check(self, key: str, value: Any, expected_type: type) -> Any:
        """Check the type and range of a value; return it, an integer for a float field as float."""
        if expected_type is float and type(value) is int:
            value = float(value)
        if type(value) is not expected_type:
            self._add_fault(key, f"must be {_TYPE_NAMES_BY_TYPE[expected_type]}")
        elif isinstance(value, float) and not math.isfinite(value):
            self._add_fault(key, "must be finite")
        elif reason := check_value(key, value):
            self._add_fault(key, reason)
        return value

    def _check_unknown_keys(
        self, table: dict[str, Any], fields: list[tuple[str, type]], prefix: str
    ) -> None:
        """Add a fault for each key that is not a field."""
        known_names = {name for name, _ in fields}
        for name in table:
            if name not in known_names:
                self._add_fault(f"{prefix}{name}", "is not a known key")

    def _add_fault(self, key: str, reason: str) -> None:
        """Add a fault."""
        self._faults.append(SettingsFault(self._path, key, reason))


def _fields(table_type: type) -> list[tuple[str, type]]:
    """Return the names and types of the fields of a data class."""
    types_by_name = typing.get_type_hints(table_type)
    return [(field.name, types_by_name[field.name]) for field in dataclasses.fields(table_type)]
