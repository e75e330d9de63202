"""Workspace keys of callers."""

import hashlib
import hmac

from quinceferry_core.models import Configuration, WorkspaceSpec

_SCHEME = "bearer "


class KeyRing:
    """Finds the workspace of a bearer key.

    The lookup is by the key's SHA-256 digest, so its timing tells nothing of other keys. It is
    built once for each revision of the configuration.
    """

    def __init__(self) -> None:
        self._configuration: Configuration | None = None
        self._workspaces_by_hash: dict[str, WorkspaceSpec | None] = {}

    def find(self, authorization: str, configuration: Configuration) -> WorkspaceSpec | None:
        """Return the workspace that an ``Authorization`` header opens.

        A key listed by two workspaces opens neither of them.

        :param authorization: the header's value; empty when it is missing.
        :param configuration: the configuration in force.
        :return: the workspace, or None for a wrong key.
        """
        if configuration is not self._configuration:
            self._workspaces_by_hash = _index_by_hash(configuration)
            self._configuration = configuration
        return self._workspaces_by_hash.get(bearer_digest(authorization))


def bearer_digest(authorization: str) -> str:
    """Return the hexadecimal SHA-256 digest of a bearer key; empty when there is none."""
    if authorization[: len(_SCHEME)].lower() != _SCHEME:
        return ""
    return key_digest(authorization[len(_SCHEME) :].strip())


def key_digest(key: str) -> str:
    """Return the hexadecimal SHA-256 digest under which a key is kept."""
    return hashlib.sha256(key.encode()).hexdigest()


def matches_key(authorization: str, key: str) -> bool:
    """Compare a bearer key with a known key, in constant time."""
    return hmac.compare_digest(bearer_digest(authorization), key_digest(key))


def _index_by_hash(configuration: Configuration) -> dict[str, WorkspaceSpec | None]:
    """Return all workspaces by key digest; None for a digest listed twice."""
    workspaces_by_hash: dict[str, WorkspaceSpec | None] = {}
    for workspace in configuration.workspaces_by_id.values():
        for digest in workspace.key_hashes:
            matching = workspaces_by_hash.get(digest, workspace)
            workspaces_by_hash[digest] = workspace if matching is workspace else None
    return workspaces_by_hash
