"""Selection of the rule of a service record that applies to a request."""

from dunlinsaddle.records.models import Rank, RequestRule, ServiceRecord

SAFE_METHODS = frozenset({'GET', 'HEAD', 'OPTIONS'})


def classify(record: ServiceRecord, method: str, path: str) -> RequestRule:
    """Return the first rule that matches, or a default rule for the method.

    By default only the safe methods count as idempotent, as a resent POST could take effect
    twice.
    """
    plain_path = path.partition('?')[0]
    for rule in record.rules:
        if rule.method in ('*', method) and path_matches(rule.path, plain_path):
            return rule
    return RequestRule('default', method, '/**', Rank.NORMAL, method in SAFE_METHODS)


def path_matches(pattern: str, path: str) -> bool:
    """Return whether a path matches a pattern.

    ``*`` matches one segment, and a final ``**`` any number of them.

    >>> path_matches('/orders/*/release', '/orders/17/release')
    True
    >>> path_matches('/orders/**', '/orders/17/lines/2')
    True
    >>> path_matches('/orders/*', '/orders/17/lines')
    False
    """
    pattern_parts = pattern.strip('/').split('/')
    path_parts = path.strip('/').split('/')
    if pattern_parts[-1] == '**':
        pattern_parts, path_parts = pattern_parts[:-1], path_parts[: len(pattern_parts) - 1]
    return len(pattern_parts) == len(path_parts) and all(
        part in ('*', actual) for part, actual in zip(pattern_parts, path_parts, strict=True)
    )
