"""Admissions for the requests of this gateway to fragile upstreams.

One gateway, the same one that issues permits for an upstream, admits the requests of all gateways.
"""

import itertools
from collections import Counter

import msgspec

from quinceferry_core.clocks import Clock
from quinceferry_gateway.admission_issuer import (
    MAX_WAIT_SECONDS,
    AdmissionIssuer,
    AdmissionReply,
    AdmissionRequest,
)
from quinceferry_gateway.blackboard import Blackboard, Member
from quinceferry_gateway.catalog import Upstream
from quinceferry_gateway.controllers import Controller
from quinceferry_gateway.decisions import UpstreamStates
from quinceferry_gateway.decisions.admissions import InFlightReport
from quinceferry_gateway.decoding import decode_msgpack
from quinceferry_gateway.fleet.calls import CallTimeoutError, DatagramCalls
from quinceferry_gateway.fleet.datagrams import DatagramPort
from quinceferry_gateway.fragile_upstreams import FragileUpstreams
from quinceferry_gateway.issuers import Lifetime, permit_issuer
from quinceferry_gateway.logs import log
from quinceferry_gateway.metrics import Metrics
from quinceferry_gateway.rate_limit_updates import record_peer_rate_limit

ADMISSION_CALL_KIND = "admission"
"""Kind of the datagram call that requests an admission."""
REPLY_TIMEOUT_SECONDS = 0.15
"""Longest wait for a reply beyond the wait for the admission; it allows one resend after a loss."""
REPORT_INTERVAL_SECONDS = 0.5
"""Time between two reports of a gateway with requests at a fragile upstream."""
STARTING_SECONDS = 3.0
"""Time after its start for which a gateway asks whether upstreams are fragile."""
UNANSWERED_CALLS = 3
"""Calls in a row without a reply after which an issuer counts as silent; datagrams may be lost."""
SILENT_SECONDS = 1.0
"""Time for which a silent issuer is not asked."""
CHECK_INTERVAL_SECONDS = 0.1
"""Time between two checks whether requests that wait can be admitted; most are when a report
arrives."""


class InFlightNotice(msgspec.Struct, frozen=True, array_like=True, tag="inflight"):
    """What a gateway has in progress at an upstream."""

    upstream: str
    started_at: float
    report: InFlightReport


class Admissions(Controller):
    """Acquires admissions for the requests of this gateway, and reports what it has in progress.

    :param fragile_upstreams: tells which upstreams need admissions.
    :param metrics: counts requested admissions by result.
    """

    def __init__(
        self,
        blackboard: Blackboard,
        upstream_states: UpstreamStates,
        fragile_upstreams: FragileUpstreams,
        port: DatagramPort,
        calls: DatagramCalls,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        super().__init__()
        self._blackboard = blackboard
        self._upstream_states = upstream_states
        self._fragile_upstreams = fragile_upstreams
        self._port = port
        self._calls = calls
        self._clock = clock
        self._metrics = metrics
        self._numbers = itertools.count(1)
        self._unanswered_lifetimes: set[Lifetime] = set()
        self._unanswered_by_incarnation: Counter[str] = Counter()
        self._silent_until_by_incarnation: dict[str, float] = {}
        self._issuer = AdmissionIssuer(blackboard, upstream_states, fragile_upstreams, clock)
        self._started_at = clock.monotonic()
        calls.register_handler(ADMISSION_CALL_KIND, self._issuer.serve)
        port.add_handler(InFlightNotice, self._handle_notice)

    async def start(self) -> None:
        """Start to report, and to admit requests that wait."""
        self.supervise(self._report_periodically, "admission reports")
        self.supervise(self._admit_periodically, "admissions")

    def needed(self, upstream: Upstream) -> bool:
        """Return whether a request to an upstream needs an admission."""
        return self._fragile_upstreams.is_fragile(upstream)

    def any_needed(self) -> bool:
        """Return whether any upstream may need one."""
        return self._fragile_upstreams.has_any()

    def should_ask(self, upstream: Upstream) -> bool:
        """Return whether to ask the issuer, since an admission is needed or may be.

        A gateway that has just started does not know which upstreams are fragile.
        """
        return self.needed(upstream) or (
            self._clock.monotonic() - self._started_at < STARTING_SECONDS
            and not self._upstream_states.get(upstream).has_answered
            and (upstream.id, upstream.started_at) not in self._unanswered_lifetimes
            and permit_issuer(self._blackboard, upstream.id) is not self._blackboard.own
        )

    async def acquire(self, upstream: Upstream, max_wait_seconds: float) -> bool:
        """Return whether a request may be sent, which must begin at once then.

        If the issuer does not reply, requests to an upstream of which nothing is known are sent.

        :param max_wait_seconds: longest acceptable wait.
        """
        state, number = self._upstream_states.get(upstream), next(self._numbers)
        state.pending_admissions.add(number)
        try:
            reply = await self._request(
                upstream,
                AdmissionRequest(
                    upstream.id,
                    upstream.started_at,
                    self._report(upstream, number),
                    min(MAX_WAIT_SECONDS, max_wait_seconds),
                    self._fragile_upstreams.notice(upstream),
                ),
            )
        finally:
            state.pending_admissions.discard(number)
        if reply is None and not self._fragile_upstreams.is_fragile(upstream):
            self._unanswered_lifetimes.add((upstream.id, upstream.started_at))
            return True
        if reply is not None and reply.admitted:
            self._metrics.count_admission("admitted")
            return True
        self._metrics.count_admission("denied" if reply else "unanswered")
        pause = reply.retry_seconds if reply else 0.0
        state.record_denied_permit(pause, pause, self._clock.monotonic())
        return False

    def request_finished(self, upstream: Upstream) -> None:
        """Report that a request has ended at an upstream, if that makes room for others."""
        if self._fragile_upstreams.is_fragile(upstream):
            self._send_report(upstream)

    async def _request(
        self, upstream: Upstream, request: AdmissionRequest
    ) -> AdmissionReply | None:
        """Request an admission from the issuer; None without a valid reply."""
        issuer = self._issuer_of(upstream.id)
        if issuer is self._blackboard.own:
            return await self._issuer.admit(request)
        try:
            reply = await self._calls.call(
                issuer.peer_address,
                ADMISSION_CALL_KIND,
                msgspec.msgpack.encode(request),
                request.max_wait_seconds + REPLY_TIMEOUT_SECONDS,
            )
            self._unanswered_by_incarnation.pop(issuer.incarnation, None)
            decoded = decode_msgpack(reply, AdmissionReply)
        except (CallTimeoutError, msgspec.DecodeError) as error:
            log.failure("admission.not_answered", peer=issuer.incarnation, error=str(error))
            self._unanswered_by_incarnation[issuer.incarnation] += 1
            if self._unanswered_by_incarnation[issuer.incarnation] >= UNANSWERED_CALLS:
                del self._unanswered_by_incarnation[issuer.incarnation]
                silent_until = self._clock.monotonic() + SILENT_SECONDS
                self._silent_until_by_incarnation[issuer.incarnation] = silent_until
            return None
        self._learn(upstream, decoded, issuer)
        return decoded

    def _learn(self, upstream: Upstream, reply: AdmissionReply, issuer: Member) -> None:
        """Apply what the issuer knows of an upstream of which this gateway knows nothing yet."""
        states = self._upstream_states
        if reply.rate_limit is not None and not states.get(upstream).has_answered:
            now = self._clock.monotonic()
            record_peer_rate_limit(states, upstream, reply.rate_limit, now, issuer.incarnation)
        if reply.known is not None:
            self._fragile_upstreams.apply_notice(reply.known, issuer.incarnation)

    def _issuer_of(self, upstream_id: str) -> Member:
        """Return the gateway to ask for an upstream, the next one while the issuer is silent."""
        now = self._clock.monotonic()
        self._silent_until_by_incarnation = {
            incarnation: until
            for incarnation, until in self._silent_until_by_incarnation.items()
            if until > now
        }
        return permit_issuer(self._blackboard, upstream_id, self._silent_until_by_incarnation)

    def _report(self, upstream: Upstream, number: int) -> InFlightReport:
        """Return what this gateway has in progress at an upstream."""
        state = self._upstream_states.get(upstream)
        return InFlightReport(
            self._blackboard.own.incarnation,
            number,
            state.in_flight,
            tuple(state.pending_admissions),
            state.rejections,
        )

    def _send_report(self, upstream: Upstream) -> None:
        """Send a report to the issuer of an upstream."""
        report = self._report(upstream, next(self._numbers))
        issuer = self._issuer_of(upstream.id)
        if issuer is self._blackboard.own:
            self._issuer.record(upstream.id, upstream.started_at, report)
        else:
            notice = InFlightNotice(upstream.id, upstream.started_at, report)
            self._port.send(notice, [issuer.peer_address])

    def _handle_notice(self, notice: InFlightNotice, sender: object) -> None:
        """Apply the report of a peer."""
        if not notice.report.in_flight >= 0:
            log.failure("in_flight.malformed", peer=str(sender), count=notice.report.in_flight)
            return
        self._issuer.record(notice.upstream, notice.started_at, notice.report)

    async def _report_periodically(self) -> None:
        """Report all requests at fragile upstreams, for issuers that have just become it.

        Of upstreams for which this gateway is the issuer, it tells all peers that they are fragile:
        earlier notices may be lost.
        """
        while True:
            await self._clock.sleep(REPORT_INTERVAL_SECONDS)
            for upstream in self._fragile_upstreams.listed():
                state = self._upstream_states.get(upstream)
                if state.in_flight or state.pending_admissions:
                    self._send_report(upstream)
                if permit_issuer(self._blackboard, upstream.id) is self._blackboard.own:
                    self._fragile_upstreams.notify_peers(upstream)

    async def _admit_periodically(self) -> None:
        """Admit requests for which there is room since time has passed."""
        while True:
            await self._clock.sleep(CHECK_INTERVAL_SECONDS)
            self._issuer.admit_waiting()
