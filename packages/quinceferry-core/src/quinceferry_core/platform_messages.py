"""JSON messages of the platform's services: key-value store, VM list and weight store.

Each call is a POST with one message as its body; values are base64 text. A refused call answers
with a :class:`PlatformFault` and one of the status codes below.
"""

import msgspec

from quinceferry_core.adapters import KvEntry
from quinceferry_core.models import ModelRef, VmRecord

KV_PATH = "/kv/v1"
"""Path before the name of a key-value method, such as ``/kv/v1/put_if``."""

VM_LIST_PATH = "/vms/v1/list"
WEIGHT_FETCH_PATH = "/weights/v1/fetch"

CLIENT_HEADER = "x-client-name"
"""Header that names the client, for the service's own accounting."""

CONFLICT_STATUS = 409
LEASE_LOST_STATUS = 410
TOO_LARGE_STATUS = 413
RATE_LIMITED_STATUS = 429
UNAVAILABLE_STATUS = 503


class KvGetRequest(msgspec.Struct, frozen=True):
    """Reads one key."""

    key: str


class KvGetReply(msgspec.Struct, frozen=True):
    """One key, or None when it does not exist."""

    entry: KvEntry | None


class KvListRequest(msgspec.Struct, frozen=True):
    """Reads all keys below a prefix."""

    prefix: str


class KvListReply(msgspec.Struct, frozen=True):
    """Keys below a prefix, in key order."""

    entries: list[KvEntry]


class KvPutRequest(msgspec.Struct, frozen=True):
    """Writes a key by compare-and-swap; the reply is the new :class:`KvEntry`."""

    key: str
    value: bytes
    expected_version: int
    lease: str = ""


class KvDeleteRequest(msgspec.Struct, frozen=True):
    """Deletes a key by compare-and-swap; the reply is empty."""

    key: str
    expected_version: int


class LeaseGrantRequest(msgspec.Struct, frozen=True):
    """Creates a lease."""

    ttl_seconds: float


class LeaseGrantReply(msgspec.Struct, frozen=True):
    """Identifier of a new lease."""

    lease: str


class LeaseRequest(msgspec.Struct, frozen=True):
    """Renews or revokes a lease; the reply is empty."""

    lease: str


class KvWatchRequest(msgspec.Struct, frozen=True):
    """Waits for changes below a prefix; the reply is a :class:`WatchBatch`."""

    prefix: str
    cursor: int
    timeout_seconds: float


class VmListReply(msgspec.Struct, frozen=True):
    """The VM list."""

    vms: list[VmRecord]


class WeightFetchRequest(msgspec.Struct, frozen=True):
    """Fetches a model's weights; the reply comes when they have arrived."""

    model: ModelRef


class WeightFetchReply(msgspec.Struct, frozen=True):
    """Size of the weights that arrived."""

    size_bytes: int


class PlatformFault(msgspec.Struct, frozen=True):
    """Why a call was refused."""

    detail: str
