"""What is known of the software versions of upstreams.

The list tells which version an upstream registered with. It may be older than the process that
answers: an upstream may start again under its identifier and address, with another version, before
its new entry is listed. It also tells nothing of upstreams that left before it was first read.
"""

from collections.abc import Iterable

from quinceferry_core.clocks import Clock
from quinceferry_gateway.blackboard import Blackboard
from quinceferry_gateway.catalog import UNKNOWN_ORIGIN, StreamOrigin, Upstream
from quinceferry_gateway.decisions import UpstreamStates


class SoftwareVersions:
    """Tells for which upstreams and services the listed version is proof.

    :param lease_seconds: time after which an entry that is not renewed has left the list.
    """

    def __init__(
        self,
        blackboard: Blackboard,
        upstream_states: UpstreamStates,
        clock: Clock,
        lease_seconds: float,
    ) -> None:
        self._blackboard = blackboard
        self._upstream_states = upstream_states
        self._clock = clock
        self._lease_seconds = lease_seconds
        self._read_at: float | None = None
        self._version_by_service: dict[str, str] = {}
        self._sole_since_by_service: dict[str, float] = {}

    def is_known(self, upstream: Upstream) -> bool:
        """Return whether the process at an upstream's address has the version that is listed.

        Once nobody has listened there, another process may have started. The list proves that none
        has when it still has the same lifetime so long afterwards that an old entry has expired.
        """
        silent_at = self._upstream_states.get(upstream).silent_at
        read_at = self._blackboard.upstreams_read_at
        if silent_at is None:
            return True
        return read_at is not None and read_at >= silent_at + self._lease_seconds

    def origin_of(self, upstream: Upstream) -> StreamOrigin:
        """Return the origin of a stream that begins at an upstream."""
        if not self.is_known(upstream):
            return UNKNOWN_ORIGIN
        return StreamOrigin(upstream.service, upstream.software_version)

    def admits(self, origin: StreamOrigin | None, upstream: Upstream) -> bool:
        """Return whether a stream may go on at an upstream; each may begin one.

        :param origin: None for a stream that has not begun.
        """
        return origin is None or (origin.admits(upstream) and self.is_known(upstream))

    def has_single_version(self, service: str, seconds: float) -> bool:
        """Return whether a service has had a single version for some time without a gap."""
        since = self._sole_since_by_service.get(service)
        return since is not None and self._clock.monotonic() - since >= seconds

    def list_read(self, upstreams: Iterable[Upstream], requested_at: float) -> None:
        """Record the versions in a list.

        Between two lists that lie further apart than a lease, upstreams may have come and gone.
        """
        versions_by_service: dict[str, set[str]] = {}
        for item in upstreams:
            versions_by_service.setdefault(item.service, set()).add(item.software_version)
        is_gap = self._read_at is None or requested_at - self._read_at > self._lease_seconds
        self._read_at = requested_at if self._read_at is None else max(self._read_at, requested_at)
        sole = {name: min(items) for name, items in versions_by_service.items() if len(items) == 1}
        self._sole_since_by_service = {
            service: (
                requested_at
                if is_gap or self._version_by_service.get(service) != version
                else self._sole_since_by_service[service]
            )
            for service, version in sole.items()
        }
        self._version_by_service = sole
