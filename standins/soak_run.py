"""Options of a soak run, and what it records."""

from dataclasses import dataclass, field
from typing import NamedTuple

from standins.pipelining import LostRequest
from standins.soak_checks import SentRequest
from standins.soak_says import AnnouncedRate, NodeDisruption, RelayedLeaving

MACHINES_PER_SERVICE = 2  #: unless a run specifies another number


@dataclass
class RunRecord:
    """Requests, injected faults and findings of a run."""

    requests: list[SentRequest] = field(default_factory=list)
    faults: list[str] = field(default_factory=list)
    findings: list[str] = field(default_factory=list)
    announced_rates: list[AnnouncedRate] = field(default_factory=list)
    relayed_leaving: list[RelayedLeaving] = field(default_factory=list)
    disruptions: list[NodeDisruption] = field(default_factory=list)
    lost: list[LostRequest] = field(default_factory=list)


class Variant(NamedTuple):
    """Options of a run; they do not change which other faults the seed draws."""

    restores_store: bool = False  #: the store is restored from copies during the run
    announces_state: bool = False  #: targets advertise rates and that they are leaving
    machines_per_service: int = MACHINES_PER_SERVICE
    refused_share: float = 0.0  #: of the requests, which targets do not run
    repeated_share: float = 0.0  #: of the answers, which targets send once more, late
    outstanding: int = 0  #: requests of callers that always have some in progress; 0 for none
    keeps_refusing: bool = False  #: targets refuse and repeat after the last fault, too
    reuses_ids: bool = False  #: targets start again under their id, and leave in different ways
