"""The parts of a node that the operators' API uses."""

import logging
from typing import NamedTuple, Protocol

from dunlinsaddle.calls.at_most_once.idempotency import IdempotencyRouter
from dunlinsaddle.calls.dispatch import Dispatcher
from dunlinsaddle.calls.execute import Executor
from dunlinsaddle.calls.target import LocalTarget
from dunlinsaddle.membership.view import MemberView
from dunlinsaddle.metrics import Metrics
from dunlinsaddle.platform.store import ObjectStore
from dunlinsaddle.policy.admission import Admission
from dunlinsaddle.records.record_cache import RecordCache
from dunlinsaddle.records.sync import RecordSync
from dunlinsaddle.settings import Address, Settings
from dunlinsaddle.stats import Stats


class ListenAddresses(NamedTuple):
    """The addresses that a node listens on."""

    callers: Address
    local: Address
    peers: Address
    operators: Address
    gossip: Address


class ManagedNode(Protocol):
    """The attributes of a node that the operators' API uses."""

    settings: Settings
    logger: logging.Logger
    addresses: ListenAddresses
    store: ObjectStore
    record_cache: RecordCache
    sync: RecordSync
    view: MemberView
    target: LocalTarget
    admission: Admission
    executor: Executor
    dispatcher: Dispatcher
    idempotency_router: IdempotencyRouter
    metrics: Metrics
    stats: Stats
