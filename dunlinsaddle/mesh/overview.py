"""What a node knows of its capacity, of services, targets and organisations, and how old it is."""

import asyncio
import math
from collections import Counter
from typing import Any, Protocol

from dunlinsaddle.access.configuration_lease import ConfigurationLease
from dunlinsaddle.calls.dispatch import Dispatcher
from dunlinsaddle.calls.held_memory import HeldMemory
from dunlinsaddle.calls.http import HttpResponse, json_response
from dunlinsaddle.calls.target import LocalTarget
from dunlinsaddle.membership.view import MemberView
from dunlinsaddle.mesh.heartbeat_endpoint import HeartbeatEndpoint
from dunlinsaddle.mesh.settings import MeshSettings
from dunlinsaddle.mesh.target_status import TargetStatus
from dunlinsaddle.policy.quota import QuotaLedger
from dunlinsaddle.policy.retry_budget import RetryBudget
from dunlinsaddle.policy.slots import SlotAdmission
from dunlinsaddle.routes.config_follower import ConfigFollower
from dunlinsaddle.stats import Stats

PATH = '/overview'
#: Distinguishes responses of this listener from those of the others.
LISTENER_HEADER = (b'dunlinsaddle-face', b'metrics')


class OverviewSource(Protocol):
    """The parts of a node that the overview is read from."""

    settings: MeshSettings
    incarnation: int
    stats: Stats
    target: LocalTarget
    target_status: TargetStatus
    admission: SlotAdmission
    heartbeat_endpoint: HeartbeatEndpoint
    held_memory: HeldMemory
    view: MemberView
    dispatcher: Dispatcher
    budget: RetryBudget
    follower: ConfigFollower
    configuration_lease: ConfigurationLease
    ledger: QuotaLedger


def overview_response(node: OverviewSource) -> HttpResponse:
    """Return the overview as JSON. Ages are in seconds, null for what was never heard of."""
    now = asyncio.get_running_loop().time()
    overview = {
        'node': _node(node),
        'capacity': _capacity(node, now),
        'services': _services(node, now),
        'targets': _targets(node, now),
        'organisations': _organisations(node, now),
    }
    response = json_response(overview)
    return response._replace(headers=[*response.headers, LISTENER_HEADER])


def _node(node: OverviewSource) -> dict[str, Any]:
    table = node.follower.table
    return {
        'instance': node.settings.instance,
        'domain': node.settings.domain,
        'incarnation': node.incarnation,
        'members': len(node.view),
        'configuration': node.follower.version,
        'configuration_age': _age(node.configuration_lease.age),
        'unreadable_entries': len(table.configuration.unreadable) if table else 0,
    }


def _capacity(node: OverviewSource, now: float) -> dict[str, Any]:
    load = node.admission.load(now)
    return {
        'service': node.target.service or None,
        'target': node.target.incarnation,
        'draining': node.target.draining,
        'slots': node.admission.slots,
        'limit': load.limit,
        'inflight': load.inflight,
        'waiting': load.waiting,
        'level': round(load.level, 1),
        'rate': node.target_status.reported.rate,
        'body_bytes': node.held_memory.held,
        'heartbeat_age': _age(now - node.heartbeat_endpoint.last_heartbeat_at),
    }


def _services(node: OverviewSource, now: float) -> list[dict[str, Any]]:
    levels = node.dispatcher.executor.levels.known_levels(now)
    repeats = node.budget.remaining(now)
    announced = {m.service for m in node.view.members() if m.service}
    rows = []
    for name in sorted(announced | levels.keys() | repeats.keys()):
        level = levels.get(name)
        rows.append(
            {
                'service': name,
                'targets': len(node.view.serving_members(name)),
                'level': None if level is None else round(level.level, 1),
                'level_age': None if level is None else _age(level.age),
                'repeats_left': None if name not in repeats else round(repeats[name], 1),
            }
        )
    return rows


def _targets(node: OverviewSource, now: float) -> list[dict[str, Any]]:
    router = node.dispatcher.router
    members = sorted(node.view.members(), key=lambda m: (m.service, m.instance))
    return [
        {
            'service': m.service,
            'state': m.state.name.lower(),
            **(report := router.report(now, m.instance, m.domain)),
            'load': report['load']._asdict(),
        }
        for m in members
        if m.service
    ]


def _organisations(node: OverviewSource, now: float) -> list[dict[str, Any]]:
    table = node.follower.table
    left, ages = node.ledger.tokens_left(), node.ledger.ages(now)
    refused: Counter[str] = Counter()
    for label, count in node.stats.refusals.items():
        refused[label.organisation] += count
    return [
        {
            'organisation': org.name,
            'priority': org.priority,
            'rate': org.quota.rate if org.quota else None,
            'burst': org.quota.burst if org.quota else None,
            'lent_here_left': round(left[org.name], 1) if org.name in left else None,
            'lent_here_age': _age(ages.get(org.name, math.inf)),
            'refused_here': refused[org.name],
        }
        for org in (table.configuration.organisations if table else ())
    ]


def _age(seconds: float) -> float | None:
    return round(seconds, 3) if math.isfinite(seconds) else None
