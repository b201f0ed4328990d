"""Route lookup: by host, then by the longest prefix of the path."""

from itertools import islice
from random import Random

from dunlinsaddle.routes.models import Configuration, Organisation, Route, WeightedService

MAX_REVOKED_KEYS = 100_000  #: revoked keys that are remembered: a bound on memory


class RouteTable:
    """The routes of one configuration, indexed for lookups."""

    def __init__(self, configuration: Configuration, previous: 'RouteTable | None' = None) -> None:
        self.configuration = configuration
        self._hosts: dict[str, dict[str, Route]] = {}
        for route in configuration.routes:
            self._hosts.setdefault(route.host, {})[route.prefix] = route
        self._organisations = {org.name: org for org in configuration.organisations}
        self._holders = {key: org for org in configuration.organisations for key in org.key_digests}
        self._revoked_keys: frozenset[bytes] = frozenset()
        if previous is not None:
            known_keys = previous._revoked_keys.union(previous._holders)
            self._revoked_keys = frozenset(
                islice(known_keys.difference(self._holders), MAX_REVOKED_KEYS)
            )

    @property
    def requires_keys(self) -> bool:
        """Whether requests need a key, except on public routes."""
        return bool(self.configuration.organisations)

    def find_organisation(self, name: str) -> Organisation | None:
        """Return an organisation by its name."""
        return self._organisations.get(name)

    def is_revoked(self, digest: bytes) -> bool:
        """Return whether a key was valid in an earlier configuration of this node."""
        return digest in self._revoked_keys

    def find_key_holder(self, digest: bytes) -> Organisation | None:
        """Return the organisation that holds a key, by the key's digest."""
        return self._holders.get(digest)

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route of a request, or None; the path may include a query.

        Prefixes end with a slash, so only the parts of the path up to a slash can match. The cost
        grows with the number of slashes in the path, not with the number of routes.
        """
        prefixes = self._hosts.get(host.partition(':')[0].lower())
        if prefixes is None:
            return None
        plain_path = path.partition('?')[0]
        end = plain_path.rfind('/')
        while end >= 0:
            route = prefixes.get(plain_path[: end + 1])
            if route is not None:
                return route
            end = plain_path.rfind('/', 0, end)
        return None


def choose_service(weighted_services: tuple[WeightedService, ...], rng: Random) -> str:
    """Choose a service at random by weight; resends of a request keep the chosen service."""
    if len(weighted_services) == 1:
        return weighted_services[0].service
    return rng.choices(weighted_services, [entry.weight for entry in weighted_services])[0].service
