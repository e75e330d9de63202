"""JSON messages of the platform's services: key-value store, VM list and weight store.

Each call is a POST with one message as its body; values are encoded in base64. The answer to a
refused call is a :class:`PlatformFault` with one of the status codes below.
"""

import msgspec

from quinceferry_core.adapters import KvEntry
from quinceferry_core.models import ModelRef, VmRecord

KV_PATH = "/kv/v1"
"""Path prefix of the key-value methods, such as ``/kv/v1/put_if``."""

VM_LIST_PATH = "/vms/v1/list"
WEIGHT_FETCH_PATH = "/weights/v1/fetch"

CLIENT_HEADER = "x-client-name"
"""Header with the client's name, for the service's accounting."""

CONFLICT_STATUS = 409
LEASE_LOST_STATUS = 410
TOO_LARGE_STATUS = 413
RATE_LIMITED_STATUS = 429
UNAVAILABLE_STATUS = 503


class KvGetRequest(msgspec.Struct, frozen=True):
    """Request to read one key."""

    key: str


class KvGetReply(msgspec.Struct, frozen=True):
    """One key, or None when it does not exist."""

    entry: KvEntry | None


class KvListRequest(msgspec.Struct, frozen=True):
    """Request to read all keys with a prefix."""

    prefix: str


class KvListReply(msgspec.Struct, frozen=True):
    """Keys with a prefix, in key order."""

    entries: list[KvEntry]


class KvPutRequest(msgspec.Struct, frozen=True):
    """Request to write a key by compare-and-swap; the reply is the new :class:`KvEntry`."""

    key: str
    value: bytes
    expected_version: int
    lease: str = ""


class KvDeleteRequest(msgspec.Struct, frozen=True):
    """Request to delete a key by compare-and-swap; the reply is empty."""

    key: str
    expected_version: int


class LeaseGrantRequest(msgspec.Struct, frozen=True):
    """Request to create a lease."""

    ttl_seconds: float


class LeaseGrantReply(msgspec.Struct, frozen=True):
    """Identifier of a new lease."""

    lease: str


class LeaseRequest(msgspec.Struct, frozen=True):
    """Request to renew or revoke a lease; the reply is empty."""

    lease: str


class KvWatchRequest(msgspec.Struct, frozen=True):
    """Request to wait for changes of keys with a prefix; the reply is a :class:`WatchBatch`."""

    prefix: str
    cursor: int
    timeout_seconds: float


class VmListReply(msgspec.Struct, frozen=True):
    """All entries of the VM list."""

    vms: list[VmRecord]


class WeightFetchRequest(msgspec.Struct, frozen=True):
    """Request to fetch a model's weights; the reply is sent when they have arrived."""

    model: ModelRef


class WeightFetchReply(msgspec.Struct, frozen=True):
    """Size of the fetched weights."""

    size_bytes: int


class PlatformFault(msgspec.Struct, frozen=True):
    """Why a call was refused."""

    detail: str
