"""Parses durations such as ``1500ms`` and configuration versions such as ``r12``."""

MAX_VERSION = (1 << 63) - 1  #: gossip messages carry a version as a 64-bit integer


def parse_seconds(text: object) -> float:
    """Parse a duration such as ``1500ms`` or ``2.5s``, in seconds. Raise ValueError if invalid.

    >>> parse_seconds('1500ms')
    1.5
    """
    if not isinstance(text, str):
        raise ValueError(f'not a duration: {text!r}')
    if text.endswith('ms'):
        seconds = float(text[:-2]) / 1000
    elif text.endswith('s'):
        seconds = float(text[:-1])
    else:
        raise ValueError(f'not a duration: {text!r}')
    if not 0 <= seconds < float('inf'):
        raise ValueError(f'not a duration: {text!r}')
    return seconds


def parse_version(text: object) -> int:
    """Parse a configuration version such as ``r12``. Raise ValueError if invalid.

    >>> parse_version('r12')
    12
    """
    if not isinstance(text, str) or text[:1] != 'r' or not text[1:].isdecimal():
        raise ValueError(f'not a version: {text!r}')
    version = int(text[1:])
    if version > MAX_VERSION:
        raise ValueError(f'version too large: {version}')
    return version
