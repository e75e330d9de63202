"""Loads the settings file and reports all of its faults at once."""

import dataclasses
import math
import tomllib
import typing
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from quinceferry_core.exceptions import SettingsError
from quinceferryd.settings import Settings
from quinceferryd.settings_rules import relation_faults, value_fault

_TYPE_NAMES = {str: "a string", int: "a whole number", float: "a number", bool: "true or false"}


@dataclass(slots=True, frozen=True)
class Fault:
    """One fault of a settings file; it never holds the value of a secret."""

    file: str
    key: str
    reason: str

    def __str__(self) -> str:
        """Return one line for people."""
        return (
            f"{self.file}: {self.key}: {self.reason}" if self.key else f"{self.file}: {self.reason}"
        )


class SettingsFileError(SettingsError):
    """The settings file holds faults.

    :param faults: all of them, in the order of the settings reference.
    """

    def __init__(self, faults: list[Fault]) -> None:
        super().__init__("\n".join(str(fault) for fault in faults), step="settings.load")
        self.faults = faults

    def __str__(self) -> str:
        """Return one line for each fault."""
        return self.detail


def load(path: str | Path) -> Settings:
    """Load and check a settings file.

    :param path: path of the TOML file.
    :raises SettingsFileError: the file can't be read, or holds faults.
    """
    return _Loader(str(path)).load()


class _Loader:
    """Collects the faults of one file."""

    def __init__(self, path: str) -> None:
        self._path = path
        self._faults: list[Fault] = []

    def load(self) -> Settings:
        """Return the settings, or raise with all faults."""
        document = self._parse()
        self._refuse_unknown(document, _fields(Settings), "")
        values = {name: self._table(document, name, kind) for name, kind in _fields(Settings)}
        if not self._faults:
            settings = Settings(**values)
            for key, reason in relation_faults(settings):
                self._add(key, reason)
        if self._faults:
            raise SettingsFileError(self._faults)
        return settings

    def _parse(self) -> dict[str, Any]:
        """Read the file."""
        try:
            return tomllib.loads(Path(self._path).read_text(encoding="utf-8"))
        except (OSError, UnicodeDecodeError) as error:
            reason = f"can't be read: {error}"
        except tomllib.TOMLDecodeError as error:
            reason = f"is not valid TOML: {error}"
        raise SettingsFileError([Fault(self._path, "", reason)])

    def _table(self, document: dict[str, Any], name: str, kind: type) -> Any:
        """Read one table; None when it has faults."""
        table = document.get(name, {})
        if not isinstance(table, dict):
            self._add(name, "must be a table")
            return None
        self._refuse_unknown(table, _fields(kind), f"{name}.")
        before = len(self._faults)
        values = self._values(table, name, kind)
        return kind(**values) if len(self._faults) == before else None

    def _values(self, table: dict[str, Any], name: str, kind: type) -> dict[str, Any]:
        """Read the keys of one table that are present."""
        values = {}
        for field, expected in zip(dataclasses.fields(kind), _fields(kind), strict=True):
            key = f"{name}.{field.name}"
            if field.name in table:
                values[field.name] = self._value(key, table[field.name], expected[1])
            elif field.default is dataclasses.MISSING:
                self._add(key, "is missing")
        return values

    def _value(self, key: str, value: Any, expected: type) -> Any:
        """Check one value and return it in its type."""
        if expected is float and type(value) is int:
            value = float(value)
        if type(value) is not expected:
            self._add(key, f"must be {_TYPE_NAMES[expected]}")
        elif isinstance(value, float) and not math.isfinite(value):
            self._add(key, "must be finite")
        elif reason := value_fault(key, value):
            self._add(key, reason)
        return value

    def _refuse_unknown(
        self, table: dict[str, Any], fields: list[tuple[str, type]], prefix: str
    ) -> None:
        """Add a fault for each key that nothing reads."""
        known = {name for name, _ in fields}
        for name in table:
            if name not in known:
                self._add(f"{prefix}{name}", "is not a known key")

    def _add(self, key: str, reason: str) -> None:
        """Add a fault."""
        self._faults.append(Fault(self._path, key, reason))


def _fields(kind: type) -> list[tuple[str, type]]:
    """Return the names and types of a data class's fields."""
    types_by_name = typing.get_type_hints(kind)
    return [(field.name, types_by_name[field.name]) for field in dataclasses.fields(kind)]
