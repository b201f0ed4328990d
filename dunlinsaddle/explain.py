"""Explains whether a node would admit a request, and which targets could serve it."""

from collections.abc import Iterable
from typing import TypedDict

from dunlinsaddle.membership.view import Member
from dunlinsaddle.policy.admission import Load
from dunlinsaddle.policy.classify import classify
from dunlinsaddle.policy.context import LOWEST_LEVEL, SLOTS_PER_RANK
from dunlinsaddle.policy.route import Router, TargetReport
from dunlinsaddle.records.models import ServiceRecord


class ExplainRequest(TypedDict):
    """The request to explain."""

    service: str
    method: str
    path: str


class Explanation(TypedDict):
    """How a node would handle a request now."""

    service: str
    rule: str
    rank: str
    idempotent: bool
    mode: str
    retry_bound: int
    deadline: float
    admitted_share: float  #: share of requests of this rank that are admitted, 0 to 1
    targets: list[TargetReport]
    verdict: str


def explain(
    request: ExplainRequest,
    record: ServiceRecord,
    members: Iterable[Member],
    router: Router,
    now: float,
    level: int = LOWEST_LEVEL,
) -> Explanation:
    """Explain how a request would be handled.

    ``level`` is the lowest priority level that is admitted for it now.
    """
    rule = classify(record, request['method'], request['path'])
    targets = [router.report(now, m.instance, m.domain) for m in members]
    first_level = rule.rank * SLOTS_PER_RANK
    share = min(max((level - first_level + 1) / SLOTS_PER_RANK, 0.0), 1.0)
    return Explanation(
        service=record.service,
        rule=rule.name,
        rank=rule.rank.name.lower(),
        idempotent=rule.idempotent,
        mode=record.mode.value,
        retry_bound=record.retry_bound,
        deadline=record.deadline,
        admitted_share=round(share, 3),
        targets=targets,
        verdict=_verdict(share, targets),
    )


def _verdict(share: float, targets: list[TargetReport]) -> str:
    if not targets:
        return 'refused: no target of the service is known here'
    if share <= 0:
        return 'refused early: a service of the chain admits only more valued requests'
    if all(_is_full(target['load']) for target in targets):
        return 'waits or is refused: every known target is at its limit'
    if share < 1:
        return f'admitted for {share:.0%} of request ids'
    return 'admitted'


def _is_full(load: Load) -> bool:
    return load.inflight >= load.limit
