"""HTTP application of the platform stand-ins, with control calls that set faults."""

from collections.abc import Sequence
from dataclasses import dataclass, fields
from enum import Enum
from typing import Any

import msgspec
from litestar import Litestar, Request, Response, get, post
from litestar.handlers.base import BaseRouteHandler

from quinceferry_core.adapters import KvEntry, WatchBatch
from quinceferry_core.exceptions import (
    KvConflictError,
    KvError,
    KvUnavailableError,
    LeaseLostError,
    PlatformUnavailableError,
    QuinceferryError,
)
from quinceferry_core.models import VmRecord
from quinceferry_core.platform_messages import (
    CLIENT_HEADER,
    CONFLICT_STATUS,
    KV_PATH,
    LEASE_LOST_STATUS,
    TOO_LARGE_STATUS,
    UNAVAILABLE_STATUS,
    VM_LIST_PATH,
    WEIGHT_FETCH_PATH,
    KvDeleteRequest,
    KvGetReply,
    KvGetRequest,
    KvListReply,
    KvListRequest,
    KvPutRequest,
    KvWatchRequest,
    LeaseGrantReply,
    LeaseGrantRequest,
    LeaseRequest,
    PlatformFault,
    VmListReply,
    WeightFetchReply,
    WeightFetchRequest,
)
from quinceferry_standins.kv import FakeKv, FakeKvConnection
from quinceferry_standins.kv_faults import KvFaults
from quinceferry_standins.vms import FakeVmList
from quinceferry_standins.weights import FakeWeightStore

CONTROL_PATH = "/control/v1"
"""Path before the control calls; the real platform has none."""

_ANONYMOUS = "anonymous"


@dataclass(slots=True, frozen=True)
class Platform:
    """The stand-ins served together."""

    kv: FakeKv
    vms: FakeVmList
    weights: FakeWeightStore


class VmChangeKind(Enum):
    """What happens to a VM."""

    ADD = "add"
    LEAVE = "leave"
    REMOVE = "remove"


class SetKvFaults(msgspec.Struct, frozen=True):
    """Puts faults in force, for one named client or, without a name, for all."""

    faults: KvFaults
    client: str = ""


class SetOutages(msgspec.Struct, frozen=True):
    """Sets whether the VM list and the weight store answer."""

    vms: bool = False
    weights: bool = False


class ChangeVm(msgspec.Struct, frozen=True):
    """Changes one VM; its zone and state are used only when it is added."""

    kind: VmChangeKind
    record: VmRecord


class CallCount(msgspec.Struct, frozen=True):
    """How often a method was called for a purpose."""

    purpose: str
    verb: str
    count: int


class CallCounts(msgspec.Struct, frozen=True):
    """All calls of the key-value service so far."""

    calls: list[CallCount]
    rejected_calls: int


def platform_app(platform: Platform) -> Litestar:
    """Return the application that serves a platform.

    :param platform: the stand-ins.
    :return: an ASGI application.
    """
    handlers = [
        *_key_handlers(platform.kv),
        *_lease_handlers(platform.kv),
        *_list_handlers(platform),
        *_control_handlers(platform),
    ]
    return Litestar(
        handlers,
        exception_handlers={QuinceferryError: _refuse},
        openapi_config=None,
    )


def _connection(kv: FakeKv, request: Request[Any, Any, Any]) -> FakeKvConnection:
    return kv.connect(request.headers.get(CLIENT_HEADER) or _ANONYMOUS)


def _key_handlers(kv: FakeKv) -> Sequence[BaseRouteHandler]:
    @post(f"{KV_PATH}/get", status_code=200)
    async def get_key(request: Request[Any, Any, Any], data: KvGetRequest) -> KvGetReply:
        return KvGetReply(await _connection(kv, request).get(data.key))

    @post(f"{KV_PATH}/list", status_code=200)
    async def list_keys(request: Request[Any, Any, Any], data: KvListRequest) -> KvListReply:
        return KvListReply(await _connection(kv, request).list(data.prefix))

    @post(f"{KV_PATH}/put_if", status_code=200)
    async def put_key(request: Request[Any, Any, Any], data: KvPutRequest) -> KvEntry:
        connection = _connection(kv, request)
        return await connection.put_if(data.key, data.value, data.expected_version, data.lease)

    @post(f"{KV_PATH}/delete_if", status_code=200)
    async def delete_key(request: Request[Any, Any, Any], data: KvDeleteRequest) -> None:
        await _connection(kv, request).delete_if(data.key, data.expected_version)

    @post(f"{KV_PATH}/watch", status_code=200)
    async def watch_keys(request: Request[Any, Any, Any], data: KvWatchRequest) -> WatchBatch:
        connection = _connection(kv, request)
        return await connection.watch(data.prefix, data.cursor, data.timeout_seconds)

    return [get_key, list_keys, put_key, delete_key, watch_keys]


def _lease_handlers(kv: FakeKv) -> Sequence[BaseRouteHandler]:
    @post(f"{KV_PATH}/grant_lease", status_code=200)
    async def grant(request: Request[Any, Any, Any], data: LeaseGrantRequest) -> LeaseGrantReply:
        return LeaseGrantReply(await _connection(kv, request).grant_lease(data.ttl_seconds))

    @post(f"{KV_PATH}/keep_alive", status_code=200)
    async def keep_alive(request: Request[Any, Any, Any], data: LeaseRequest) -> None:
        await _connection(kv, request).keep_alive(data.lease)

    @post(f"{KV_PATH}/revoke_lease", status_code=200)
    async def revoke(request: Request[Any, Any, Any], data: LeaseRequest) -> None:
        await _connection(kv, request).revoke_lease(data.lease)

    return [grant, keep_alive, revoke]


def _list_handlers(platform: Platform) -> Sequence[BaseRouteHandler]:
    @post(VM_LIST_PATH, status_code=200)
    async def list_vms() -> VmListReply:
        return VmListReply(await platform.vms.list())

    @post(WEIGHT_FETCH_PATH, status_code=200)
    async def fetch(request: Request[Any, Any, Any], data: WeightFetchRequest) -> WeightFetchReply:
        name = request.headers.get(CLIENT_HEADER) or _ANONYMOUS
        return WeightFetchReply(await platform.weights.connect(name).fetch(data.model))

    return [list_vms, fetch]


def _control_handlers(platform: Platform) -> Sequence[BaseRouteHandler]:
    kv = platform.kv

    @post(f"{CONTROL_PATH}/kv_faults", status_code=200)
    async def set_kv_faults(data: SetKvFaults) -> None:
        faults = kv.connect(data.client).faults if data.client else kv.faults
        for field in fields(data.faults):
            setattr(faults, field.name, getattr(data.faults, field.name))

    @post(f"{CONTROL_PATH}/outages", status_code=200)
    async def set_outages(data: SetOutages) -> None:
        platform.vms.outage = data.vms
        platform.weights.outage = data.weights

    @post(f"{CONTROL_PATH}/vms", status_code=200)
    async def change_vm(data: ChangeVm) -> None:
        match data.kind:
            case VmChangeKind.ADD:
                platform.vms.add(data.record)
            case VmChangeKind.LEAVE:
                platform.vms.mark_leaving(data.record.vm)
            case VmChangeKind.REMOVE:
                platform.vms.remove(data.record.vm)

    @get(f"{CONTROL_PATH}/call_counts")
    async def call_counts() -> CallCounts:
        counts = [
            CallCount(kind.purpose, kind.verb, count)
            for kind, count in kv.total_calls_by_kind.items()
        ]
        return CallCounts(counts, kv.rejected_calls)

    return [set_kv_faults, set_outages, change_vm, call_counts]


def _refuse(_request: Request[Any, Any, Any], error: Exception) -> Response[PlatformFault]:
    return Response(PlatformFault(str(error)), status_code=_status_of(error))


def _status_of(error: Exception) -> int:
    match error:
        case KvConflictError():
            return CONFLICT_STATUS
        case LeaseLostError():
            return LEASE_LOST_STATUS
        case KvUnavailableError() | PlatformUnavailableError():
            return UNAVAILABLE_STATUS
        case KvError():
            return TOO_LARGE_STATUS
        case _:
            return 500
