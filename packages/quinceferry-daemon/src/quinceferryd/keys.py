"""Authentication of callers by workspace keys."""

import hashlib
import hmac

from quinceferry_core.models import Configuration, WorkspaceSpec

_SCHEME = "bearer "


class KeyRing:
    """Finds the workspace of a bearer key.

    Keys are looked up by their SHA-256 digests, so that the timing reveals nothing about other
    keys. The index is rebuilt when the configuration changes.
    """

    def __init__(self) -> None:
        self._configuration: Configuration | None = None
        self._workspaces_by_hash: dict[str, WorkspaceSpec | None] = {}

    def find(self, authorization: str, configuration: Configuration) -> WorkspaceSpec | None:
        """Return the workspace that an ``Authorization`` header gives access to.

        A key that two workspaces list gives access to neither of them.

        :param authorization: the header's value; empty if it is missing.
        :param configuration: the current configuration.
        :return: the workspace, or None if the key is not valid.
        """
        if configuration is not self._configuration:
            self._workspaces_by_hash = _index_by_hash(configuration)
            self._configuration = configuration
        digest = bearer_digest(authorization)
        return self._workspaces_by_hash.get(digest) if digest else None


def bearer_digest(authorization: str) -> str:
    """Return the hexadecimal SHA-256 digest of a bearer key; empty if there is no bearer key."""
    if authorization[: len(_SCHEME)].lower() != _SCHEME:
        return ""
    return key_digest(authorization[len(_SCHEME) :].strip())


def key_digest(key: str) -> str:
    """Return the hexadecimal SHA-256 digest under which a key is stored."""
    return hashlib.sha256(key.encode()).hexdigest()


def matches_key(authorization: str, key: str) -> bool:
    """Return whether a bearer key equals a given key; compare in constant time."""
    return hmac.compare_digest(bearer_digest(authorization), key_digest(key))


def _index_by_hash(configuration: Configuration) -> dict[str, WorkspaceSpec | None]:
    """Return the workspaces by key digest; None for a digest that two workspaces list."""
    workspaces_by_hash: dict[str, WorkspaceSpec | None] = {}
    for workspace in configuration.workspaces_by_id.values():
        for digest in workspace.key_hashes:
            matching = workspaces_by_hash.get(digest, workspace)
            workspaces_by_hash[digest] = workspace if matching is workspace else None
    return workspaces_by_hash
