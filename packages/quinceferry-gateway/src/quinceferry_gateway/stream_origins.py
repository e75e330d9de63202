"""Keeps streams at the software version of the upstream that began them.

Upstreams of several versions may serve one service side by side. What two versions write does not
fit together, and upstreams do not check which one wrote the events that a caller already has. So a
stream goes on at the service and version that began it, or not at all. An origin that cannot be
found is unknown even if the list has a single version: the list may be older than the stream.
"""

import asyncio
from collections import defaultdict

import msgspec

from quinceferry_core.clocks import Clock
from quinceferry_gateway.answers import Reason, Refusal
from quinceferry_gateway.blackboard import Blackboard, Member
from quinceferry_gateway.catalog import UNKNOWN_ORIGIN, RouteKind, StreamOrigin
from quinceferry_gateway.controllers import Controller
from quinceferry_gateway.decisions.origin_records import (
    OriginRecord,
    OriginRecords,
    asked_holders,
    holders_without,
    record_holders,
    stream_key,
)
from quinceferry_gateway.decoding import decode_json, decode_msgpack
from quinceferry_gateway.fleet.calls import CallTimeoutError, DatagramCalls
from quinceferry_gateway.fleet.datagrams import DatagramPort
from quinceferry_gateway.interfaces import Headers
from quinceferry_gateway.logs import log
from quinceferry_gateway.metrics import Metrics
from quinceferry_gateway.progress import Progress
from quinceferry_gateway.software_versions import SoftwareVersions

ORIGIN_HEADER = b"quinceferry-stream-origin"
"""States the origin of a stream between gateways; those of callers and upstreams are removed."""
ORIGIN_CALL_KIND = "origin"
"""Kind of the datagram call that asks for the origin of a stream."""
LOOKUP_TIMEOUT_SECONDS = 0.25
"""Longest wait for the origin of a stream, which allows two resends after losses."""
CALLER_PAUSE_SECONDS = 60.0
"""How long after the longest time of a request its caller may still resume the stream."""
MAX_KEPT_SECONDS = 3600.0
MAX_NAME_CHARACTERS = 200
"""Limits of what is accepted from a peer."""
RECORDS_PER_DATAGRAM = 12
"""Records sent at once; a datagram of them fits one packet."""
HAND_OVER_BATCH = 50
"""Records that a stopping gateway ranks before it lets its requests go on."""


class OriginNotice(msgspec.Struct, frozen=True, array_like=True):
    """The origin of one stream, and for how many seconds more it is kept."""

    key: str
    service: str
    software_version: str
    seconds: float

    @classmethod
    def from_record(cls, key: str, record: OriginRecord, now: float) -> "OriginNotice":
        """Return the notice of a record."""
        origin = record.origin
        return cls(key, origin.service, origin.software_version, record.expires_at - now)


class OriginNotices(msgspec.Struct, frozen=True, array_like=True, tag="origins"):
    """Tells holders the origins of streams."""

    notices: list[OriginNotice]


class OriginRequest(msgspec.Struct, frozen=True, array_like=True):
    """Asks for the origin of a stream."""

    key: str


class OriginReply(msgspec.Struct, frozen=True, array_like=True):
    """The origin of a stream as a pair of service and version, None if it is not known."""

    origin: tuple[str, str] | None


class StreamOrigins(Controller):
    """Records the origins of streams at several gateways, and finds them.

    :param metrics: counts lookups by where the origin was found.
    :param versions: tells for how long a service has had a single version.
    """

    def __init__(
        self,
        blackboard: Blackboard,
        port: DatagramPort,
        calls: DatagramCalls,
        clock: Clock,
        metrics: Metrics,
        versions: SoftwareVersions,
    ) -> None:
        super().__init__()
        self._versions = versions
        self._blackboard = blackboard
        self._port = port
        self._calls = calls
        self._clock = clock
        self._metrics = metrics
        self._records = OriginRecords()
        port.add_handler(OriginNotices, self._handle_notices)
        calls.register_handler(ORIGIN_CALL_KIND, self._answer_request)
        metrics.observe_stream_origins(lambda: len(self._records))

    def record(self, progress: Progress, origin: StreamOrigin) -> None:
        """Record the origin of a stream at its holders, just before its events are sent on.

        A forwarded stream is recorded by the gateway that its caller is connected to.
        """
        if not progress.route.resumable or progress.forwarded:
            return
        now = self._clock.monotonic()
        key = stream_key(progress.call.resumed_request_id or progress.call.request_id)
        seconds = progress.route.timeout_seconds + CALLER_PAUSE_SECONDS
        record = OriginRecord(origin, now + seconds)
        self._records.put(key, record, now)
        address_by_vm = self._usable_addresses()
        notice = OriginNotice.from_record(key, record, now)
        holders = record_holders(key, address_by_vm)
        self._port.send(OriginNotices([notice]), [address_by_vm[vm] for vm in holders])

    async def resolve(self, progress: Progress) -> Refusal | None:
        """Set the origin and the service of a request that resumes a stream.

        :return: the refusal of a stream that must not go on anywhere, None otherwise.
        """
        call = progress.call
        is_resumed = bool(call.resume_after or call.resumed_request_id)
        if progress.route.kind is not RouteKind.STREAM or not is_resumed:
            return None
        if progress.stream.origin is None:
            if not call.resumed_request_id:
                return self._check_single_version(progress)
            progress.stream.origin = await self._find(progress)
        origin = progress.stream.origin
        if origin is None:
            return Refusal(Reason.STREAM_ORIGIN_UNKNOWN, f"stream {call.resumed_request_id}")
        if origin.service not in {item.service for item in progress.route.destinations}:
            return Refusal(Reason.NO_COMPATIBLE_UPSTREAM, f"{origin.service} has left the route")
        progress.service = origin.service
        return None

    async def hand_over(self) -> None:
        """Pass records on to those that hold them when this gateway has stopped."""
        now = self._clock.monotonic()
        address_by_vm = self._usable_addresses()
        notices_by_vm = defaultdict(list)
        for number, (key, record) in enumerate(self._records.unexpired(now)):
            if number % HAND_OVER_BATCH == 0:
                await asyncio.sleep(0)
            notice = OriginNotice.from_record(key, record, now)
            for vm in holders_without(key, self._blackboard.own.vm, address_by_vm):
                notices_by_vm[vm].append(notice)
        for vm, notices in notices_by_vm.items():
            for start in range(0, len(notices), RECORDS_PER_DATAGRAM):
                batch = OriginNotices(notices[start : start + RECORDS_PER_DATAGRAM])
                self._port.send(batch, [address_by_vm[vm]])

    def _check_single_version(self, progress: Progress) -> Refusal | None:
        """Return the refusal of a stream whose caller does not tell which request began it.

        It goes on if there has been one version only for as long as such a stream may last.
        """
        seconds = progress.route.timeout_seconds + CALLER_PAUSE_SECONDS
        is_sole_service = len(progress.route.destinations) == 1
        if is_sole_service and self._versions.has_single_version(progress.service, seconds):
            return None
        return Refusal(Reason.STREAM_ORIGIN_UNKNOWN, "the request names no stream")

    async def _find(self, progress: Progress) -> StreamOrigin | None:
        """Return the origin of the stream that a request resumes, None if nobody knows it."""
        now = self._clock.monotonic()
        key = stream_key(progress.call.resumed_request_id)
        origin = self._records.get(key, now)
        if origin is not None:
            self._metrics.count_stream_origin_lookup("own")
            return origin
        origin = await self._ask_peers(key, min(LOOKUP_TIMEOUT_SECONDS, progress.deadline_at - now))
        self._metrics.count_stream_origin_lookup("unknown" if origin is None else "peer")
        return origin

    async def _ask_peers(self, key: str, timeout_seconds: float) -> StreamOrigin | None:
        """Ask the likely holders of a record at once; return the first origin that one knows."""
        member_by_vm = {peer.vm: peer for peer in self._blackboard.peers()}
        asked = [member_by_vm[vm] for vm in asked_holders(key, member_by_vm)]
        tasks = [asyncio.create_task(self._ask(peer, key, timeout_seconds)) for peer in asked]
        try:
            for reply in asyncio.as_completed(tasks):
                origin = await reply
                if origin is not None:
                    return origin
            return None
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

    async def _ask(self, peer: Member, key: str, timeout_seconds: float) -> StreamOrigin | None:
        """Ask one peer for the origin of a stream."""
        body = msgspec.msgpack.encode(OriginRequest(key))
        try:
            reply = await self._calls.call(
                peer.peer_address, ORIGIN_CALL_KIND, body, timeout_seconds
            )
            origin = decode_msgpack(reply, OriginReply).origin
        except (CallTimeoutError, msgspec.DecodeError) as error:
            log.failure("origin.unanswered", peer=peer.incarnation, error=str(error))
            return None
        return None if origin is None else StreamOrigin(*origin)

    async def _answer_request(self, body: bytes) -> bytes:
        """Answer a peer's request for the origin of a stream."""
        request = decode_msgpack(body, OriginRequest)
        origin = self._records.get(request.key, self._clock.monotonic())
        known = None if origin is None else (origin.service, origin.software_version)
        return msgspec.msgpack.encode(OriginReply(known))

    def _handle_notices(self, message: OriginNotices, sender: object) -> None:
        """Keep the records that a peer sends."""
        now = self._clock.monotonic()
        for notice in message.notices:
            names = (notice.key, notice.service, notice.software_version)
            if max(map(len, names)) > MAX_NAME_CHARACTERS or notice.seconds <= 0:
                log.failure("origin.malformed", peer=str(sender))
                continue
            origin = StreamOrigin(notice.service, notice.software_version)
            expires_at = now + min(notice.seconds, MAX_KEPT_SECONDS)
            self._records.put(notice.key, OriginRecord(origin, expires_at), now)

    def _usable_addresses(self) -> dict[str, str]:
        """Return the addresses of the usable peers by their vms."""
        return {peer.vm: peer.peer_address for peer in self._blackboard.usable_peers()}


def encode_origin(origin: StreamOrigin) -> tuple[bytes, bytes]:
    """Return the header that states the origin of a stream to another gateway."""
    return ORIGIN_HEADER, msgspec.json.encode((origin.service, origin.software_version))


def decode_origin(headers: Headers) -> StreamOrigin | None:
    """Return the origin that another gateway states, None if it states none."""
    value = dict(headers).get(ORIGIN_HEADER)
    if value is None:
        return None
    try:
        return StreamOrigin(*decode_json(value, tuple[str, str]))
    except msgspec.DecodeError as error:
        log.failure("origin.malformed", error=str(error))
        return UNKNOWN_ORIGIN


def without_origin(headers: Headers) -> list[tuple[bytes, bytes]]:
    """Return headers without the origin of a stream."""
    return [item for item in headers if item[0].lower() != ORIGIN_HEADER]
