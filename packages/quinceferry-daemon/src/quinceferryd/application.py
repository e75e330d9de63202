"""Composition root of a router: builds its controllers, connects, starts and stops them."""

from dataclasses import dataclass, field
from datetime import timedelta
from random import Random

from quinceferry_core.adapters import KvStore, PeerClient, UpstreamClient, VmList
from quinceferry_core.clocks import Clock
from quinceferry_core.demand import DemandMeter
from quinceferry_core.membership import Member
from quinceferry_core.models import IncarnationId, Ticket, VmId, WorkspaceId
from quinceferry_core.tickets import TicketSigner
from quinceferryd.accounts import Account, AccountController
from quinceferryd.addresses import AddressController
from quinceferryd.blackboard import Blackboard, Identity
from quinceferryd.budgets import BudgetService
from quinceferryd.compaction import JournalCompactor
from quinceferryd.configuration import ConfigurationController
from quinceferryd.controllers import Controller
from quinceferryd.copy_sender import CopySender
from quinceferryd.copy_store import CopyStore
from quinceferryd.crashes import CrashWatch
from quinceferryd.execution import Executor
from quinceferryd.forwards import Forwarder
from quinceferryd.kv_health import KvProbe, MonitoredKv
from quinceferryd.loads import LoadController
from quinceferryd.membership import MembershipController
from quinceferryd.metrics import Metrics, NullMetrics
from quinceferryd.operators import OperatorService
from quinceferryd.orders import OrderController
from quinceferryd.peer_health import MonitoredPeers, PeerHealth, PeerProbe
from quinceferryd.pipeline import Pipeline
from quinceferryd.proofs import JournalProofs
from quinceferryd.readiness import UpstreamReadiness
from quinceferryd.recording import RequestRecorder
from quinceferryd.recovery import RecoveryController
from quinceferryd.retention import RetentionController
from quinceferryd.scheduling import Scheduler
from quinceferryd.settings import Settings
from quinceferryd.shortages import ShortageHandler
from quinceferryd.shutdown import ShutdownController
from quinceferryd.streams import StreamRunner
from quinceferryd.vms import VmListController

TICKET_LIFETIME = timedelta(hours=1)
"""Validity of a ticket at its home router; shorter than the retention of request outcomes."""


@dataclass(slots=True)
class Dependencies:
    """External dependencies of a router: clock, random numbers, platform, upstreams and peers."""

    clock: Clock
    kv: KvStore
    vms: VmList
    upstreams: UpstreamClient
    peers: PeerClient
    rng: Random
    metrics: Metrics = field(default_factory=NullMetrics)


class Application:
    """A router without its HTTP server.

    :param settings: validated settings.
    :param dependencies: clients of the platform, upstreams and peers.
    """

    def __init__(self, settings: Settings, dependencies: Dependencies) -> None:
        self.settings = settings
        self.clock = dependencies.clock
        self.metrics = dependencies.metrics
        router = settings.router
        identity = Identity(VmId(router.vm), router.zone, f"{router.host}:{router.port}")
        self.blackboard = Blackboard(identity)
        self.kv = MonitoredKv(dependencies.kv, self.blackboard, self.clock)
        self.tickets = TicketSigner(router.fleet_secret)
        self._rng = dependencies.rng
        self.demand = DemandMeter(self.clock)
        self.peer_health = PeerHealth(self.clock)
        self.peers = MonitoredPeers(dependencies.peers, self.peer_health)
        self._build_membership(dependencies)
        self._build_request_path(dependencies)
        self._build_operations(dependencies)
        self._controllers: tuple[Controller, ...] = (
            KvProbe(self.kv, self.blackboard, self.clock, self._rng),
            PeerProbe(self.blackboard, self.peers, self.peer_health, self.clock, self._rng),
            self.vms,
            self.configuration,
            self.loads,
            self.scheduler,
            self.crashes,
            self.accounts,
            self.copy_sender,
            self.recovery,
            self.compactor,
            self.retention,
            self.orders,
            self.pipeline,
            self.shutdown,
            self.membership,
        )
        self.is_stopped = False

    async def start(self) -> None:
        """Start all controllers; the router serves once it has joined the fleet.

        The server socket must already be listening: other routers take this as proof that any
        earlier process on the same address has terminated.
        """
        self.membership.mark_listening()
        for controller in self._controllers:
            await controller.start()

    async def stop(self) -> None:
        """Stop gracefully, finishing the requests in progress; idempotent."""
        if self.is_stopped:
            return
        self.is_stopped = True
        await self.shutdown.run()
        await self.abort()

    async def abort(self) -> None:
        """Stop all controllers immediately, without waiting for requests in progress."""
        for controller in reversed(self._controllers):
            await controller.stop()

    def _build_membership(self, dependencies: Dependencies) -> None:
        """Build membership, VM list, configuration, accounts and address answers."""
        settings = self.settings
        common_dependencies = (self.blackboard, self.kv, self.clock, self._rng)
        self.membership = MembershipController(
            *common_dependencies, settings.membership, self._close_fenced_account
        )
        self.vms = VmListController(
            self.blackboard,
            dependencies.vms,
            self.clock,
            self._rng,
            settings.platform.vm_list_interval_seconds,
        )
        self.configuration = ConfigurationController(
            *common_dependencies, self.membership, self.vms
        )
        self.accounts = AccountController(*common_dependencies, settings.budgets, settings.journal)
        self.allotments = self.accounts
        self.membership.add_join_hook(self.accounts.open)
        self.addresses = AddressController(
            self.blackboard,
            self.clock,
            settings.addresses,
            self._issue_ticket,
            self.peer_health,
        )

    def _build_request_path(self, dependencies: Dependencies) -> None:
        """Build the components that process a caller's request."""
        settings = self.settings
        self.scheduler = Scheduler(
            self.blackboard,
            self.clock,
            self._rng,
            settings.routing,
            settings.addresses.routers_per_workspace,
        )
        self.loads = LoadController(
            self.blackboard,
            dependencies.upstreams,
            self.scheduler,
            self.clock,
            self._rng,
            settings.routing,
        )
        readiness = UpstreamReadiness(self.blackboard, self.clock, self.loads.upstreams_to_poll)
        self.membership.add_join_hook(readiness.wait_for_load_reports)
        self.crashes = CrashWatch(self.blackboard, self.clock)
        self.streams = StreamRunner(
            dependencies.upstreams,
            self.scheduler,
            self.blackboard,
            self.clock,
            self._rng,
            settings.streams,
            crash_watch=self.crashes,
        )
        shortages = ShortageHandler(self.blackboard, self.peers, self.clock, settings.budgets)
        self.copy_sender = CopySender(self.blackboard, self.peers, self.membership, self.clock)
        self.copies = CopyStore()
        self.accounts.on_open.append(self._switch_copies)
        recorder = RequestRecorder(
            self.blackboard,
            self.accounts,
            shortages,
            self.copy_sender,
            self.clock,
            settings.journal,
        )
        executor = Executor(
            self.blackboard,
            self.accounts,
            shortages,
            self.scheduler,
            self.streams,
            recorder,
            Forwarder(self.peers),
            self.clock,
            self.metrics,
        )
        self.pipeline = Pipeline(
            self.blackboard,
            self.accounts,
            executor,
            JournalProofs(self.kv),
            self.peers,
            self.clock,
            self.demand,
            self.crashes,
        )

    def _build_operations(self, dependencies: Dependencies) -> None:
        """Build the operator service and the fleet's background maintenance."""
        settings = self.settings
        self.budgets = BudgetService(self.kv)
        self.recovery = RecoveryController(
            self.blackboard,
            self.kv,
            self.accounts,
            dependencies.upstreams,
            self.vms,
            self.peers,
            self.copies,
            self.clock,
            self._rng,
            settings.recovery,
        )
        self.retention = RetentionController(
            self.blackboard, self.kv, self.clock, self._rng, settings.journal
        )
        self.compactor = JournalCompactor(
            self.accounts, self.kv, self.clock, self._rng, settings.journal
        )

        self.orders = OrderController(
            self.blackboard,
            self.kv,
            self.clock,
            self._rng,
            self.membership,
            dependencies.upstreams,
            self.demand,
        )
        self.operators = OperatorService(self.blackboard, self.kv, self.configuration)
        self.shutdown = ShutdownController(
            self.blackboard,
            self.kv,
            self.clock,
            settings.shutdown,
            settings.addresses.answer_ttl_seconds,
            self.membership,
            self.configuration,
            lambda: self.pipeline.open_requests,
            self._flush_bills_and_return_tokens,
        )

    async def _flush_bills_and_return_tokens(self) -> None:
        """Write all bills durably, including copies held for other routers, and return all tokens.

        Requests that are still open have exceeded the deadline of the stop; they are ended and
        billed for the tokens that they used before any token is returned.
        """
        await self.pipeline.stop()
        self.accounts.append_bills(self.copies.close())
        await self.accounts.flush_and_retire()

    async def _close_fenced_account(self, incarnation: IncarnationId) -> None:
        """Close the account of an incarnation that another router has closed."""
        await self.accounts.close(incarnation)

    def _switch_copies(self, account: Account) -> None:
        """Send copies of a new incarnation's journal, and accept copies sent to it."""
        self.copies.add_own_incarnation(account.incarnation)
        self.copy_sender.switch_journal(account.journal)

    def _issue_ticket(self, workspace: WorkspaceId, home: Member) -> str:
        """Return a ticket that names a member as home router for non-idempotent requests."""
        expires_at = self.clock.now() + TICKET_LIFETIME
        ticket = Ticket(
            workspace,
            home.incarnation,
            home.address,
            expires_at,
            journaled=self.blackboard.kv.available,
        )
        return self.tickets.issue(ticket)
