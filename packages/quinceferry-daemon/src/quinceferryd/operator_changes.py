"""Derives configuration changes from operator messages."""

import hashlib
from dataclasses import replace

import msgspec
from returns.result import Failure, Result, Success

from quinceferry_core import operator_messages as messages
from quinceferry_core.changes import (
    ConfigurationChange,
    PutModel,
    PutUpstream,
    PutWorkspace,
    RemoveUpstream,
)
from quinceferry_core.configuration import ChangeBuilder
from quinceferry_core.models import (
    Configuration,
    Limits,
    ModelRef,
    ModelSpec,
    Priority,
    UpstreamId,
    UpstreamKind,
    UpstreamSpec,
    VmId,
    WorkspaceId,
    WorkspaceSpec,
)

BuildResult = Result[ConfigurationChange, str]
"""A configuration change, or the reason why the message cannot be applied."""


def change_builder(message: messages.Change) -> ChangeBuilder:
    """Return a function that derives the change from the latest configuration.

    :param message: a message that changes the configuration; for others the function fails.
    """

    def build(configuration: Configuration) -> BuildResult:
        match message:
            case messages.CreateWorkspace():
                return _create_workspace(message, configuration)
            case messages.UpdateWorkspace():
                return _update_workspace(message, configuration)
            case messages.RotateWorkspaceKey():
                return _rotate_key(message, configuration)
            case messages.RegisterModel():
                return _register_model(message)
            case messages.RegisterUpstream():
                return _register_upstream(message)
            case messages.RemoveUpstream():
                return Success(RemoveUpstream(UpstreamId(message.upstream)))
            case _:
                return Failure(f"{type(message).__name__} does not change the configuration")

    return build


def message_fingerprint(message: messages.Change) -> str:
    """Return a SHA-256 digest of the type and fields of a message.

    The expected revision is excluded, since a retry may expect a newer one.
    """
    document = msgspec.json.encode(msgspec.structs.replace(message, expected_revision=0))
    return hashlib.sha256(type(message).__name__.encode() + document).hexdigest()


def _create_workspace(
    message: messages.CreateWorkspace, configuration: Configuration
) -> BuildResult:
    """Return the change that creates a workspace."""
    if message.workspace in configuration.workspaces_by_id:
        return Failure(f"workspace {message.workspace} exists already")
    limits = Limits(
        message.requests_per_second, message.tokens_per_second, message.concurrent_streams
    )
    spec = WorkspaceSpec(
        WorkspaceId(message.workspace),
        (message.key_hash,),
        _parse_models(message.models),
        tuple(message.services),
        Priority[message.priority.upper()],
        limits,
    )
    return _validate_workspace(spec, configuration)


def _update_workspace(
    message: messages.UpdateWorkspace, configuration: Configuration
) -> BuildResult:
    """Return the change that replaces the given fields of a workspace."""
    spec = configuration.workspaces_by_id.get(WorkspaceId(message.workspace))
    if spec is None:
        return Failure(f"workspace {message.workspace} does not exist")
    limits = {
        "requests_per_second": message.requests_per_second,
        "tokens_per_second": message.tokens_per_second,
        "concurrent_streams": message.concurrent_streams,
    }
    fields = {
        "models": None if message.models is None else _parse_models(message.models),
        "services": None if message.services is None else tuple(message.services),
        "priority": None if message.priority is None else Priority[message.priority.upper()],
        "limits": replace(spec.limits, **_drop_none(limits)),
    }
    return _validate_workspace(replace(spec, **_drop_none(fields)), configuration)


def _rotate_key(message: messages.RotateWorkspaceKey, configuration: Configuration) -> BuildResult:
    """Return the change that sets a new key and, if requested, keeps the latest previous one."""
    spec = configuration.workspaces_by_id.get(WorkspaceId(message.workspace))
    if spec is None:
        return Failure(f"workspace {message.workspace} does not exist")
    previous = spec.key_hashes[:1] if message.keep_previous else ()
    hashes = dict.fromkeys((message.key_hash, *previous))
    return _validate_workspace(replace(spec, key_hashes=tuple(hashes)), configuration)


def _register_model(message: messages.RegisterModel) -> BuildResult:
    """Return the change that registers a model."""
    if message.default_output_tokens > message.max_output_tokens:
        return Failure("default_output_tokens is above max_output_tokens")
    spec = ModelSpec(
        message.name,
        message.min_bytes_per_token,
        message.default_output_tokens,
        message.max_output_tokens,
    )
    return Success(PutModel(spec))


def _register_upstream(message: messages.RegisterUpstream) -> BuildResult:
    """Return the change that registers an upstream."""
    kind = UpstreamKind(message.kind)
    if (kind is UpstreamKind.SERVICE) != bool(message.service):
        return Failure("a plain service needs the field service, and a model engine must lack it")
    spec = UpstreamSpec(
        UpstreamId(message.upstream),
        message.address,
        message.zone,
        kind,
        VmId(message.vm),
        message.checks_fencing,
        message.service,
        message.role,
    )
    return Success(PutUpstream(spec))


def _validate_workspace(spec: WorkspaceSpec, configuration: Configuration) -> BuildResult:
    """Reject a workspace with an unregistered model or with a key of another workspace."""
    for model in spec.models:
        if model.model not in configuration.models_by_name:
            return Failure(f"model {model.model} is not registered")
    for other in configuration.workspaces_by_id.values():
        if other.id != spec.id and set(other.key_hashes) & set(spec.key_hashes):
            return Failure("the key is in use by another workspace")
    return Success(PutWorkspace(spec))


def _parse_models(names: list[str]) -> tuple[ModelRef, ...]:
    """Parse model names into references."""
    return tuple(ModelRef.parse(name) for name in names)


def _drop_none(fields: dict[str, object]) -> dict[str, object]:
    """Return the fields that are not None."""
    return {name: value for name, value in fields.items() if value is not None}
