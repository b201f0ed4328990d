"""Compares two documents of a record, whatever their schema versions."""

from typing import Any

from result import Ok

from dunlinsaddle.records.models import ServiceRecord
from dunlinsaddle.records.schema import decode_record


def changed_fields(old: Any, new: Any) -> list[str]:
    """Return the names of the fields that differ, ``record`` if the whole record does.

    Rules are listed by name. Valid documents are compared after decoding, so the same record
    in two schema versions differs only in ``schema``.
    """
    if old is None or new is None:
        return [] if old is new else ['record']
    match decode_record(old), decode_record(new):
        case Ok(before), Ok(after):
            return _changed_record_fields(before, after)
    names = {*old, *new} if isinstance(old, dict) and isinstance(new, dict) else {'record'}
    return sorted(n for n in names if n == 'record' or old.get(n) != new.get(n))


def _changed_record_fields(old: ServiceRecord, new: ServiceRecord) -> list[str]:
    compared_fields = [n for n in ServiceRecord._fields if n not in ('rules', 'service')]
    fields = [n for n in compared_fields if getattr(old, n) != getattr(new, n)]
    before = {rule.name: rule for rule in old.rules}
    after = {rule.name: rule for rule in new.rules}
    names = sorted(n for n in {*before, *after} if before.get(n) != after.get(n))
    fields += [f'requests.{name}' for name in names]
    # The first matching rule applies, so reordering alone can change which rule is used.
    if not names and list(before) != list(after):
        fields.append('requests')
    return fields
