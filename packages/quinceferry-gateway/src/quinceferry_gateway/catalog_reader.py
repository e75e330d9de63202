"""Controllers that keep the configuration and the list of upstreams current."""

from quinceferry_core.absences import Absences
from quinceferry_core.clocks import Clock
from quinceferry_core.exceptions import KvError
from quinceferry_gateway.blackboard import Blackboard
from quinceferry_gateway.catalog import Upstream, UpstreamList
from quinceferry_gateway.controllers import Controller
from quinceferry_gateway.exceptions import ConfigurationError, WatchLostError
from quinceferry_gateway.interfaces import CatalogSource
from quinceferry_gateway.logs import log

WATCH_SECONDS = 1.0
"""Longest wait of one watch. A configuration must be in force within two seconds, also when the
watch's connection has fallen silent."""
UPSTREAM_POLL_SECONDS = 0.7
"""Interval of readings of the upstreams; one that leaves may get no work after two seconds."""
RETRY_SECONDS = 0.25
"""Pause after a call to the store that failed."""
HEARTBEATS_OF_LEASE = 3
"""Heartbeats without renewal after which the lease of an upstream ends."""
LAPSE_GRACE_SECONDS = 2.5
"""How long after the store's return a missing upstream may be used: live ones are back within about
two seconds, and three seconds after it one that has left may get no more requests."""
SOONEST_READ_SECONDS = 0.05
"""Shortest pause between readings, when a missing upstream may soon no longer be used."""


class ConfigurationReader(Controller):
    """Follows the operators' configuration; a version never goes back.

    :param blackboard: receives the configuration.
    """

    def __init__(self, blackboard: Blackboard, source: CatalogSource, clock: Clock) -> None:
        super().__init__()
        self._blackboard = blackboard
        self._source = source
        self._clock = clock
        self._refused: bytes = b""

    async def start(self) -> None:
        """Begin to follow."""
        self.spawn(self._follow(), "configuration")

    def offer(self, document: bytes, revision: int, origin: str) -> None:
        """Apply a configuration if it is newer than the one in force.

        :param revision: revision of the store up to which it is the newest.
        :param origin: where it came from, for the log.
        """
        board = self._blackboard
        board.revision = max(board.revision, revision)
        if document in (board.document, self._refused):
            return
        try:
            configuration = self._source.decode_configuration(document)
        except ConfigurationError as error:
            self._refused = document
            log.failure("configuration.refused", error=str(error), revision=revision)
            return
        before = board.configuration.version if board.configuration else 0
        if board.configuration is not None and configuration.version <= before:
            return
        board.configuration = configuration
        board.document = document
        log.change(
            "configuration.applied",
            version=configuration.version,
            before=before,
            revision=revision,
            origin=origin,
        )

    async def _follow(self) -> None:
        """Read once, then wait for changes; read anew after each loss."""
        known = False
        while True:
            try:
                if not known:
                    known = await self._read()
                    continue
                document = await self._source.next_configuration(
                    self._blackboard.revision, WATCH_SECONDS
                )
                if document is not None:
                    known = await self._read()
            except WatchLostError as error:
                known = False
                log.change("configuration.watch_lost", error=str(error))
            except KvError:
                # The reader of upstreams logs each loss and return of the store.
                known = False
                await self._clock.sleep(RETRY_SECONDS)

    async def _read(self) -> bool:
        """Read the newest configuration; tell whether there is one."""
        found = await self._source.configuration()
        if found is None:
            await self._clock.sleep(RETRY_SECONDS)
            return False
        document, revision = found
        self.offer(document, revision, "store")
        return True


class UpstreamReader(Controller):
    """Follows the list of upstreams.

    :param blackboard: receives the upstreams.
    :param heartbeat_seconds: interval at which upstreams renew their leases.
    """

    def __init__(
        self,
        blackboard: Blackboard,
        source: CatalogSource,
        clock: Clock,
        heartbeat_seconds: float,
    ) -> None:
        super().__init__()
        self._blackboard = blackboard
        self._source = source
        self._clock = clock
        self._absences: Absences[Upstream] = Absences(
            lease_seconds=HEARTBEATS_OF_LEASE * heartbeat_seconds,
            renewal_seconds=heartbeat_seconds,
            grace_seconds=LAPSE_GRACE_SECONDS,
            registration=lambda upstream: upstream.registration,
        )

    async def start(self) -> None:
        """Begin to follow."""
        self.spawn(self._poll(), "upstreams")

    async def _poll(self) -> None:
        """Read the list again and again."""
        while True:
            asked_at = self._clock.monotonic()
            try:
                listed = await self._source.upstreams()
            except KvError as error:
                self._absences.failed(asked_at)
                self._set_reachable(False, str(error))
                await self._clock.sleep(RETRY_SECONDS)
            else:
                self._set_reachable(True)
                self._take(listed, asked_at)
                await self._clock.sleep(self._pause_seconds())

    def _take(self, listed: UpstreamList, asked_at: float) -> None:
        """Take a list that is not older than the one known."""
        board = self._blackboard
        if listed.revision < board.upstreams_revision:
            return
        now = self._clock.monotonic()
        board.upstreams_revision = listed.revision
        board.upstreams_read_at = now
        kept = self._absences.read(listed.by_id, asked_at, now)
        self._note_kept(kept, now)
        by_id = {**listed.by_id, **kept}
        self._log_changes(board.upstreams_by_id, by_id)
        board.upstreams_by_id = by_id

    def _pause_seconds(self) -> float:
        """Return how long to wait before the next reading."""
        next_end = self._absences.next_end
        if next_end is None:
            return UPSTREAM_POLL_SECONDS
        # Left to the next reading, an upstream that has left was used for up to 0.7 s longer.
        left = max(SOONEST_READ_SECONDS, next_end - self._clock.monotonic())
        return min(UPSTREAM_POLL_SECONDS, left)

    def _note_kept(self, kept: dict[str, Upstream], now: float) -> None:
        """Note since when upstreams are used though the list lacks them, and log new ones."""
        since = self._blackboard.missing_since_by_upstream
        for key in kept.keys() - since.keys():
            log.change("upstream.kept", upstream=key)
        self._blackboard.missing_since_by_upstream = {key: since.get(key, now) for key in kept}

    def _set_reachable(self, reachable: bool, error: str = "") -> None:
        """Note whether the store answers, and log a change."""
        board = self._blackboard
        if reachable == board.store_reachable:
            return
        board.store_reachable = reachable
        if reachable:
            log.change("store.regained")
        else:
            log.change("store.lost", error=error)

    def _log_changes(self, before: dict[str, Upstream], now: dict[str, Upstream]) -> None:
        """Log upstreams that came, went or began to leave."""
        for key, item in now.items():
            known = before.get(key)
            if known is None:
                log.change("upstream.added", upstream=key, service=item.service, addr=item.address)
            elif item.draining and not known.draining:
                log.change("upstream.draining", upstream=key)
        for key in before.keys() - now.keys():
            log.change("upstream.removed", upstream=key)
