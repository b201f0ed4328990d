"""Finds the route of a request: its host, then the longest prefix of its path."""

from itertools import islice
from random import Random

from dunlinsaddle.routes.models import Configuration, Organisation, Route, WeightedService

MAX_REVOKED_KEYS = 100_000  #: keys that are remembered as withdrawn: a bound on memory


class RouteTable:
    """The routes of one configuration, indexed for lookups."""

    def __init__(self, configuration: Configuration, before: 'RouteTable | None' = None) -> None:
        self.configuration = configuration
        self._hosts: dict[str, dict[str, Route]] = {}
        for route in configuration.routes:
            self._hosts.setdefault(route.host, {})[route.prefix] = route
        self._organisations = {org.name: org for org in configuration.organisations}
        self._holders = {key: org for org in configuration.organisations for key in org.key_digests}
        self._revoked_keys: frozenset[bytes] = frozenset()
        if before is not None:
            known = before._revoked_keys.union(before._holders)
            self._revoked_keys = frozenset(
                islice(known.difference(self._holders), MAX_REVOKED_KEYS)
            )

    @property
    def requires_keys(self) -> bool:
        """Whether requests need a key, but for those on public routes."""
        return bool(self.configuration.organisations)

    def find_organisation(self, name: str) -> Organisation | None:
        """Give an organisation by its name."""
        return self._organisations.get(name)

    def is_revoked(self, digest: bytes) -> bool:
        """Say whether a key was held in an earlier configuration that this node knew."""
        return digest in self._revoked_keys

    def find_key_holder(self, digest: bytes) -> Organisation | None:
        """Give the organisation that holds a key, by the key's digest."""
        return self._holders.get(digest)

    def find_route(self, host: str, path: str) -> Route | None:
        """Give the route of a request, whose path may carry a query; None without a match.

        Prefixes end with a slash, so only the parts of the path up to a slash can match.
        The work grows with the slashes of the path, not with the number of routes.
        """
        prefixes = self._hosts.get(host.partition(':')[0].lower())
        if prefixes is None:
            return None
        plain = path.partition('?')[0]
        end = plain.rfind('/')
        while end >= 0:
            route = prefixes.get(plain[: end + 1])
            if route is not None:
                return route
            end = plain.rfind('/', 0, end)
        return None


def choose_service(weighted_services: tuple[WeightedService, ...], rng: Random) -> str:
    """Pick a service by weight; resends of a request stay with the one that was picked."""
    if len(weighted_services) == 1:
        return weighted_services[0].service
    return rng.choices(weighted_services, [share.weight for share in weighted_services])[0].service
