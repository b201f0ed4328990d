"""One node: wires the rooms together and runs their loops."""

import asyncio
import contextlib
import logging
from random import Random
from typing import Any, NamedTuple

from dunlinsaddle.admin import OperatorsFace
from dunlinsaddle.calls.client import HttpClient
from dunlinsaddle.calls.dispatch import Dispatcher
from dunlinsaddle.calls.execute import Executor, LocalTarget
from dunlinsaddle.calls.faces import CallerFace, LocalFace
from dunlinsaddle.calls.http import HttpFace, HttpLimits, HttpRequest
from dunlinsaddle.calls.link import LinkLimits, PeerLinks, PeerServer
from dunlinsaddle.calls.messages import Call, Reply
from dunlinsaddle.calls.work import RunningCalls, work_of
from dunlinsaddle.environment import Environment
from dunlinsaddle.membership.roster import Roster, entry_of
from dunlinsaddle.membership.view import Member, MemberView, State
from dunlinsaddle.metrics import Metrics, Values, observe_records, observe_stats
from dunlinsaddle.platform.client import HttpObjectStore
from dunlinsaddle.platform.store import ObjectStore
from dunlinsaddle.policy.admission import Admission
from dunlinsaddle.policy.classify import classify
from dunlinsaddle.policy.route import Router
from dunlinsaddle.records.book import RecordBook
from dunlinsaddle.records.sync import RecordSync
from dunlinsaddle.settings import Address, Settings
from dunlinsaddle.stats import Stats

REFRESH_SECONDS = 0.5


class Faces(NamedTuple):
    """The addresses that a node listens on."""

    callers: Address
    local: Address
    peers: Address
    operators: Address


class Node:
    """The process beside one target."""

    def __init__(self, settings: Settings, env: Environment, logger: logging.Logger) -> None:
        self.settings = settings
        self.env = env
        self.logger = logger
        self.incarnation = int(env.wall_clock() * 1000)
        self.stats = Stats()
        self.book = RecordBook(wall_clock=env.wall_clock)
        self.view = MemberView()
        self.target = LocalTarget()
        self.running = RunningCalls()
        self.client = HttpClient()
        self.store: ObjectStore = HttpObjectStore(settings.platform, self.client)
        self.roster = Roster(self.store, settings.domain)
        link_limits = LinkLimits(body_bytes=settings.max_body_bytes)
        self.links = PeerLinks(settings.peer_key, settings.instance, link_limits)
        self.admission = Admission()
        self.executor = Executor(self.target, self.admission, self.client, self.running, self.stats)
        router = Router(settings.domain, Random(env.rng.random()))
        self.dispatcher = Dispatcher(
            settings.instance, self.view, router, self.links, self.executor, self.stats
        )
        self._build_faces(link_limits)
        self.sync = self._build_sync()
        self.instruments = self._build_instruments()
        self.faces: Faces
        self._tasks: set[asyncio.Task[None]] = set()

    def _build_faces(self, link_limits: LinkLimits) -> None:
        cfg = self.settings
        limits = HttpLimits(
            cfg.max_header_bytes,
            cfg.max_body_bytes,
            cfg.max_connections,
            cfg.header_timeout,
            cfg.idle_timeout,
        )
        callers = CallerFace(self.book, self.dispatcher, self.stats)
        self.local = LocalFace(self.target, self.running, self.book, self.dispatcher)
        operators = OperatorsFace(self, self.env.wall_clock)
        self.callers_http = HttpFace(callers.handle, limits, self._fault)
        self.local_http = HttpFace(self.local.handle, limits, self._fault)
        self.operators_http = HttpFace(operators.handle, limits, self._fault)
        self.peer_server = PeerServer(cfg.peer_key, self._serve_peer, link_limits)

    def _build_sync(self) -> RecordSync:
        rng = Random(self.env.rng.random())
        sync = RecordSync(self.book, self.store, self.view, self.links, self.me, rng, self.logger)
        self.peer_server.on_records = sync.take
        return sync

    def _build_instruments(self) -> Metrics:
        cfg = self.settings
        resource = {
            'service.name': 'dunlinsaddle',
            'service.instance.id': cfg.instance,
            'dunlinsaddle.domain': cfg.domain,
            'dunlinsaddle.region': cfg.region,
        }
        metrics = Metrics(resource, cfg.otlp_endpoint)
        observe_stats(metrics, self.stats)
        observe_records(metrics, self.book)
        metrics.gauge('dunlinsaddle.load', '{call}', 'Load of the target.', self._load_values)
        metrics.counter(
            'dunlinsaddle.platform_calls',
            '{call}',
            'Calls to the platform, each watch as one.',
            lambda: [(self.store.calls, {})],
        )
        return metrics

    def _load_values(self) -> Values:
        load = self.admission.load(asyncio.get_running_loop().time())
        return [(value, {'of': name}) for name, value in load._asdict().items()]

    def use_store(self, store: ObjectStore) -> None:
        """Take another object store, before the start."""
        self.store = store
        self.roster = Roster(store, self.settings.domain)
        self.sync.store = store

    async def start(self) -> Faces:
        """Listen on all faces and start the loops. Raises OSError when an address is taken."""
        cfg = self.settings
        self.faces = Faces(
            await self.callers_http.listen(cfg.callers),
            await self.local_http.listen(cfg.local),
            await self.peer_server.listen(cfg.peers),
            await self.operators_http.listen(cfg.operators),
        )
        self._spawn(self.sync.run())
        self._spawn(self.instruments.export_loop())
        self._spawn(self._refresh_loop())
        self._spawn(self._announce_loop())
        return self.faces

    async def drain(self) -> None:
        """Take no new work, tell the others, and wait for what is in progress."""
        self.target.draining = True
        self.local.changed.set()
        self.callers_http.stop_listening()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(self.settings.drain_timeout):
                await self.running.wait_idle()

    async def stop(self) -> None:
        """Close everything."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for face in (self.callers_http, self.local_http, self.operators_http):
            face.close()
        self.peer_server.close()
        self.links.close()
        self.instruments.close()
        self.client.close()

    def me(self) -> Member:
        """Give the word that this node spreads of itself."""
        state = State.DRAINING if self.target.draining else State.ALIVE
        cfg = self.settings
        return Member(
            cfg.instance,
            self.incarnation,
            state,
            cfg.domain,
            self.target.service,
            self.faces.peers,
            cfg.gossip,
        )

    def status(self) -> Any:
        """Give what an operator wants to know of this node first."""
        load = self.admission.load(asyncio.get_running_loop().time())
        return {
            'instance': self.settings.instance,
            'domain': self.settings.domain,
            'service': self.target.service or None,
            'draining': self.target.draining,
            'faces': {name: str(address) for name, address in self.faces._asdict().items()},
            'load': load._asdict(),
            **self.sync.status(),
            'members': len(list(self.view.members())),
            'shed': dict(self.stats.shed),
            'retries': self.stats.retries,
        }

    def metrics(self) -> Any:
        """Give the value of every instrument."""
        return self.instruments.read()

    def explain(self, service: str, method: str, path: str) -> Any:
        """Give how this node would treat a request of a known service."""
        record = self.book.find(service)
        assert record is not None
        rule = classify(record, method, path)
        load = self.admission.load(asyncio.get_running_loop().time())
        return {
            'rule': rule.name,
            'rank': rule.rank.name.lower(),
            'idempotent': rule.idempotent,
            'mode': record.mode.value,
            'version': self.book.version(service),
            'level_admitted': load.level if service == self.target.service else None,
            'targets': [m.instance for m in self.view.serving(service)],
        }

    def targets(self) -> Any:
        """Give all instances known here."""
        return [
            {**entry_of(m), 'state': m.state.name.lower()}
            for m in sorted(self.view.members(), key=lambda m: (m.service, m.instance))
        ]

    def _spawn(self, coro: Any) -> None:
        task = asyncio.get_running_loop().create_task(coro)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _fault(self, req: HttpRequest) -> None:
        self.stats.faults += 1
        extra = {'path': req.path, 'request_id': req.header(b'request-id')}
        self.logger.exception('fault while answering', extra=extra)

    async def _serve_peer(self, call: Call) -> Reply:
        return await self.executor.execute(work_of(call, asyncio.get_running_loop().time()))

    async def _refresh_loop(self) -> None:
        while True:
            for member in await self.roster.read() or ():
                self.view.take(member)
            await asyncio.sleep(REFRESH_SECONDS)

    async def _announce_loop(self) -> None:
        while True:
            await self.local.changed.wait()
            self.local.changed.clear()
            member = self.me()
            self.view.take(member)
            if not await self.roster.write(member):
                self.local.changed.set()
                await asyncio.sleep(REFRESH_SECONDS)
