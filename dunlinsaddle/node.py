"""Builds the parts of one node, connects them and runs their background tasks."""

import asyncio
import contextlib
import logging
import secrets
from functools import partial
from random import Random
from typing import Any

from dunlinsaddle.admin import OperatorHandler
from dunlinsaddle.calls.at_most_once.handover import hand_over_keys, log_handover, take_over_keys
from dunlinsaddle.calls.at_most_once.idempotency import IdempotencyRouter
from dunlinsaddle.calls.call_state import RunningCalls, read_call_frame, record_added_latency
from dunlinsaddle.calls.dispatch import Dispatcher
from dunlinsaddle.calls.execute import Executor
from dunlinsaddle.calls.frames import LinkLimits
from dunlinsaddle.calls.held_memory import HeldMemory
from dunlinsaddle.calls.http import HttpLimits, HttpRequest
from dunlinsaddle.calls.inbound.drain import RequestDrain
from dunlinsaddle.calls.inbound.handlers import CallerHandler, LocalTargetHandler
from dunlinsaddle.calls.inbound.listener import HttpListener
from dunlinsaddle.calls.inbound.peer_server import PeerServer
from dunlinsaddle.calls.messages import Call, Reply
from dunlinsaddle.calls.outbound.client import HttpClient
from dunlinsaddle.calls.outbound.crash_notifier import CrashNotifier
from dunlinsaddle.calls.outbound.link import PeerLinks
from dunlinsaddle.calls.send_watch import watch_of_loop
from dunlinsaddle.calls.target import LocalTarget
from dunlinsaddle.capacity import ProcessLimits, derive_capacity
from dunlinsaddle.environment import Environment
from dunlinsaddle.key_ownership.host_identity import host_identity
from dunlinsaddle.key_ownership.local_ranges import LocalRangeUpdater, LocalService
from dunlinsaddle.key_ownership.range_manager import MonotonicWallClock, RangeManager
from dunlinsaddle.managed_node import ListenAddresses
from dunlinsaddle.membership.agent import GossipAgent
from dunlinsaddle.membership.liveness import TargetMonitor
from dunlinsaddle.membership.roster import Bootstrap, RosterStore
from dunlinsaddle.membership.view import Member, MemberView, State
from dunlinsaddle.metrics import (
    LabeledValues,
    Metrics,
    observe_keys,
    observe_records,
    observe_stats,
)
from dunlinsaddle.platform.client import HttpObjectStore
from dunlinsaddle.platform.store import ObjectStore
from dunlinsaddle.policy.admission import Admission
from dunlinsaddle.policy.context import CallContext
from dunlinsaddle.policy.ownership import ListenerIdentity, Owner
from dunlinsaddle.policy.quarantine import Quarantine
from dunlinsaddle.policy.route import Router
from dunlinsaddle.records.models import Mode
from dunlinsaddle.records.record_cache import RecordCache
from dunlinsaddle.records.sync import RecordSync
from dunlinsaddle.settings import Settings
from dunlinsaddle.stats import Stats

#: How long idempotency keys are remembered if no record of the service sets it.
DEFAULT_KEY_WINDOW_SECONDS = 900.0
#: Interval of the target's liveness check. The target announces itself once a second.
TARGET_CHECK_SECONDS = 0.25
DRAIN_NOTICE_SECONDS = 1.0  #: time for the draining state to reach the other nodes by gossip
#: A listing contains many values of up to one megabyte.
MAX_PLATFORM_BODY_BYTES = 1 << 26


class Node:
    """The node process next to one target."""

    def __init__(self, settings: Settings, env: Environment, logger: logging.Logger) -> None:
        self.settings = settings
        self.env = env
        self.logger = logger
        self.incarnation = int(env.wall_clock() * 1000)
        self.stats = Stats()
        self.record_cache = RecordCache(wall_clock=env.wall_clock)
        self.view = MemberView(self._on_member_change)
        self.target = LocalTarget()
        self.running = RunningCalls()
        self.held_memory = HeldMemory(derive_capacity(ProcessLimits()).held_bytes)
        self.client = HttpClient(settings.max_body_bytes, held_memory=self.held_memory)
        self.platform_client = HttpClient(MAX_PLATFORM_BODY_BYTES)
        self.store: ObjectStore = HttpObjectStore(settings.platform, self.platform_client)
        rng = Random(env.rng.random())
        self.agent = GossipAgent(self.view, settings.peer_key, rng, settings.seeds)
        self.target_monitor = TargetMonitor()
        link_limits = LinkLimits(max_body_bytes=settings.max_body_bytes)
        self.links = PeerLinks(settings.peer_key, settings.instance, link_limits, self.held_memory)
        self.admission = Admission()
        self.quarantine = Quarantine()
        self.crash_notifier = CrashNotifier(
            self.links, self.quarantine, self._crash_recipients, logger
        )
        self.executor = Executor(
            self.target,
            self.admission,
            self.client,
            self.running,
            self.stats,
            self.quarantine,
            self._is_observe_mode,
            self.crash_notifier,
        )
        self.crash_notifier.on_change = self.executor.suspects.trials.wake
        self.target.on_start = self._on_target_start
        router = Router(settings.domain, Random(env.rng.random()), settings.instance)
        self.dispatcher = Dispatcher(
            settings.instance,
            self.view,
            router,
            self.links,
            self.executor,
            self.stats,
            self.quarantine,
        )
        self._build_idempotency(router)
        self._build_listeners(link_limits)
        self.sync = self._build_sync()
        self.metrics = self._build_metrics()
        self.addresses: ListenAddresses
        self._tasks: set[asyncio.Task[None]] = set()

    def _build_idempotency(self, router: Router) -> None:
        owner = Owner(self.settings.instance, secrets.token_hex(6))
        clock = MonotonicWallClock(self.env.wall_clock)
        rng = Random(self.env.rng.random())
        horizon = int(self.settings.range_horizon * 1000)
        self.clock = clock
        self.range_manager = RangeManager(self.store, owner, clock.now, rng, horizon)
        self.idempotency_router = IdempotencyRouter(
            self.range_manager,
            self.view,
            router,
            self.links,
            self.executor,
            self.stats,
            rng,
            self._key_window,
        )
        self.dispatcher.idempotency_router = self.idempotency_router
        self.range_updater = LocalRangeUpdater(self.range_manager, self.view, self._local_service)

    def _local_service(self) -> LocalService:
        return LocalService(self.target.service, self.target.draining)

    def _key_window(self, service: str) -> float:
        record = self.record_cache.find(service)
        return record.key_window if record else DEFAULT_KEY_WINDOW_SECONDS

    def _build_listeners(self, link_limits: LinkLimits) -> None:
        cfg = self.settings
        limits = HttpLimits(
            cfg.max_header_bytes,
            cfg.max_body_bytes,
            cfg.max_connections,
            cfg.header_timeout,
            cfg.idle_timeout,
        )
        callers = CallerHandler(
            self.record_cache, self.dispatcher, self.stats, self._log_outcome_unknown
        )
        self.local_handler = LocalTargetHandler(
            self.target, self.running, self.record_cache, self.dispatcher
        )
        operators = OperatorHandler(self, self.env.wall_clock)
        self.callers_listener = HttpListener(
            callers.handle,
            limits,
            self._handle_exception,
            held_memory=self.held_memory,
            on_not_taken=self._log_not_taken,
        )
        self.local_listener = HttpListener(
            self.local_handler.handle,
            limits,
            self._handle_exception,
            held_memory=self.held_memory,
        )
        self.operators_listener = HttpListener(
            operators.handle, limits, self._handle_exception, held_memory=self.held_memory
        )
        self.peer_server = PeerServer(
            cfg.peer_key,
            self._serve_peer,
            link_limits,
            self._handle_peer_exception,
            self.held_memory,
        )

    def _build_sync(self) -> RecordSync:
        rng = Random(self.env.rng.random())
        sync = RecordSync(
            self.record_cache,
            self.store,
            self.view,
            self.links,
            self.local_member,
            rng,
            self.logger,
        )
        self.peer_server.on_records = sync.handle_frame
        self.peer_server.on_target_crashes = self.crash_notifier.receive
        self.peer_server.on_keys = partial(take_over_keys, self.idempotency_router.tables)
        return sync

    def _build_metrics(self) -> Metrics:
        cfg = self.settings
        resource = {
            'service.name': 'dunlinsaddle',
            'service.instance.id': cfg.instance,
            'dunlinsaddle.domain': cfg.domain,
            'dunlinsaddle.region': cfg.region,
        }
        metrics = Metrics(resource, cfg.otlp_endpoint)
        observe_stats(metrics, self.stats)
        observe_records(metrics, self.record_cache)
        metrics.gauge('dunlinsaddle.load', '{call}', 'Load of the target.', self._load_values)
        observe_keys(metrics, self.idempotency_router, lambda: self.target.service)
        metrics.counter(
            'dunlinsaddle.platform_calls',
            '{call}',
            'Calls to the platform, each watch as one.',
            lambda: [(self.store.calls, {})],
        )
        return metrics

    def _load_values(self) -> LabeledValues:
        load = self.admission.load(asyncio.get_running_loop().time())
        return [(value, {'of': name}) for name, value in load._asdict().items()]

    def use_store(self, store: ObjectStore) -> None:
        """Replace the object store. Must be called before ``start``."""
        self.store = store
        self.range_manager.store = store
        self.sync.store = store

    async def start(self) -> ListenAddresses:
        """Open all listeners and start the background tasks.

        Raises OSError if an address is in use.
        """
        watch_of_loop().logger = self.logger
        cfg = self.settings
        self.addresses = ListenAddresses(
            await self.callers_listener.listen(cfg.callers),
            await self.local_listener.listen(cfg.local),
            await self.peer_server.listen(cfg.peers),
            await self.operators_listener.listen(cfg.operators),
            await self.agent.listen(self.env.open_gossip, cfg.gossip),
        )
        host = host_identity(cfg.peers)
        if host:
            self.range_manager.listener = ListenerIdentity(host, self.clock.loop_epoch())
        self.agent.start(self.local_member())
        roster = RosterStore(self.store, cfg.domain)
        bootstrap = Bootstrap(roster, self.agent.gossip, Random(self.env.rng.random()))
        self._spawn(self.agent.run())
        self._spawn(bootstrap.run())
        self._spawn(self.sync.run())
        self._spawn(self.metrics.export_loop())
        self._spawn(self._announce_loop())
        self._spawn(self.range_updater.run())
        return self.addresses

    async def drain(self) -> None:
        """Stop accepting new work, notify the other nodes, and wait for running calls."""
        self.target.node_draining = True
        self.local_handler.target_changed.set()
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        self.callers_listener.start_closing()
        requests = RequestDrain(self.callers_listener, self.peer_server, self.running)
        # Not awaited here, so that an unavailable platform does not delay the drain.
        releasing_ranges = asyncio.create_task(self.range_updater.update())
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(self.settings.drain_timeout):
                # Callers and routers with an outdated view still send calls here for a moment.
                # The open listener can refer them to another node; a closed port cannot.
                await asyncio.sleep(DRAIN_NOTICE_SECONDS)
                self.executor.refuse_waiting()
                await requests.finish()
                await self.idempotency_router.wait_idle()
                await releasing_ranges
                self.range_manager.close()
                await self.idempotency_router.wait_idle()
                result = await hand_over_keys(
                    self.idempotency_router.tables, self.range_manager, self.view, self.links
                )
                log_handover(self.logger, result)
                await self.local_listener.wait_idle()
        requests.log_end(self.logger, loop.time() - started_at)

    async def stop(self) -> None:
        """Cancel the background tasks and close all connections and listeners."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for listener in (self.callers_listener, self.local_listener, self.operators_listener):
            listener.close()
        self.agent.leave()
        self.range_manager.close()
        self.crash_notifier.close()
        self.peer_server.close()
        self.links.close()
        self.metrics.close()
        self.client.close()
        self.platform_client.close()

    def local_member(self) -> Member:
        """Return the membership entry that this node gossips about itself."""
        state = State.DRAINING if self.target.draining else State.ALIVE
        cfg = self.settings
        return Member(
            cfg.instance,
            self.incarnation,
            state,
            cfg.domain,
            self.target.service,
            self.addresses.peers,
            self.addresses.gossip,
        )

    def _on_member_change(self, before: Member | None, member: Member) -> None:
        """Log state changes of members; operators look for them after an incident."""
        if before is None or before.state is member.state:
            return
        level = logging.WARNING if member.state is State.DEAD else logging.INFO
        extra = {'member': member.instance, 'state': member.state.name.lower()}
        self.logger.log(level, 'member changed', extra=extra)

    def _log_not_taken(self, remote: str, why: str, size: int) -> None:
        self.stats.answers_not_taken += 1
        extra = {'remote': remote, 'why': why, 'bytes': size}
        self.logger.warning('answer not taken', extra=extra)

    def _is_observe_mode(self, service: str) -> bool:
        record = self.record_cache.find(service)
        return record is not None and record.mode is Mode.OBSERVE

    def _crash_recipients(self) -> list[Member]:
        """Return the nodes of the other targets of this service."""
        serving = self.view.serving_members(self.target.service)
        return [m for m in serving if m.instance != self.settings.instance]

    def _on_target_start(self) -> None:
        extra = {'service': self.target.service, 'address': str(self.target.address)}
        self.logger.info('target announced', extra=extra)
        self._configure()
        self.admission.reset_after_restart(asyncio.get_running_loop().time())

    def _configure(self) -> None:
        record = self.record_cache.find(self.target.service)
        if record is not None:
            self.admission.configure(record)

    def _spawn(self, coro: Any) -> None:
        task = asyncio.get_running_loop().create_task(coro)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _handle_exception(self, req: HttpRequest) -> None:
        self.stats.faults += 1
        extra = {'path': req.path, 'request_id': req.header(b'request-id')}
        self.logger.exception('unhandled exception while answering a request', extra=extra)

    def _log_outcome_unknown(self, ctx: CallContext, kind: str) -> None:
        """Log a call that may or may not have run: its caller is likely to ask the operators."""
        extra = {'request_id': ctx.request_id, 'service': ctx.service, 'rule': ctx.rule}
        self.logger.warning('outcome unknown', extra={**extra, 'kind': kind, 'key': ctx.key})

    def _handle_peer_exception(self, call: Call) -> None:
        self.stats.faults += 1
        self.logger.exception(
            'unhandled exception while answering a peer', extra={'service': call.service}
        )

    async def _serve_peer(self, call: Call) -> Reply:
        if not call.idempotent and not call.owner_approved:
            return await self.idempotency_router.handle_peer_call(call)
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        work = read_call_frame(call, started_at)
        reply = await self.executor.execute(work)
        record_added_latency(self.stats, work, reply, loop.time() - started_at)
        return reply

    async def _announce_loop(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            # Not ``wait_for``: in Python 3.11 it swallows a cancellation that arrives together with
            # the event, and a node that is stopping would hang.
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(TARGET_CHECK_SECONDS):
                    await self.local_handler.target_changed.wait()
            if self.local_handler.target_changed.is_set():
                self.local_handler.target_changed.clear()
                self.target_monitor.record_announcement(loop.time())
            elif await self._is_target_gone(loop.time()):
                self.logger.warning('target gone', extra={'service': self.target.service})
                self.target.clear()
            self._configure()
            self.agent.announce(self.local_member())

    async def _is_target_gone(self, now: float) -> bool:
        address = self.target.address
        if address is None or self.target.node_draining:
            return False
        return await self.target_monitor.is_gone(now, address)
