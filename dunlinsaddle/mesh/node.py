"""One node on the platform: wires its parts together and runs their loops."""

import asyncio
import contextlib
import logging
from collections.abc import Callable, Coroutine
from functools import partial
from random import Random
from typing import TYPE_CHECKING, Any, NamedTuple

from dunlinsaddle.access.freshness import Freshness
from dunlinsaddle.access.gate import Gate
from dunlinsaddle.access.peers import GossipPeers
from dunlinsaddle.access.quotas import Quotas
from dunlinsaddle.calls.call_state import PendingCall, RunningCalls, read_call_frame
from dunlinsaddle.calls.client import HttpClient
from dunlinsaddle.calls.crash_notifier import CrashNotifier
from dunlinsaddle.calls.decisions import DecisionLog
from dunlinsaddle.calls.dispatch import Dispatcher
from dunlinsaddle.calls.execute import Executor
from dunlinsaddle.calls.frames import LinkLimits
from dunlinsaddle.calls.http import HttpLimits, HttpRequest, HttpResponse
from dunlinsaddle.calls.link import PeerLinks
from dunlinsaddle.calls.listener import HttpListener
from dunlinsaddle.calls.messages import Call, Reply
from dunlinsaddle.calls.peer_server import PeerServer
from dunlinsaddle.calls.target import LocalTarget
from dunlinsaddle.environment import Environment
from dunlinsaddle.loops import OnLoop
from dunlinsaddle.membership.agent import GossipAgent
from dunlinsaddle.membership.keepers import Watchers
from dunlinsaddle.membership.roster import Bootstrap, Roster
from dunlinsaddle.membership.tuning import GossipTimes
from dunlinsaddle.membership.view import Member, MemberView, State
from dunlinsaddle.mesh.heartbeat_endpoint import HeartbeatEndpoint
from dunlinsaddle.mesh.ingress import IngressHandler
from dunlinsaddle.mesh.level_gossip import LevelGossip
from dunlinsaddle.mesh.retries import BudgetedRetries
from dunlinsaddle.mesh.settings import DeploymentLimits, MeshSettings
from dunlinsaddle.mesh.startup import startup_delays
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
from dunlinsaddle.routes.follow import ConfigFollower
from dunlinsaddle.routes.models import Configuration
from dunlinsaddle.routes.proofs import ProofAsker
from dunlinsaddle.settings import Address
from dunlinsaddle.stats import CallLabel, Hop, Stats

if TYPE_CHECKING:
    from dunlinsaddle.mesh.metrics import MeshMetrics

#: Bodies of the store and of requests; the operators' limits bound what callers send.
MAX_BODY_BYTES = 1 << 26
#: Requests of one connection that run at the same time. Callers that send ahead send a few.
MAX_PIPELINED_REQUESTS = 16
#: Seconds for which a stopping node still takes requests: callers are told within two
#: questions, a second apart, that it is not ready, and those on their way arrive after that.
CALLER_DRAIN_SECONDS = 2.5
#: Seconds for one call to the store. It answers in 4 ms, and in trouble in some 400 ms.
STORE_TIMEOUT_SECONDS = 2.0
#: Share of the time for which a draining target serves on, after which no call waits for it. The
#: rest is for calls that are on their way, and for what is refused to be served elsewhere.
DRAIN_WAIT_SHARE = 0.5
#: Seconds before the kill at which a stopping node ends whatever still runs.
KILL_MARGIN_SECONDS = 0.4
#: The platform gives its processes no secret, and its network is closed: the key keeps out
#: what speaks to these ports by mistake, no more.
PEER_KEY = 'dunlinsaddle on the platform'
#: A restarted node that the store does not answer is found by the pings of its peers: with
#: twelve of them, each a second, within a second. A death costs no more than the calls that
#: are out, since routers leave out suspects, so it is concluded soon.
GOSSIP_TIMES = GossipTimes(revisit=1.0, suspicion=3.0)


class ListenAddresses(NamedTuple):
    """The addresses that a node listens on."""

    callers: Address
    announce: Address
    ready: Address
    peers: Address
    gossip: Address
    metrics: Address


class MeshNode(OnLoop):
    """The process beside one target of the platform."""

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
        self.is_stopping = False
        self.target = LocalTarget()
        self.running = RunningCalls()
        self.admission = SlotAdmission()
        self.quarantine = Quarantine()
        self.view = MemberView(self._member_changed)
        self.platform_client = HttpClient(MAX_BODY_BYTES)
        self.store = store or HttpObjectStore(
            settings.platform, self.platform_client, STORE_TIMEOUT_SECONDS
        )
        self._build_membership()
        self._build_calls()
        self._build_faces()
        self.addresses: ListenAddresses
        self.bootstrap: Bootstrap
        self._tasks: set[asyncio.Task[None]] = set()

    def _rng(self) -> Random:
        return Random(self.env.rng.random())

    def _build_membership(self) -> None:
        cfg = self.settings
        limits = LinkLimits(max_body_bytes=MAX_BODY_BYTES)
        self.agent = GossipAgent(self.view, PEER_KEY, self._rng(), times=GOSSIP_TIMES)
        self.links = PeerLinks(PEER_KEY, cfg.instance, limits)
        self.peer_server = PeerServer(PEER_KEY, self._serve_peer, limits, self._peer_fault)
        self.freshness = Freshness(self.env.lease_clock, cfg.limits.revocation_seconds)
        self.follower = ConfigFollower(
            self.store,
            configuration.KIND,
            configuration.NAME,
            configuration.read_configuration,
            self._rng(),
            self.logger,
            self.freshness,
        )
        self.follower.links = self.links
        self.follower.peers = self._others
        self.follower.on_change = self._configured
        self.follower.on_return = lambda: self.bootstrap.store_returned()
        self.watchers = Watchers(self.view, cfg.domain)
        self.follower.watches = self._watches
        self.agent.gossip.on_news = self.follower.hear
        self.ledger = QuotaLedger(
            cfg.limits.quota_slack, cfg.limits.quota_window_seconds, cfg.limits.quota_overage
        )
        peers = GossipPeers(self.agent, self.view, lambda: self.bootstrap.strangers)
        self.quotas = Quotas(cfg.instance, peers, self.ledger, self.follower.organisation)
        self.agent.on_quota = self.quotas.hear
        self.peer_server.on_records = self.follower.answer
        self.deaths = CrashNotifier(self.links, self.quarantine, self._others, self.logger)
        self.peer_server.on_deaths = self.deaths.receive

    def _build_calls(self) -> None:
        cfg = self.settings
        self.client = HttpClient(MAX_BODY_BYTES, allow_close_delimited=True)
        self.executor = Executor(
            self.target,
            self.admission,
            self.client,
            self.running,
            self.stats,
            self.quarantine,
            on_target_crash=self.deaths.broadcast,
            dialect=MeshTargetProtocol(self.target),
        )
        self.target.on_start = self._target_started
        self.target.on_drain = self._target_drains
        self.level_gossip = LevelGossip(self.agent, self.admission, self.executor.levels)
        self.agent.gossip.on_level = self.level_gossip.receive
        self.router = Router(cfg.domain, self._rng(), cfg.instance)
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
        self.dispatcher.resend_policy = BudgetedRetries(self.budget)
        self.dispatcher.decisions = self.decisions
        self.executor.decisions = self.decisions
        self.target_status = TargetStatus(
            self.target, self.admission, self.decisions, self._announce_self
        )
        self.executor.on_target_status = self.target_status.update
        self.executor.target_status = self.target_status.peer_report

    def _build_faces(self) -> None:
        cfg = self.settings
        self.ingress = IngressHandler(
            self.follower,
            Gate(self.follower, self.freshness),
            self.dispatcher,
            self.budget,
            cfg.service,
            self.running,
            self._rng(),
            self.decisions,
            self._ended,
            self.quotas,
        )
        self.heartbeat_endpoint = HeartbeatEndpoint(
            cfg.service,
            cfg.target,
            self.target,
            self.admission,
            self._announce_self,
            self.logger,
        )
        limits = HttpLimits(max_body_bytes=MAX_BODY_BYTES)
        self.callers_listener = HttpListener(
            self.ingress.handle, limits, self._fault, pipeline=MAX_PIPELINED_REQUESTS
        )
        self.heartbeat_listener = HttpListener(
            self.heartbeat_endpoint.handle, HttpLimits(), self._fault
        )
        self.readiness_listener = HttpListener(self._answer_ready, HttpLimits(), self._fault)
        self.metrics: MeshMetrics | None = None  #: built when somebody asks for them
        self.metrics_listener = HttpListener(self._answer_metrics, HttpLimits(), self._fault)

    async def start(self) -> ListenAddresses:
        """Listen on all faces and start the loops. Raises OSError when an address is taken."""
        cfg = self.settings
        self.addresses = ListenAddresses(
            await self.callers_listener.listen(cfg.callers),
            await self.heartbeat_listener.listen(cfg.announce),
            await self.readiness_listener.listen(cfg.ready),
            await self.peer_server.listen(cfg.peers),
            await self.agent.listen(self.env.open_gossip, cfg.gossip),
            await self.metrics_listener.listen(cfg.metrics),
        )
        self.agent.start(self.local_member())
        roster = Roster(self.store, cfg.domain)
        self.bootstrap = Bootstrap(roster, self.agent.gossip, self._rng())
        delays = startup_delays(self._rng(), first_start=cfg.first_start)
        membership_known_at = self.now() + delays.membership
        self._spawn(_later(delays.roster, self.bootstrap.run))
        self._spawn(_later(delays.configuration, partial(self.follower.run, membership_known_at)))
        self._spawn(self.level_gossip.run())
        proofs = ProofAsker(
            self.follower, self.freshness, self.view, self.watchers, cfg.instance, self._rng()
        )
        self._spawn(proofs.run())
        self._spawn(self.agent.run())
        return self.addresses

    async def drain(self) -> None:
        """Take no new work at the target, let callers leave, and end what is in progress."""
        loop = self.loop
        kill_at = loop.time() + self.settings.limits.grace_seconds - KILL_MARGIN_SECONDS
        self.is_stopping = True
        self.target.node_draining = True
        self._announce_self()
        self.executor.refuse_waiting()
        self.callers_listener.start_closing()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout_at(kill_at):
                await asyncio.sleep(CALLER_DRAIN_SECONDS)
                self.callers_listener.stop_listening()
                await self.callers_listener.wait_idle()
                await self.peer_server.wait_idle()
                await self.running.wait_idle()

    async def stop(self) -> None:
        """Close everything."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        faces = (
            self.callers_listener,
            self.heartbeat_listener,
            self.readiness_listener,
            self.metrics_listener,
        )
        for face in faces:
            face.close()
        if self.metrics is not None:
            self.metrics.close()
        self.agent.leave()
        self.deaths.close()
        self.peer_server.close()
        self.links.close()
        self.client.close()
        self.platform_client.close()

    def local_member(self) -> Member:
        """Give the word that this node spreads of itself."""
        state = State.DRAINING if self.target.draining else State.ALIVE
        return Member(
            self.settings.instance,
            self.incarnation,
            state,
            self.settings.domain,
            self.target.service,
            self.addresses.peers,
            self.addresses.gossip,
        )

    async def _answer_ready(self, req: HttpRequest) -> HttpResponse:
        ready = self.follower.version > 0 and self.bootstrap.settled and not self.is_stopping
        return HttpResponse(200 if ready else 503, [], b'')

    async def _answer_metrics(self, req: HttpRequest) -> HttpResponse:
        # The exporters take as long to import as all the rest. The first who asks waits for it
        # once; a node that starts after a loss of power serves its callers a tenth sooner.
        if self.metrics is None:
            from dunlinsaddle.mesh.metrics import MeshMetrics

            self.metrics = MeshMetrics(self)
        return await self.metrics.handle(req)

    def _watches(self) -> bool:
        return self.watchers.includes(self.settings.instance)

    def _others(self) -> list[Member]:
        mine = self.settings.instance
        return [m for m in self.view.members() if m.instance != mine and not m.gone]

    def _configured(self, found: Configuration) -> None:
        # Of three watchers each tells its whole domain: a datagram may get lost.
        domain = self.settings.domain if self._watches() else None
        near = [m for m in self._others() if m.domain == domain]
        self.agent.tell_news(found.version, near)
        limits = found.limits
        self.callers_listener.limits = HttpLimits(
            limits.header_bytes,
            limits.body_bytes,
            header_timeout=limits.header_timeout,
            idle_timeout=limits.idle_timeout,
        )

    def _announce_self(self) -> None:
        self.agent.announce(self.local_member())

    def _member_changed(self, before: Member | None, member: Member) -> None:
        # The dead count as well while they are held: too many nodes is the safe side.
        self.budget.node_count = self.router.sender_count = max(len(self.view), 1)
        if before is not None and before.state is member.state:
            return
        self.quotas.members_change()
        extra = {'member': member.instance, 'state': member.state.name.lower()}
        self.logger.info('member changed', extra={**extra, 'service': member.service})

    def update_limits(self, limits: DeploymentLimits) -> None:
        """Take what the settings say now of the deployment's promises."""
        self.settings = self.settings._replace(limits=limits)
        self.budget.set_limits(limits.retry_ratio, limits.extra_retries)
        self.freshness.most = limits.revocation_seconds
        self.ledger.slack = limits.quota_slack
        self.ledger.window = limits.quota_window_seconds
        self.ledger.overage = limits.quota_overage

    def _target_started(self) -> None:
        self.admission.reset_after_restart(self.now())
        self.target_status.reset()

    def _target_drains(self) -> None:
        seconds = self.settings.limits.drain_seconds * DRAIN_WAIT_SHARE
        self.loop.call_later(seconds, self._end_waits)

    def _end_waits(self) -> None:
        # Where little may run at once calls wait for longer than the target serves on.
        if self.target.draining:
            self.executor.refuse_waiting()

    def _ended(self, work: PendingCall, reply: Reply, took: float) -> None:
        rank = work.ctx.priority.rank.name.lower()
        self.stats.count(CallLabel(work.ctx.service, rank, reply.outcome.value, reply.kind))
        self.stats.took(Hop.WHOLE, took)

    async def _serve_peer(self, call: Call) -> Reply:
        self.target_status.restore(call.request_id, call.target_state)
        return await self.executor.execute(read_call_frame(call, self.now()))

    def _peer_fault(self, call: Call) -> None:
        self.stats.faults += 1
        self.logger.exception('fault while answering a peer', extra={'service': call.service})

    def _fault(self, req: HttpRequest) -> None:
        self.stats.faults += 1
        self.logger.exception('fault while answering', extra={'path': req.path})

    def _spawn(self, coro: Coroutine[Any, Any, None]) -> None:
        task = self.loop.create_task(coro)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


async def _later(seconds: float, run: Callable[[], Coroutine[Any, Any, None]]) -> None:
    await asyncio.sleep(seconds)
    await run()
