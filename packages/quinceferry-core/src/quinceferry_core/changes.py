"""Changes of the operators' configuration, as stored in the configuration log.

The log has one entry for each revision, which is created only if absent, so that the entries are
totally ordered and never removed.
"""

from dataclasses import replace

import msgspec

from quinceferry_core.models import (
    Configuration,
    IncarnationId,
    ModelSpec,
    OperationId,
    UpstreamId,
    UpstreamSpec,
    WorkspaceId,
    WorkspaceSpec,
)


class PutWorkspace(msgspec.Struct, frozen=True, tag="put_workspace"):
    """Create or replace a workspace."""

    spec: WorkspaceSpec


class RemoveWorkspace(msgspec.Struct, frozen=True, tag="remove_workspace"):
    """Remove a workspace."""

    id: WorkspaceId


class PutModel(msgspec.Struct, frozen=True, tag="put_model"):
    """Create or replace a model."""

    spec: ModelSpec


class RemoveModel(msgspec.Struct, frozen=True, tag="remove_model"):
    """Remove a model."""

    name: str


class PutUpstream(msgspec.Struct, frozen=True, tag="put_upstream"):
    """Create or replace an upstream."""

    spec: UpstreamSpec


class RemoveUpstream(msgspec.Struct, frozen=True, tag="remove_upstream"):
    """Remove an upstream."""

    id: UpstreamId


ConfigurationChange = (
    PutWorkspace | RemoveWorkspace | PutModel | RemoveModel | PutUpstream | RemoveUpstream
)


class LogEntry(msgspec.Struct, frozen=True):
    """The entry of one revision in the configuration log.

    ``fingerprint`` is a digest of the operator's request; a repeated operation must have the same.
    """

    revision: int
    operation_id: OperationId
    change: ConfigurationChange
    proposer: IncarnationId
    fingerprint: str = ""


def object_key(change: ConfigurationChange) -> str:
    """Return the key of the object that a change applies to."""
    match change:
        case PutWorkspace(spec=spec):
            return f"workspace/{spec.id}"
        case RemoveWorkspace(id=workspace):
            return f"workspace/{workspace}"
        case PutModel(spec=spec):
            return f"model/{spec.name}"
        case RemoveModel(name=name):
            return f"model/{name}"
        case PutUpstream(spec=spec):
            return f"upstream/{spec.id}"
        case RemoveUpstream(id=upstream):
            return f"upstream/{upstream}"


def is_removal(change: ConfigurationChange) -> bool:
    """Return whether a change removes its object."""
    return isinstance(change, RemoveWorkspace | RemoveModel | RemoveUpstream)


def apply_change(
    configuration: Configuration, change: ConfigurationChange, revision: int
) -> Configuration:
    """Return the configuration after a change; the given configuration is not modified."""
    workspaces = configuration.workspaces_by_id
    models = configuration.models_by_name
    upstreams = configuration.upstreams_by_id
    match change:
        case PutWorkspace(spec=spec):
            workspaces = {**workspaces, spec.id: spec}
        case RemoveWorkspace(id=workspace):
            workspaces = {key: spec for key, spec in workspaces.items() if key != workspace}
        case PutModel(spec=spec):
            models = {**models, spec.name: spec}
        case RemoveModel(name=name):
            models = {key: spec for key, spec in models.items() if key != name}
        case PutUpstream(spec=spec):
            upstreams = {**upstreams, spec.id: spec}
        case RemoveUpstream(id=upstream):
            upstreams = {key: spec for key, spec in upstreams.items() if key != upstream}
    return replace(
        configuration,
        revision=revision,
        workspaces_by_id=workspaces,
        models_by_name=models,
        upstreams_by_id=upstreams,
    )
