"""Read-only queries of a node for the operators' API."""

import asyncio
from typing import Any

from dunlinsaddle.explain import ExplainRequest, Explanation, explain
from dunlinsaddle.managed_node import ManagedNode
from dunlinsaddle.membership.roster import roster_entry_of
from dunlinsaddle.policy.classify import classify


def node_status(node: ManagedNode) -> dict[str, Any]:
    """Return a summary of a node's state."""
    load = node.admission.load(asyncio.get_running_loop().time())
    return {
        'instance': node.settings.instance,
        'domain': node.settings.domain,
        'service': node.target.service or None,
        'draining': node.target.draining,
        'faces': {name: str(address) for name, address in node.addresses._asdict().items()},
        'load': load._asdict(),
        **node.sync.status(),
        'keys': node.idempotency_router.status(node.target.service),
        'members': len(list(node.view.members())),
        'shed': dict(node.stats.shed),
        'retries': node.stats.retries,
    }


def known_targets(node: ManagedNode) -> list[dict[str, Any]]:
    """Return all members that a node knows, with the service that each one serves."""
    return [
        {**roster_entry_of(m), 'state': m.state.name.lower()}
        for m in sorted(node.view.members(), key=lambda m: (m.service, m.instance))
    ]


def explain_request(node: ManagedNode, request: ExplainRequest) -> Explanation | None:
    """Explain how a node would handle a request; None if it has no record of the service."""
    record = node.record_cache.find(request['service'])
    if record is None:
        return None
    now = asyncio.get_running_loop().time()
    rule = classify(record, request['method'], request['path'])
    level = node.executor.levels.admitted_level(now, record.service, rule.name)
    members = node.view.serving_members(record.service)
    return explain(request, record, members, node.dispatcher.router, now, int(level))
