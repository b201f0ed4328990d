"""Which rule of a record covers a request."""

from dunlinsaddle.records.models import Rank, RequestRule, ServiceRecord

SAFE_METHODS = frozenset({'GET', 'HEAD', 'OPTIONS'})


def classify(record: ServiceRecord, method: str, path: str) -> RequestRule:
    """Give the first rule that matches, or a default by the method.

    Without a rule only the safe methods count as idempotent: a resend of an unknown POST
    could do its work twice.
    """
    plain_path = path.partition('?')[0]
    for rule in record.rules:
        if rule.method in ('*', method) and path_matches(rule.path, plain_path):
            return rule
    return RequestRule('default', method, '/**', Rank.NORMAL, method in SAFE_METHODS)


def path_matches(pattern: str, path: str) -> bool:
    """Match a path against a pattern.

    >>> path_matches('/orders/*/release', '/orders/17/release')
    True
    >>> path_matches('/orders/**', '/orders/17/lines/2')
    True
    >>> path_matches('/orders/*', '/orders/17/lines')
    False
    """
    want = pattern.strip('/').split('/')
    have = path.strip('/').split('/')
    if want[-1] == '**':
        want, have = want[:-1], have[: len(want) - 1]
    return len(want) == len(have) and all(w in ('*', h) for w, h in zip(want, have, strict=True))
