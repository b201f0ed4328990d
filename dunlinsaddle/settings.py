"""The daemon's settings: flags, environment variables, and their check at start."""

import ipaddress
from collections.abc import Callable, Mapping
from typing import Any, NamedTuple
from urllib.parse import urlsplit

from result import Err, Ok, Result

ENV_PREFIX = 'DUNLINSADDLE_'
FILE_SUFFIX = '-file'
LISTENERS = ('callers', 'local', 'peers', 'gossip', 'operators')
LOG_LEVELS = ('debug', 'info', 'warning', 'error')


class Address(NamedTuple):
    """An IP number and a port; port 0 asks the system for one."""

    host: str
    port: int

    def __str__(self) -> str:
        return f'{self.host}:{self.port}'


class Settings(NamedTuple):
    """What a daemon is told at start. Sizes in bytes, times in seconds."""

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
    """A setting that cannot be used."""

    name: str
    value: str
    allowed: str

    def __str__(self) -> str:
        if not self.value:
            ways = f'--{self.name} or {env_name(self.name)}'
            return f'{self.name} is missing: give {ways}, {self.allowed}'
        return f'{self.name}: {self.value!r} cannot be used, expected {self.allowed}'


class Option(NamedTuple):
    """One setting: how it is read, its default (None: required), and its help."""

    name: str
    parse: Callable[[str], Any]
    allowed: str
    help: str
    default: str | None = None
    secret: bool = False


def env_name(name: str) -> str:
    """Give the environment variable of a setting.

    >>> env_name('peer-key')
    'DUNLINSADDLE_PEER_KEY'
    """
    return ENV_PREFIX + name.upper().replace('-', '_')


def parse_address(text: str) -> Address:
    """Read HOST:PORT.

    >>> read_address('127.0.0.1:80')
    Address(host='127.0.0.1', port=80)
    """
    host, colon, port = text.rpartition(':')
    if not colon or not port.isdecimal() or int(port) > 65535:
        raise ValueError(text)
    # Nodes reach each other by IP number: a name that stops resolving cuts off a fleet.
    return Address(str(ipaddress.ip_address(host.strip('[]'))), int(port))


def _read_remote(text: str) -> Address:
    address = parse_address(text)
    if not address.port:
        raise ValueError(text)
    return address


def _read_addresses(text: str) -> tuple[Address, ...]:
    return tuple(_read_remote(part.strip()) for part in text.split(',') if part.strip())


def _read_name(text: str) -> str:
    plain = text.replace('-', '').replace('.', '')
    if len(text) > 64 or not plain.isalnum() or not plain.isascii():
        raise ValueError(text)
    return text


def _read_level(text: str) -> str:
    if text not in LOG_LEVELS:
        raise ValueError(text)
    return text


def parse_secret(text: str) -> str:
    """Read a key or token. Raises ValueError when a header could not carry it."""
    # A header takes no other characters, and a line's end would be part of the secret.
    if len(text) < 8 or not text.isascii() or not text.isprintable() or ' ' in text:
        raise ValueError(text)
    return text


def _read_url(text: str) -> str:
    url = urlsplit(text)
    if text and (url.scheme not in ('http', 'https') or not url.hostname):
        raise ValueError(text)
    return text


def _whole(low: int, high: int) -> Callable[[str], int]:
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


_NAME = '1 to 64 letters, digits, - and .'
_ADDRESS = 'HOST:PORT with an IP number'
SECRET_FORMAT = 'at least 8 printable ASCII characters, no space'

OPTIONS: tuple[Option, ...] = (
    Option('instance', _read_name, _NAME, 'Name of this instance, unique in the fleet.'),
    Option('domain', _read_name, _NAME, 'Failure domain that this instance is in.'),
    Option('region', _read_name, _NAME, 'Region of the failure domain.', 'default'),
    Option('platform', _read_remote, _ADDRESS, "Address of the platform's object API."),
    Option('peer-key', parse_secret, SECRET_FORMAT, 'Key shared by all nodes.', secret=True),
    Option('operator-token', parse_secret, SECRET_FORMAT, "The operators' token.", secret=True),
    Option('callers', parse_address, _ADDRESS, 'Face for callers.', '127.0.0.1:0'),
    Option('local', parse_address, _ADDRESS, 'Face for the target beside it.', '127.0.0.1:0'),
    Option('peers', parse_address, _ADDRESS, 'Face for calls from other nodes.', '127.0.0.1:0'),
    Option('gossip', parse_address, _ADDRESS, 'Face for membership messages.', '127.0.0.1:0'),
    Option('operators', parse_address, _ADDRESS, 'Face for operators.', '127.0.0.1:0'),
    Option('seeds', _read_addresses, f'{_ADDRESS},...', 'Gossip faces to try first.', ''),
    Option('log-level', _read_level, ', '.join(LOG_LEVELS), 'Least level that is logged.', 'info'),
    Option(
        'otlp-endpoint',
        _read_url,
        'an http or https URL',
        'Where metrics are sent; nowhere by default.',
        '',
    ),
    Option('max-header-bytes', _whole(1024, 1 << 20), '1024 to 1048576', 'Header limit.', '16384'),
    Option('max-body-bytes', _whole(0, 1 << 26), '0 to 67108864', 'Body limit.', '1048576'),
    Option('max-connections', _whole(1, 100_000), '1 to 100000', 'Connections a face.', '4096'),
    Option('header-timeout', _seconds(0.1, 300), '0.1 to 300', 'Time for one request.', '10'),
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
    """Name the settings that give a secret by the path of its file."""
    return [option.name + FILE_SUFFIX for option in OPTIONS if option.secret]


def read_settings(
    flags: Mapping[str, str], environ: Mapping[str, str]
) -> Result[Settings, SettingError]:
    """Read all settings; a flag goes before its environment variable."""
    values: dict[str, Any] = {}
    for option in OPTIONS:
        match _text_of(option, flags, environ):
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
    problem = _faces_problem(settings)
    return Err(problem) if problem else Ok(settings)


def _text_of(
    option: Option, flags: Mapping[str, str], environ: Mapping[str, str]
) -> Result[str, SettingError]:
    text = _given(option.name, flags, environ)
    path = _given(option.name + FILE_SUFFIX, flags, environ) if option.secret else None
    if path is not None:
        return _text_of_file(option, path, text)
    text = option.default if text is None else text
    return Err(SettingError(option.name, '', option.allowed)) if text is None else Ok(text)


def _given(name: str, flags: Mapping[str, str], environ: Mapping[str, str]) -> str | None:
    return flags.get(name, environ.get(env_name(name)))


def _text_of_file(option: Option, path: str, text: str | None) -> Result[str, SettingError]:
    name = option.name + FILE_SUFFIX
    if text is not None:
        return Err(SettingError(name, path, f'only one of {option.name} and {name}'))
    try:
        with open(path, encoding='ascii') as file:
            return Ok(file.read().rstrip('\r\n'))
    except (OSError, ValueError) as exc:
        why = exc.strerror if isinstance(exc, OSError) else 'it is not ASCII'
        return Err(SettingError(name, path or '(empty)', f'a readable file ({why})'))


def _faces_problem(settings: Settings) -> SettingError | None:
    if settings.local.host not in ('127.0.0.1', '::1'):
        return SettingError('local', str(settings.local), 'a loopback address')
    for index, name in enumerate(LISTENERS):
        address: Address = getattr(settings, name)
        for other in LISTENERS[:index]:
            if _collide(address, getattr(settings, other)):
                return SettingError(name, str(address), f'another port than that of {other}')
    return None


def _collide(one: Address, two: Address) -> bool:
    if not one.port or one.port != two.port:
        return False
    return one.host == two.host or '0.0.0.0' in (one.host, two.host) or '::' in (one.host, two.host)
