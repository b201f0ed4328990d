"""One node: wires the rooms together and runs their loops."""

import asyncio
import contextlib
import logging
from random import Random
from typing import Any, NamedTuple

from result import Ok

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
from dunlinsaddle.explain import Explanation, Question, explain
from dunlinsaddle.membership.roster import Roster, entry_of
from dunlinsaddle.membership.view import Member, MemberView, State
from dunlinsaddle.platform.client import HttpObjectStore
from dunlinsaddle.platform.store import ObjectStore
from dunlinsaddle.policy.admission import Admission
from dunlinsaddle.policy.quarantine import Quarantine
from dunlinsaddle.policy.route import Router
from dunlinsaddle.records.book import RecordBook
from dunlinsaddle.records.changes import RECORDS, versioned
from dunlinsaddle.records.models import Mode
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
        self.book = RecordBook()
        self.view = MemberView()
        self.target = LocalTarget()
        self.running = RunningCalls()
        self.client = HttpClient()
        self.store: ObjectStore = HttpObjectStore(settings.platform, self.client)
        self.roster = Roster(self.store, settings.domain)
        link_limits = LinkLimits(body_bytes=settings.max_body_bytes)
        self.links = PeerLinks(settings.peer_key, settings.instance, link_limits)
        self.admission = Admission()
        self.quarantine = Quarantine()
        self.executor = Executor(
            self.target,
            self.admission,
            self.client,
            self.running,
            self.stats,
            self.quarantine,
            self._observes,
        )
        self.target.on_announce = self._announced
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
        self._build_faces(link_limits)
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
        self.callers_http = HttpFace(callers.handle, limits, self._fault)
        self.local_http = HttpFace(self.local.handle, limits, self._fault)
        self.operators_http = HttpFace(OperatorsFace(self).handle, limits, self._fault)
        self.peer_server = PeerServer(cfg.peer_key, self._serve_peer, link_limits)

    def use_store(self, store: ObjectStore) -> None:
        """Take another object store, before the start."""
        self.store = store
        self.roster = Roster(store, self.settings.domain)

    async def start(self) -> Faces:
        """Listen on all faces and start the loops. Raises OSError when an address is taken."""
        cfg = self.settings
        self.faces = Faces(
            await self.callers_http.listen(cfg.callers),
            await self.local_http.listen(cfg.local),
            await self.peer_server.listen(cfg.peers),
            await self.operators_http.listen(cfg.operators),
        )
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
            'records': {e.service: e.version for e in self.book.entries()},
            'members': len(list(self.view.members())),
            'shed': dict(self.stats.shed),
            'retries': self.stats.retries,
        }

    def targets(self) -> Any:
        """Give all instances known here."""
        return [
            {**entry_of(m), 'state': m.state.name.lower()}
            for m in sorted(self.view.members(), key=lambda m: (m.service, m.instance))
        ]

    def explain(self, question: Question) -> Explanation | None:
        """Explain what would happen to a request here; None without a record."""
        record = self.book.find(question['service'])
        if record is None:
            return None
        now = asyncio.get_running_loop().time()
        members = self.view.serving(record.service)
        return explain(question, record, members, self.dispatcher.router, now)

    def _observes(self, service: str) -> bool:
        record = self.book.find(service)
        return record is not None and record.mode is Mode.OBSERVE

    def _announced(self) -> None:
        self._configure()
        self.admission.restarted(asyncio.get_running_loop().time())

    def _configure(self) -> None:
        record = self.book.find(self.target.service)
        if record is not None:
            self.admission.configure(record)

    def _spawn(self, coro: Any) -> None:
        task = asyncio.get_running_loop().create_task(coro)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _fault(self, req: HttpRequest) -> None:
        self.stats.faults += 1
        self.logger.exception('fault while answering', extra={'path': req.path})

    async def _serve_peer(self, call: Call) -> Reply:
        return await self.executor.execute(work_of(call, asyncio.get_running_loop().time()))

    async def _refresh_loop(self) -> None:
        while True:
            await self._refresh_records()
            self._configure()
            for member in await self.roster.read() or ():
                self.view.take(member)
            await asyncio.sleep(REFRESH_SECONDS)

    async def _refresh_records(self) -> None:
        match await self.store.list(RECORDS):
            case Ok(listing):
                for held in listing.objects:
                    match versioned(held):
                        case Ok(entry):
                            self.book.take(entry)

    async def _announce_loop(self) -> None:
        while True:
            await self.local.changed.wait()
            self.local.changed.clear()
            member = self.me()
            self.view.take(member)
            if not await self.roster.write(member):
                self.local.changed.set()
                await asyncio.sleep(REFRESH_SECONDS)
