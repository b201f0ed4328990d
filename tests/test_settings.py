import tempfile
from pathlib import Path

from testtools import TestCase

from dunlinsaddle.daemon import run_daemon
from dunlinsaddle.settings import env_name
from tests.builders import OPERATOR_TOKEN, PEER_KEY, build_environment

VALID_SETTINGS = {
    'instance': 'bangor-1',
    'domain': 'bangor-hall',
    'platform': '127.0.0.1:9',
    'peer-key': PEER_KEY,
    'operator-token': OPERATOR_TOKEN,
}
INVALID_VALUES = (
    ('instance', 'bangor 1'),
    ('instance', 'x' * 65),
    ('domain', 'bängor'),
    ('region', ''),
    ('platform', 'platform:80'),
    ('platform', '127.0.0.1'),
    ('platform', '127.0.0.1:0'),
    ('platform', '127.0.0.1:65536'),
    ('callers', '127.0.0.1:-1'),
    ('local', '10.0.0.1:80'),
    ('seeds', '127.0.0.1:1,nowhere'),
    ('log-level', 'loud'),
    ('otlp-endpoint', 'collector:4318'),
    ('max-header-bytes', '10'),
    ('max-body-bytes', 'many'),
    ('max-connections', '0'),
    ('header-timeout', 'nan'),
    ('idle-timeout', 'inf'),
    ('drain-timeout', '-1'),
)


class SettingsTest(TestCase):
    def check(self, flags: dict[str, str], environ: dict[str, str] | None = None):
        env = build_environment(program_name='dunlinsaddled', environ=environ or {})
        argv = [f'--{name}={text}' for name, text in flags.items()]
        return run_daemon(['--check', *argv], env), env.stderr.getvalue()

    def test_valid_settings_are_accepted_from_flags_and_from_the_environment(self):
        environ = {env_name(name): text for name, text in VALID_SETTINGS.items()}
        self.assertEqual((0, ''), self.check(VALID_SETTINGS))
        self.assertEqual((0, ''), self.check({}, environ))
        status, line = self.check({'instance': 'no good'}, environ)
        self.assertEqual(2, status, line)

    def test_invalid_value_is_reported_in_one_line_with_its_setting(self):
        for name, text in INVALID_VALUES:
            status, line = self.check({**VALID_SETTINGS, name: text})
            self.assertEqual(2, status, name)
            self.assertEqual(1, line.count('\n'))
            self.assertIn(f"{name}: '{text or '(empty)'}' cannot be used, expected ", line)

    def test_missing_value_is_reported_with_its_flag_and_variable(self):
        for name in VALID_SETTINGS:
            status, line = self.check({n: t for n, t in VALID_SETTINGS.items() if n != name})
            self.assertEqual(2, status)
            self.assertIn(f'{name} is missing: give --{name} or {env_name(name)}', line)

    def test_invalid_secret_is_not_shown(self):
        for text in ('short', 'with a space', 'a-key-för-tests'):
            status, line = self.check({**VALID_SETTINGS, 'peer-key': text})
            self.assertEqual(2, status)
            self.assertNotIn(text, line)

    def test_two_listeners_on_one_port_are_refused(self):
        for host in ('127.0.0.1', '0.0.0.0'):
            status, line = self.check(
                {**VALID_SETTINGS, 'callers': f'{host}:7401', 'operators': '127.0.0.1:7401'}
            )
            self.assertEqual(2, status)
            self.assertIn('operators', line)
            self.assertIn('another port than that of callers', line)

    def test_secret_is_read_from_a_file(self):
        temporary = tempfile.TemporaryDirectory()
        self.addCleanup(temporary.cleanup)
        directory = Path(temporary.name)
        (directory / 'key').write_text(f'{PEER_KEY}\n')
        flags = {n: t for n, t in VALID_SETTINGS.items() if n != 'peer-key'}
        self.assertEqual(0, self.check({**flags, 'peer-key-file': str(directory / 'key')})[0])
        cases = (
            ({**flags, 'peer-key-file': str(directory / 'none')}, 'No such file'),
            ({**VALID_SETTINGS, 'peer-key-file': str(directory / 'key')}, 'only one of'),
        )
        for settings, text in cases:
            status, line = self.check(settings)
            self.assertEqual(2, status)
            self.assertIn(text, line)

    def test_unknown_flag_exits_with_status_two(self):
        status, line = self.check({**VALID_SETTINGS, 'instnce': 'x'})
        self.assertEqual((2, 1), (status, line.count('\n')))
