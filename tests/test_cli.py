import socket
import tempfile
from pathlib import Path

import msgspec
from testtools import TestCase

from dunlinsaddle.cli.core import COMMANDS
from dunlinsaddle.exit_status import ExitStatus
from tests.builders import build_document
from tests.utils import NodeThread, run_cli

TOKEN = 'a-token-for-tests'


class CliTest(TestCase):
    def setUp(self):
        super().setUp()
        self.node = NodeThread()
        self.node.__enter__()
        self.addCleanup(self.node.__exit__)
        temporary = tempfile.TemporaryDirectory()
        self.addCleanup(temporary.cleanup)
        self.directory = Path(temporary.name)

    def write_record(self, service: str = 'cut-orders', **changes):
        path = self.directory / f'{service}.json'
        path.write_bytes(msgspec.json.encode(build_document(service, **changes)))
        return str(path)

    def cli(self, *argv: str, **kwargs):
        return self.node.cli(*argv, **kwargs)

    def assert_fails(self, result, status: ExitStatus, text: str):
        self.assertEqual((status, ''), (result.status, result.output), result.error)
        self.assertEqual(1, result.error.count('\n'), result.error)
        self.assertTrue(result.error.startswith('dunlinsaddle: error: '))
        self.assertIn(text, result.error)

    def test_history_and_audit_show_every_change_of_a_record(self):
        first = self.cli('apply', self.write_record(), '--why', 'first record')
        self.assertEqual('cut-orders is at version 1\n', first.output, first.error)
        path = self.write_record(deadline=2.0)
        self.assertEqual('deadline\n', self.cli('diff', path).output)
        dry_run = self.cli('apply', '--dry-run', path)
        self.assertEqual('cut-orders at version 1 would change: deadline\n', dry_run.output)
        self.assertEqual('2', self.cli('apply', path, '--who', 'bob').output.split()[-1])
        self.assertEqual(2.0, self.cli('get', 'cut-orders', '--json').json['record']['deadline'])
        self.assertEqual('the same as version 2\n', self.cli('diff', path).output)
        deleted = self.cli('delete', 'cut-orders', '--why', 'service retired')
        self.assertEqual('cut-orders is deleted at version 3\n', deleted.output)
        for result in (self.cli('history', 'cut-orders'), self.cli('audit', '--since', '1h')):
            rows = [line.split()[1:] for line in result.output.splitlines()]
            self.assertEqual(['cut-orders', 'ann', '0', '1', 'record', 'first', 'record'], rows[1])
            self.assertEqual(['cut-orders', 'bob', '1', '2', 'deadline', '-'], rows[2])
            self.assertEqual(['2', '3', 'deleted', 'service', 'retired'], rows[3][2:])
        self.assertEqual([], self.cli('audit', '--since', '2999-01-01', '--json').json)

    def test_queries_show_records_in_force(self):
        self.cli('apply', self.write_record(), self.write_record('slab-stock'))
        self.node.wait_for_record('cut-orders')
        self.node.wait_for_record('slab-stock')
        self.assertEqual('cut-orders', self.cli('list').output.splitlines()[1].split()[0])
        status = self.cli('status', '--json').json
        self.assertEqual('reachable', status['platform']['state'])
        self.assertEqual(1, status['records']['cut-orders']['version'])
        self.assertEqual(['bangor-1'], status['watchers'])
        rollout = self.cli('rollout', '--json').json
        self.assertEqual({'cut-orders': 1, 'slab-stock': 2}, rollout[0]['in_force'])
        explained = self.cli('explain', 'cut-orders', 'POST', '/orders/1/release', '--json').json
        self.assertEqual(('release', False), (explained['rule'], explained['idempotent']))
        self.assertEqual(0, self.cli('targets').status)

    def test_apply_writes_nothing_if_one_of_several_files_is_invalid(self):
        invalid = self.write_record('slab-stock', retry_bound=11)
        result = self.cli('apply', self.write_record(), invalid)
        self.assert_fails(result, ExitStatus.INVALID_RECORD, 'retry_bound: 11: expected 0 to 10')
        self.assertEqual(0, self.node.store.revision)

    def test_conflict_names_the_other_operator_and_the_changed_fields(self):
        self.cli('apply', self.write_record())
        self.cli('apply', self.write_record(deadline=2.0), '--who', 'bob')
        result = self.cli('apply', self.write_record(deadline=3.0), '--expected', '1')
        self.assert_fails(result, ExitStatus.CONFLICT, 'version 2 stands there, changed by bob')
        self.assertIn('(deadline)', result.error)

    def test_change_is_made_once_when_its_response_is_lost(self):
        self.node.store.lose_answers = 1
        result = self.cli('apply', self.write_record(), '--json')
        self.assertEqual((0, True), (result.status, result.json[0]['settled']))
        self.assertEqual(1, len(self.cli('history', 'cut-orders', '--json').json))

    def test_unknown_outcome_can_be_settled_by_repeating_the_id(self):
        # No write reaches the store and none gets a response. The error says that the outcome
        # is unknown and with which id to run the command again; doing so makes the change once.
        path = self.write_record()
        self.node.store.drop_writes = 9
        result = self.cli('apply', path)
        self.assert_fails(result, ExitStatus.UNAVAILABLE, 'whether it was written is not known')
        retry_options = result.error.partition('run it again with ')[2].split()
        self.assertEqual(0, self.cli('apply', path, *retry_options).status)
        self.assertEqual(0, self.cli('apply', path, *retry_options).status)
        self.assertEqual(1, len(self.cli('history', 'cut-orders', '--json').json))

    def test_failure_is_reported_in_one_line_with_its_exit_status(self):
        valid = self.write_record()
        with socket.socket() as sock:
            sock.bind(('127.0.0.1', 0))
            closed_address = f'127.0.0.1:{sock.getsockname()[1]}'
        callers_address = str(self.node.addresses.callers)
        (self.directory / 'text.json').write_text('{')
        not_json = str(self.directory / 'text.json')
        cases = (
            (['list', '--node', closed_address], ExitStatus.UNAVAILABLE, 'check --node'),
            (
                ['list', '--node', callers_address],
                ExitStatus.UNAVAILABLE,
                "not a node's operators' listener",
            ),
            (['list', '--node', 'nowhere'], ExitStatus.USAGE, 'expected HOST:PORT'),
            (['list', '--token', 'another-token'], ExitStatus.DENIED, 'give the operator token'),
            (['list', '--token', 'a-token\n'], ExitStatus.USAGE, 'token: cannot be used'),
            (['get', 'nothing'], ExitStatus.NOT_FOUND, 'nothing'),
            (['history', 'nothing'], ExitStatus.NOT_FOUND, 'nothing'),
            (['delete', 'nothing'], ExitStatus.NOT_FOUND, 'nothing'),
            (['get', 'a/../b'], ExitStatus.NOT_FOUND, 'a/../b'),
            (['apply', 'no-such-file'], ExitStatus.USAGE, 'No such file'),
            (['apply', not_json], ExitStatus.INVALID_RECORD, 'not JSON'),
            (['apply', valid, '--expected', 'x'], ExitStatus.USAGE, 'not a version'),
            (['apply', valid, valid, '--expected', '1'], ExitStatus.USAGE, 'just one'),
            (['apply', valid, '--expected', '9'], ExitStatus.CONFLICT, 'no such record'),
            (['audit', '--since', 'soon'], ExitStatus.USAGE, "since: 'soon'"),
            (['explain', 'nothing', 'GET', '/'], ExitStatus.NOT_FOUND, 'nothing'),
            (['aply'], ExitStatus.USAGE, 'see dunlinsaddle --help'),
            (['list', '--jsn'], ExitStatus.USAGE, 'see dunlinsaddle --help'),
        )
        for argv, status, text in cases:
            self.assert_fails(self.cli(*argv), status, text)
        self.assert_fails(run_cli('list'), ExitStatus.USAGE, 'no operator token')

    def test_reads_continue_while_the_platform_is_unreachable(self):
        self.cli('apply', self.write_record())
        self.node.wait_for_record('cut-orders')
        self.node.store.down = True
        result = self.cli('apply', self.write_record(), '--expected', '1')
        self.assert_fails(result, ExitStatus.UNAVAILABLE, 'The platform cannot be reached')
        self.assertEqual('node', self.cli('get', 'cut-orders', '--json').json['source'])
        self.assertEqual(1, len(self.cli('list', '--json').json))

    def test_debug_option_shows_the_traceback(self):
        self.assertIn('Traceback', self.cli('get', 'nothing', '--debug').error)

    def test_help_lists_every_command(self):
        for argv, status in (([], 2), (['--help'], 0), (['help'], 0)):
            result = run_cli(*argv)
            self.assertEqual(status, result.status)
            for command in COMMANDS:
                self.assertIn(f'\n{command.name} ', result.output)

    def test_help_of_each_command_shows_its_description(self):
        for command in COMMANDS:
            result = self.cli(command.name, '--help')
            self.assertEqual(0, result.status)
            self.assertIn(command.description, ' '.join(result.output.split()))
            self.assertTrue(command.description.endswith('.'), command.name)
