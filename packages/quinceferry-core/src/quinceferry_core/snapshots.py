"""Snapshots of the configuration, split into shards below the store's limit of a value's size."""

from collections.abc import Iterable, Iterator

import msgspec

from quinceferry_core.changes import PutModel, PutUpstream, PutWorkspace, object_key
from quinceferry_core.configuration import AppliedOperation, ConfigurationState, ObjectRevision
from quinceferry_core.models import Configuration, OperationId

MAX_SHARD_BYTES = 400_000
"""Size above which a shard is complete; far enough below one megabyte that one more item fits."""

StoredObject = PutWorkspace | PutModel | PutUpstream


class ObjectItem(msgspec.Struct, frozen=True, tag="object"):
    """A present object with the revision of its last change."""

    put: StoredObject
    revision: int


class RemovedItem(msgspec.Struct, frozen=True, tag="removed"):
    """A removed object with the revision of its removal."""

    object_key: str
    revision: int


class OperationItem(msgspec.Struct, frozen=True, tag="operation"):
    """A retained operation."""

    operation_id: OperationId
    operation: AppliedOperation


SnapshotItem = ObjectItem | RemovedItem | OperationItem


class SnapshotRef(msgspec.Struct, frozen=True):
    """Reference to a snapshot; revision zero is the empty snapshot, which has no shards."""

    revision: int = 0
    shards: int = 0


def encode_shards(state: ConfigurationState) -> list[bytes]:
    """Encode a state as one or more values of bounded size.

    :param state: the state; equal states result in equal shards.
    :return: JSON arrays of items.
    """
    shards: list[bytes] = []
    encoded: list[bytes] = []
    size = 0
    for item in _items(state):
        encoded.append(msgspec.json.encode(item))
        size += len(encoded[-1]) + 1
        if size > MAX_SHARD_BYTES:
            shards.append(_join(encoded))
            encoded, size = [], 0
    return [*shards, _join(encoded)]


def decode_shards(revision: int, shards: Iterable[bytes]) -> ConfigurationState:
    """Decode the shards that :func:`encode_shards` returned.

    :param revision: revision of the snapshot.
    :param shards: all shards, in order.
    """
    state = ConfigurationState(Configuration(revision))
    for shard in shards:
        for item in msgspec.json.decode(shard, type=list[SnapshotItem]):
            _restore(state, item)
    return state


def _items(state: ConfigurationState) -> Iterator[SnapshotItem]:
    configuration = state.configuration
    puts = [PutWorkspace(spec) for spec in configuration.workspaces_by_id.values()]
    puts += [PutModel(spec) for spec in configuration.models_by_name.values()]
    puts += [PutUpstream(spec) for spec in configuration.upstreams_by_id.values()]
    for put in sorted(puts, key=object_key):
        yield ObjectItem(put, state.objects_by_key[object_key(put)].revision)
    for key, last in sorted(state.objects_by_key.items()):
        if last.removed:
            yield RemovedItem(key, last.revision)
    for operation_id, operation in state.operations_by_id.items():
        yield OperationItem(operation_id, operation)


def _restore(state: ConfigurationState, item: SnapshotItem) -> None:
    match item:
        case ObjectItem(put=put, revision=revision):
            _restore_object(state.configuration, put)
            state.objects_by_key[object_key(put)] = ObjectRevision(revision)
        case RemovedItem(object_key=key, revision=revision):
            state.objects_by_key[key] = ObjectRevision(revision, removed=True)
        case OperationItem(operation_id=operation_id, operation=operation):
            state.operations_by_id[operation_id] = operation


def _restore_object(configuration: Configuration, put: StoredObject) -> None:
    match put:
        case PutWorkspace(spec=spec):
            configuration.workspaces_by_id[spec.id] = spec
        case PutModel(spec=spec):
            configuration.models_by_name[spec.name] = spec
        case PutUpstream(spec=spec):
            configuration.upstreams_by_id[spec.id] = spec


def _join(encoded: list[bytes]) -> bytes:
    return b"[" + b",".join(encoded) + b"]"
