"""A node on the users' platform: creates its components, connects them and runs their tasks."""

import asyncio
import logging
from collections.abc import Callable, Coroutine
from functools import partial
from random import Random
from typing import Any

from dunlinsaddle.access.authentication import Authenticator
from dunlinsaddle.access.configuration_lease import ConfigurationLease
from dunlinsaddle.access.peers import GossipPeers
from dunlinsaddle.access.quotas import QuotaCoordinator
from dunlinsaddle.calls.call_state import RunningCalls, read_call_frame
from dunlinsaddle.calls.decisions import DecisionLog
from dunlinsaddle.calls.dispatch import Dispatcher
from dunlinsaddle.calls.execute import Executor
from dunlinsaddle.calls.frames import LinkLimits
from dunlinsaddle.calls.held_memory import HeldMemory
from dunlinsaddle.calls.http import HttpRequest, HttpResponse
from dunlinsaddle.calls.inbound.drain import RequestDrain
from dunlinsaddle.calls.inbound.peer_server import PeerServer
from dunlinsaddle.calls.messages import (
    Call,
    RecordFrame,
    RecordsRequest,
    RecordsResponse,
    Reply,
)
from dunlinsaddle.calls.outbound.client import HttpClient
from dunlinsaddle.calls.outbound.crash_notifier import CrashNotifier
from dunlinsaddle.calls.outbound.link import PeerLinks
from dunlinsaddle.calls.send_watch import watch_of_loop
from dunlinsaddle.calls.target import LocalTarget
from dunlinsaddle.capacity import derive_capacity
from dunlinsaddle.environment import Environment
from dunlinsaddle.loops import LoopBound
from dunlinsaddle.membership.agent import GossipAgent
from dunlinsaddle.membership.coordinators import StoreWatchers
from dunlinsaddle.membership.roster import Bootstrap, RosterStore
from dunlinsaddle.membership.tuning import GossipTimes
from dunlinsaddle.membership.view import Member, MemberView, State
from dunlinsaddle.mesh.budget_lending import BudgetLending
from dunlinsaddle.mesh.heartbeat_endpoint import HeartbeatEndpoint
from dunlinsaddle.mesh.ingress import IngressHandler
from dunlinsaddle.mesh.learned_state import LearnedStateExchange, Sources
from dunlinsaddle.mesh.level_gossip import LevelGossip
from dunlinsaddle.mesh.listeners import Handlers, ListenAddresses, NodeListeners
from dunlinsaddle.mesh.observation import ObservationEndpoint
from dunlinsaddle.mesh.reports import RequestReports
from dunlinsaddle.mesh.retries import BudgetedRetries
from dunlinsaddle.mesh.settings import DeploymentLimits, MeshSettings
from dunlinsaddle.mesh.shutdown import drain_requests, shutdown_times
from dunlinsaddle.mesh.startup import startup_delays
from dunlinsaddle.mesh.target_probe import TargetProbe
from dunlinsaddle.mesh.target_protocol import MeshTargetProtocol
from dunlinsaddle.mesh.target_status import TargetStatus
from dunlinsaddle.platform import configuration
from dunlinsaddle.platform.client import HttpObjectStore
from dunlinsaddle.platform.store import ObjectStore
from dunlinsaddle.policy.quarantine import Quarantine
from dunlinsaddle.policy.quota import QuotaLedger
from dunlinsaddle.policy.retry_budget import RetryBudget
from dunlinsaddle.policy.route import Router
from dunlinsaddle.policy.slots import SlotAdmission
from dunlinsaddle.routes.config_follower import ConfigFollower
from dunlinsaddle.routes.lease_renewal import LeaseRenewer
from dunlinsaddle.routes.models import Configuration
from dunlinsaddle.stats import Stats

#: Largest body of a request or of a response of the store. The operators set a lower limit for
#: requests of callers.
MAX_BODY_BYTES = 1 << 26
#: Timeout of one call to the store. It responds in 4 ms, and in about 400 ms when impaired.
STORE_TIMEOUT_SECONDS = 2.0
#: Share of the drain time in which calls may still wait for a draining target. The rest is for
#: calls in flight, and for refused calls to be served by other targets.
DRAIN_WAIT_SHARE = 0.5
#: The platform provides no secret, and its network is closed: the key only rejects connections
#: that reach the peer and gossip ports by mistake.
PEER_KEY = 'dunlinsaddle on the platform'
#: A node that restarts while the store is unavailable is found by its peers, which ping it again:
#: twelve peers with one ping per second each need less than a second. The suspicion timeout is
#: short because a false death costs only the calls in flight: routers skip suspects anyway.
GOSSIP_TIMES = GossipTimes(dead_probe_interval=1.0, suspicion_timeout=3.0)


class MeshNode(LoopBound):
    """The node of one target of the platform."""

    def __init__(
        self,
        settings: MeshSettings,
        env: Environment,
        logger: logging.Logger,
        store: ObjectStore | None = None,
    ) -> None:
        self.settings = settings
        self.env = env
        self.logger = logger
        self.incarnation = int(env.wall_clock() * 1000)
        self.stats = Stats()
        self.decisions = DecisionLog(logger)
        self.reports = RequestReports(self.stats, self.decisions, logger)
        self.is_stopping = False
        self.target = LocalTarget()
        self.running = RunningCalls()
        self.capacity = derive_capacity(settings.process_limits)
        self.held_memory = HeldMemory(self.capacity.held_bytes)
        self.admission = SlotAdmission()
        self.quarantine = Quarantine()
        self.view = MemberView(self._on_member_change)
        self.platform_client = HttpClient(MAX_BODY_BYTES)
        self.store = store or HttpObjectStore(
            settings.platform, self.platform_client, STORE_TIMEOUT_SECONDS
        )
        self._build_membership()
        self._build_calls()
        self._build_listeners()
        self.addresses: ListenAddresses
        self.bootstrap: Bootstrap
        self._tasks: set[asyncio.Task[None]] = set()

    def _new_rng(self) -> Random:
        return Random(self.env.rng.random())

    def _build_membership(self) -> None:
        cfg = self.settings
        limits = LinkLimits(max_body_bytes=MAX_BODY_BYTES, max_links=self.capacity.peer_links)
        self.agent = GossipAgent(self.view, PEER_KEY, self._new_rng(), times=GOSSIP_TIMES)
        self.links = PeerLinks(PEER_KEY, cfg.instance, limits, self.held_memory)
        self.peer_server = PeerServer(
            PEER_KEY, self._serve_peer, limits, self.reports.peer_fault, self.held_memory
        )
        self.peer_server.on_body_refused = self.reports.peer_body_refused
        self.peer_server.is_running = self.running.is_running
        self.configuration_lease = ConfigurationLease(
            self.env.boottime_clock, cfg.limits.revocation_seconds
        )
        self.follower = ConfigFollower(
            self.store,
            configuration.KIND,
            configuration.NAME,
            configuration.read_configuration,
            self._new_rng(),
            self.logger,
            self.configuration_lease,
        )
        self.follower.links = self.links
        self.follower.list_peers = self._other_members
        self.follower.on_change = self._on_configuration
        self.follower.on_store_restored = lambda: self.bootstrap.refresh_soon()
        self.watchers = StoreWatchers(self.view, cfg.domain)
        self.follower.should_watch = self._is_watcher
        self.agent.gossip.on_configuration_version = self.follower.handle_peer_version
        self.ledger = QuotaLedger(
            cfg.limits.quota_slack, cfg.limits.quota_window_seconds, cfg.limits.quota_overage
        )
        peers = GossipPeers(self.agent, self.view, lambda: self.bootstrap.unconfirmed_count)
        self.gossip_peers = peers
        self.quotas = QuotaCoordinator(
            cfg.instance, peers, self.ledger, self.follower.find_organisation
        )
        self.agent.on_quota_message = self.quotas.handle_message
        self.peer_server.on_records = self._answer_records
        self.crash_notifier = CrashNotifier(
            self.links, self.quarantine, self._other_members, self.logger
        )
        self.peer_server.on_target_crashes = self.crash_notifier.receive

    def _build_calls(self) -> None:
        cfg = self.settings
        self.client = HttpClient(
            MAX_BODY_BYTES,
            allow_close_delimited=True,
            requires_name=True,
            held_memory=self.held_memory,
        )
        self.client.on_skipped = self.reports.answer_skipped
        self.executor = Executor(
            self.target,
            self.admission,
            self.client,
            self.running,
            self.stats,
            self.quarantine,
            crash_reports=self.crash_notifier,
            dialect=MeshTargetProtocol(self.target),
        )
        self.crash_notifier.on_change = self.executor.suspects.trials.wake
        self.target.on_start = self._on_target_start
        self.target.on_drain = self._on_target_drain
        self.level_gossip = LevelGossip(self.agent, self.admission, self.executor.levels)
        self.agent.gossip.on_level = self.level_gossip.receive
        self.router = Router(cfg.domain, self._new_rng(), cfg.instance)
        self.dispatcher = Dispatcher(
            cfg.instance,
            self.view,
            self.router,
            self.links,
            self.executor,
            self.stats,
            self.quarantine,
        )
        limits = cfg.limits
        self.budget = RetryBudget(
            limits.retry_ratio, limits.extra_retries, limits.retry_window_seconds
        )
        retries = BudgetedRetries(self.budget, self.dispatcher.results.refused_shares)
        self.dispatcher.resend_policy = retries
        self.budget_lending = BudgetLending(
            self.budget, self.gossip_peers, self.view, cfg.instance, self._new_rng()
        )
        self.budget_lending.on_report = self.decisions.log_budget
        retries.on_repeat = self.budget_lending.handle_repeat
        self.agent.on_loan_message = self.budget_lending.receive
        self.dispatcher.decisions = self.decisions
        self.executor.decisions = self.decisions
        self.target_status = TargetStatus(
            self.target, self.admission, self.decisions, self._announce_self
        )
        self.executor.on_advertised_state = self.target_status.update
        self.executor.get_relayed_state = self.target_status.peer_report

    def _build_listeners(self) -> None:
        cfg = self.settings
        self.ingress = IngressHandler(
            self.follower,
            Authenticator(self.follower, self.configuration_lease),
            self.dispatcher,
            self.budget,
            cfg.service,
            self.running,
            self._new_rng(),
            self.decisions,
            self.reports.request_ended,
            self.quotas,
        )
        self.ingress.on_repeat = self.budget_lending.handle_repeat
        self.executor.get_refused_calls = self.ingress.refused_calls.report
        self.learned_state = LearnedStateExchange(
            cfg.instance,
            cfg.domain,
            cfg.service,
            Sources(
                self.executor.levels,
                self.ingress.request_costs,
                self.router,
                self.admission,
                self.target,
                self.quarantine,
            ),
            self.view,
            self.links,
            self.store,
            self.env.wall_clock,
            self._new_rng(),
            self.logger,
        )
        self.learned_state.coordinators = self.watchers.members
        self.heartbeat_endpoint = HeartbeatEndpoint(
            cfg.service,
            self.target,
            self.admission,
            TargetProbe(cfg.target, self._find_health_path),
            self._announce_self,
            self.logger,
            is_first_start=cfg.first_start,
        )
        self.observation = ObservationEndpoint(self)
        handlers = Handlers(
            callers=self.ingress.handle,
            heartbeats=self.heartbeat_endpoint.handle,
            readiness=self._handle_readiness,
            metrics=self.observation.handle,
        )
        self.listeners = NodeListeners(
            handlers, self.reports, self.held_memory, MAX_BODY_BYTES, self.capacity
        )

    async def start(self) -> ListenAddresses:
        """Open all listeners and start the tasks. Raises OSError if an address is in use."""
        cfg = self.settings
        watch_of_loop().logger = self.logger
        self.logger.info('capacity', extra=self.capacity._asdict())
        self.addresses = ListenAddresses(
            await self.listeners.callers.listen(cfg.callers),
            await self.listeners.heartbeats.listen(cfg.announce),
            await self.listeners.readiness.listen(cfg.ready),
            await self.peer_server.listen(cfg.peers),
            await self.agent.listen(self.env.open_gossip, cfg.gossip),
            await self.listeners.metrics.listen(cfg.metrics),
        )
        self.agent.start(self.local_member())
        if not cfg.first_start:
            self.budget.start(self.now())
        roster = RosterStore(self.store, cfg.domain)
        self.bootstrap = Bootstrap(roster, self.agent.gossip, self._new_rng())
        self.bootstrap.on_contacts = self.agent.tick
        delays = startup_delays(self._new_rng(), first_start=cfg.first_start)
        membership_known_at = self.now() + delays.membership
        self._spawn(_run_after(delays.roster, self.bootstrap.run))
        self._spawn(
            _run_after(delays.configuration, partial(self.follower.run, membership_known_at))
        )
        self._spawn(self.level_gossip.run())
        self._spawn(self.learned_state.run(restore=not cfg.first_start))
        lease_renewer = LeaseRenewer(
            self.follower,
            self.configuration_lease,
            self.view,
            self.watchers,
            cfg.instance,
            self._new_rng(),
        )
        self._spawn(lease_renewer.run(membership_known_at))
        self._spawn(self.agent.run())
        return self.addresses

    async def drain(self) -> None:
        """Stop new work at the target, wait for callers to leave, and finish running requests."""
        times = shutdown_times(self.now(), self.settings.limits.grace_seconds)
        self.is_stopping = True
        self.ingress.refuses_from = times.refuse_at
        self.target.node_draining = True
        self._announce_self()
        self.executor.refuse_waiting()
        self.listeners.callers.start_closing()
        requests = RequestDrain(self.listeners.callers, self.peer_server, self.running)
        await drain_requests(requests, times, self.logger)

    async def stop(self) -> None:
        """Cancel the tasks and close all listeners and connections."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self.listeners.close()
        self.observation.close()
        self.heartbeat_endpoint.close()
        self.agent.leave()
        self.crash_notifier.close()
        self.peer_server.close()
        self.links.close()
        self.client.close()
        self.platform_client.close()

    def local_member(self) -> Member:
        """Return this node as it announces itself to the other members."""
        state = State.DRAINING if self.target.draining else State.ALIVE
        return Member(
            self.settings.instance,
            self.incarnation,
            state,
            self.settings.domain,
            self.target.service,
            self.addresses.peers,
            self.addresses.gossip,
            self.target.checksum,
        )

    async def _handle_readiness(self, req: HttpRequest) -> HttpResponse:
        ready = self.follower.version > 0 and self.bootstrap.is_settled and not self.is_stopping
        return HttpResponse(200 if ready else 503, [], b'')

    def _is_watcher(self) -> bool:
        return self.watchers.includes(self.settings.instance)

    def _other_members(self) -> list[Member]:
        own_instance = self.settings.instance
        return [m for m in self.view.members() if m.instance != own_instance and not m.is_gone]

    def _on_configuration(self, new_configuration: Configuration) -> None:
        # Each of the three watchers notifies its whole domain, as datagrams may be lost.
        domain = self.settings.domain if self._is_watcher() else None
        domain_members = [m for m in self._other_members() if m.domain == domain]
        self.agent.announce_configuration(new_configuration.version, domain_members)
        self.listeners.set_limits(new_configuration.limits)

    def _find_health_path(self) -> str | None:
        table = self.follower.table
        if table is None:
            return None
        service = table.configuration.services.get(self.settings.service)
        return service.health_path if service is not None else ''

    def _announce_self(self) -> None:
        self.agent.announce(self.local_member())

    def _on_member_change(self, previous: Member | None, member: Member) -> None:
        # Dead members that are still in the view count too: an estimate that is too high only
        # makes the shares of this node smaller.
        self.router.sender_count = max(len(self.view), 1)
        self.budget.set_node_count(self.now(), self.router.sender_count)
        if self.dispatcher.results.record_target(member):
            extra = {'member': member.instance, 'service': member.service}
            self.logger.info('target of a member restarted', extra=extra)
        if member.service and member.state is State.ALIVE:
            self.executor.levels.record_available(self.now(), member.service)
        if previous is None and member.instance != self.settings.instance:
            self.agent.introduce_target(member)
        if previous is not None and previous.state is member.state:
            return
        self.quotas.on_members_change()
        extra = {'member': member.instance, 'state': member.state.name.lower()}
        self.logger.info('member changed', extra={**extra, 'service': member.service})

    def update_limits(self, limits: DeploymentLimits) -> None:
        """Apply changed deployment limits."""
        self.settings = self.settings._replace(limits=limits)
        self.budget.set_limits(limits.retry_ratio, limits.extra_retries)
        self.configuration_lease.max_revocation_seconds = limits.revocation_seconds
        self.ledger.slack = limits.quota_slack
        self.ledger.window = limits.quota_window_seconds
        self.ledger.overage = limits.quota_overage

    def _on_target_start(self) -> None:
        self.admission.reset_after_restart(self.now())
        self.target_status.reset()
        if self.target.address is not None:
            self.client.renew(self.target.address)
        self.learned_state.restore_service_times()

    def _on_target_drain(self) -> None:
        seconds = self.settings.limits.drain_seconds * DRAIN_WAIT_SHARE
        self.loop.call_later(seconds, self._refuse_waiting, self.target.incarnation)

    def _refuse_waiting(self, incarnation: str) -> None:
        # With few slots, calls may wait for longer than the draining target accepts requests.
        if self.target.draining and self.target.incarnation == incarnation:
            self.executor.refuse_waiting()

    def _answer_records(self, frame: RecordFrame) -> RecordsResponse | None:
        response = self.follower.answer_peer(frame)
        if response is not None and isinstance(frame, RecordsRequest) and frame.wants_learned_state:
            response.learned_state = self.learned_state.encode()
        return response

    async def _serve_peer(self, call: Call) -> Reply:
        self.target_status.restore(call.request_id, call.target_state)
        return await self.executor.execute(read_call_frame(call, self.now()))

    def _spawn(self, coro: Coroutine[Any, Any, None]) -> None:
        task = self.loop.create_task(coro)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


async def _run_after(seconds: float, run: Callable[[], Coroutine[Any, Any, None]]) -> None:
    await asyncio.sleep(seconds)
    await run()
