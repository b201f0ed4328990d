"""The daemon's settings: flags, environment variables and their validation."""

import ipaddress
from collections.abc import Callable, Mapping
from typing import Any, NamedTuple
from urllib.parse import urlsplit

from result import Err, Ok, Result

ENV_PREFIX = 'DUNLINSADDLE_'
FILE_SUFFIX = '-file'
LISTENER_SETTINGS = ('callers', 'local', 'peers', 'gossip', 'operators')
LOG_LEVELS = ('debug', 'info', 'warning', 'error')


class Address(NamedTuple):
    """An IP address and a port; port 0 lets the operating system choose one."""

    host: str
    port: int

    def __str__(self) -> str:
        return f'{self.host}:{self.port}'


class Settings(NamedTuple):
    """The settings of a daemon. Sizes are in bytes, times in seconds."""

    instance: str
    domain: str
    region: str
    platform: Address
    peer_key: str
    operator_token: str
    callers: Address
    local: Address
    peers: Address
    gossip: Address
    operators: Address
    seeds: tuple[Address, ...]
    log_level: str
    otlp_endpoint: str
    max_header_bytes: int
    max_body_bytes: int
    max_connections: int
    header_timeout: float
    idle_timeout: float
    drain_timeout: float
    range_horizon: float


class SettingError(NamedTuple):
    """A missing or invalid setting."""

    name: str
    value: str
    allowed: str

    def __str__(self) -> str:
        if not self.value:
            sources = f'--{self.name} or {env_name(self.name)}'
            return f'{self.name} is missing: give {sources}, {self.allowed}'
        return f'{self.name}: {self.value!r} cannot be used, expected {self.allowed}'


class Option(NamedTuple):
    """One setting: its parser, default (None: required) and help."""

    name: str
    parse: Callable[[str], Any]
    allowed: str
    help: str
    default: str | None = None
    secret: bool = False


def env_name(name: str) -> str:
    """Return the environment variable of a setting.

    >>> env_name('peer-key')
    'DUNLINSADDLE_PEER_KEY'
    """
    return ENV_PREFIX + name.upper().replace('-', '_')


def parse_address(text: str) -> Address:
    """Parse HOST:PORT.

    >>> parse_address('127.0.0.1:80')
    Address(host='127.0.0.1', port=80)
    """
    host, colon, port = text.rpartition(':')
    if not colon or not port.isdecimal() or int(port) > 65535:
        raise ValueError(text)
    # Only IP addresses: a host name that no longer resolves would make nodes unreachable.
    return Address(str(ipaddress.ip_address(host.strip('[]'))), int(port))


def _parse_remote(text: str) -> Address:
    address = parse_address(text)
    if not address.port:
        raise ValueError(text)
    return address


def _parse_addresses(text: str) -> tuple[Address, ...]:
    return tuple(_parse_remote(part.strip()) for part in text.split(',') if part.strip())


def _parse_name(text: str) -> str:
    plain = text.replace('-', '').replace('.', '')
    if len(text) > 64 or not plain.isalnum() or not plain.isascii():
        raise ValueError(text)
    return text


def _parse_level(text: str) -> str:
    if text not in LOG_LEVELS:
        raise ValueError(text)
    return text


def parse_secret(text: str) -> str:
    """Parse a key or token. Raises ValueError if it cannot be sent in a header."""
    # Headers allow no other characters, and a line break would become part of the secret.
    if len(text) < 8 or not text.isascii() or not text.isprintable() or ' ' in text:
        raise ValueError(text)
    return text


def _parse_url(text: str) -> str:
    url = urlsplit(text)
    if text and (url.scheme not in ('http', 'https') or not url.hostname):
        raise ValueError(text)
    return text


def _integer(low: int, high: int) -> Callable[[str], int]:
    def parse(text: str) -> int:
        number = int(text)
        if not low <= number <= high:
            raise ValueError(text)
        return number

    return parse


def _seconds(low: float, high: float) -> Callable[[str], float]:
    def parse(text: str) -> float:
        number = float(text)
        if not low <= number <= high:
            raise ValueError(text)
        return number

    return parse


HEADER_TIMEOUT_HELP = 'Time for the head of a request, and without any byte of its body.'
_NAME = '1 to 64 letters, digits, - and .'
_ADDRESS = 'HOST:PORT with an IP number'
SECRET_FORMAT = 'at least 8 printable ASCII characters, no space'

OPTIONS: tuple[Option, ...] = (
    Option('instance', _parse_name, _NAME, 'Name of this instance, unique in the fleet.'),
    Option('domain', _parse_name, _NAME, 'Failure domain that this instance is in.'),
    Option('region', _parse_name, _NAME, 'Region of the failure domain.', 'default'),
    Option('platform', _parse_remote, _ADDRESS, "Address of the platform's object API."),
    Option('peer-key', parse_secret, SECRET_FORMAT, 'Key shared by all nodes.', secret=True),
    Option('operator-token', parse_secret, SECRET_FORMAT, "The operators' token.", secret=True),
    Option('callers', parse_address, _ADDRESS, 'Face for callers.', '127.0.0.1:0'),
    Option('local', parse_address, _ADDRESS, 'Face for the target beside it.', '127.0.0.1:0'),
    Option('peers', parse_address, _ADDRESS, 'Face for calls from other nodes.', '127.0.0.1:0'),
    Option('gossip', parse_address, _ADDRESS, 'Face for membership messages.', '127.0.0.1:0'),
    Option('operators', parse_address, _ADDRESS, 'Face for operators.', '127.0.0.1:0'),
    Option('seeds', _parse_addresses, f'{_ADDRESS},...', 'Gossip faces to try first.', ''),
    Option('log-level', _parse_level, ', '.join(LOG_LEVELS), 'Least level that is logged.', 'info'),
    Option(
        'otlp-endpoint',
        _parse_url,
        'an http or https URL',
        'Where metrics are sent; nowhere by default.',
        '',
    ),
    Option(
        'max-header-bytes', _integer(1024, 1 << 20), '1024 to 1048576', 'Header limit.', '16384'
    ),
    Option('max-body-bytes', _integer(0, 1 << 26), '0 to 67108864', 'Body limit.', '1048576'),
    Option('max-connections', _integer(1, 100_000), '1 to 100000', 'Connections a face.', '4096'),
    Option('header-timeout', _seconds(0.1, 300), '0.1 to 300', HEADER_TIMEOUT_HELP, '10'),
    Option('idle-timeout', _seconds(1, 3600), '1 to 3600', 'Time between requests.', '75'),
    Option('drain-timeout', _seconds(0, 3600), '0 to 3600', 'Time for calls to end.', '30'),
    Option(
        'range-horizon',
        _seconds(120, 3600),
        '120 to 3600',
        'How far ahead key ranges are held.',
        '300',
    ),
)


def secret_file_options() -> list[str]:
    """Return the names of the options that read a secret from a file."""
    return [option.name + FILE_SUFFIX for option in OPTIONS if option.secret]


def read_settings(
    flags: Mapping[str, str], environ: Mapping[str, str]
) -> Result[Settings, SettingError]:
    """Read all settings; a flag overrides its environment variable."""
    values: dict[str, Any] = {}
    for option in OPTIONS:
        match _find_value(option, flags, environ):
            case Ok(text):
                pass
            case Err(error):
                return Err(error)
        try:
            values[option.name.replace('-', '_')] = option.parse(text)
        except ValueError:
            shown = '(hidden)' if option.secret else text or '(empty)'
            return Err(SettingError(option.name, shown, option.allowed))
    settings = Settings(**values)
    conflict = _check_listeners(settings)
    return Err(conflict) if conflict else Ok(settings)


def _find_value(
    option: Option, flags: Mapping[str, str], environ: Mapping[str, str]
) -> Result[str, SettingError]:
    text = _lookup(option.name, flags, environ)
    path = _lookup(option.name + FILE_SUFFIX, flags, environ) if option.secret else None
    if path is not None:
        return _read_secret_file(option, path, text)
    text = option.default if text is None else text
    return Err(SettingError(option.name, '', option.allowed)) if text is None else Ok(text)


def _lookup(name: str, flags: Mapping[str, str], environ: Mapping[str, str]) -> str | None:
    return flags.get(name, environ.get(env_name(name)))


def _read_secret_file(option: Option, path: str, text: str | None) -> Result[str, SettingError]:
    name = option.name + FILE_SUFFIX
    if text is not None:
        return Err(SettingError(name, path, f'only one of {option.name} and {name}'))
    try:
        with open(path, encoding='ascii') as file:
            return Ok(file.read().rstrip('\r\n'))
    except (OSError, ValueError) as exc:
        reason = exc.strerror if isinstance(exc, OSError) else 'it is not ASCII'
        return Err(SettingError(name, path or '(empty)', f'a readable file ({reason})'))


def _check_listeners(settings: Settings) -> SettingError | None:
    if settings.local.host not in ('127.0.0.1', '::1'):
        return SettingError('local', str(settings.local), 'a loopback address')
    for index, name in enumerate(LISTENER_SETTINGS):
        address: Address = getattr(settings, name)
        for other in LISTENER_SETTINGS[:index]:
            if _conflicts(address, getattr(settings, other)):
                return SettingError(name, str(address), f'another port than that of {other}')
    return None


def _conflicts(one: Address, two: Address) -> bool:
    if not one.port or one.port != two.port:
        return False
    return one.host == two.host or '0.0.0.0' in (one.host, two.host) or '::' in (one.host, two.host)
