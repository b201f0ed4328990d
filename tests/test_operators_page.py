import re
import shlex
from pathlib import Path

from testtools import TestCase

from dunlinsaddle.exit_status import ExitStatus
from dunlinsaddle.settings import OPTIONS, env_name, secret_file_options
from tests.utils import NodeThread

PAGE = (Path(__file__).parent.parent / 'docs' / 'OPERATORS.md').read_text()


class OperatorsPageTest(TestCase):
    def test_documented_commands_succeed(self):
        commands = re.findall(r'^\$ dunlinsaddle (.+)$', PAGE, re.MULTILINE)
        self.assertGreater(len(commands), 10)
        with NodeThread() as node:
            for command in commands:
                argv = shlex.split(command)
                if argv[0] == 'explain':
                    node.wait_for_record('cut-orders')
                result = node.cli(*argv)
                self.assertEqual((0, ''), (result.status, result.error), command)

    def test_settings_table_matches_the_code(self):
        for opt in OPTIONS:
            default = 'required' if opt.default is None else f'`{opt.default}`'
            row = f'| `--{opt.name}` | `{env_name(opt.name)}` | {opt.allowed} | '
            row += f'{default if opt.default != "" else "none"} | {opt.help} |'
            self.assertIn(row, PAGE)
        for name in secret_file_options():
            self.assertIn(f'`--{name}`', PAGE)

    def test_all_exit_statuses_are_documented(self):
        for status in ExitStatus:
            self.assertRegex(PAGE, rf'(?m)^\| {status.value} \|')
