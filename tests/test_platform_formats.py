import msgspec
from result import Err
from testtools import TestCase
from testtools.matchers import raises

from dunlinsaddle.calls.http import HttpRequest, HttpResponse
from dunlinsaddle.errors import ErrorKind, Outcome
from dunlinsaddle.mesh.heartbeats import Deregistration, Heartbeat, HeartbeatTracker
from dunlinsaddle.platform.heartbeats import read_heartbeat
from dunlinsaddle.platform.node_file import read_node_file
from dunlinsaddle.platform.requests import decode_reply, read_caller_headers
from dunlinsaddle.platform.units import parse_seconds, parse_version
from dunlinsaddle.settings import Address
from tests.builders import build_node_file


class UnitsTest(TestCase):
    def test_times_and_versions(self):
        self.assertEqual((1.5, 2.5, 0.0), tuple(map(parse_seconds, ('1500ms', '2.5s', '0ms'))))
        self.assertEqual(12, parse_version('r12'))

    def test_what_is_neither_is_refused(self):
        for value in ('1500', 'ms', '-1s', 'infs', 'nans', 7, None):
            self.assertThat(lambda v=value: parse_seconds(v), raises(ValueError))
        for value in ('12', 'r', 'r-1', 'r1.5', 12, None):
            self.assertThat(lambda v=value: parse_version(v), raises(ValueError))


class NodeFileTest(TestCase):
    def test_addresses_and_bounds_are_decoded(self):
        found = read_node_file(msgspec.json.encode(build_node_file(later='x'))).unwrap()
        self.assertEqual(Address('10.1.0.8', 8304), found.callers)
        self.assertEqual(Address('10.1.0.8', 8306), found.announce)
        self.assertEqual(Address('10.1.0.8', 7620), found.peers)
        self.assertEqual(
            (2.0, 6.0, 0.2), (found.limits.drain_seconds, found.limits.grace_seconds, 0.2)
        )

    def test_bounds_of_keys_and_quotas_may_be_absent(self):
        bounds = build_node_file()['bounds']
        without = read_node_file(msgspec.json.encode(build_node_file())).unwrap().limits
        self.assertEqual((None, 0.0), (without.revocation_seconds, without.quota_slack))
        keyed = {**bounds, 'revokeEverywhere': True, 'revoke': '5000ms', 'quotaSlack': 20}
        found = read_node_file(msgspec.json.encode(build_node_file(bounds=keyed))).unwrap().limits
        self.assertEqual((5.0, 20.0), (found.revocation_seconds, found.quota_slack))

    def test_a_file_that_cannot_be_used_is_refused_with_its_reason(self):
        whole = msgspec.json.encode(build_node_file())
        cut = [whole[:size] for size in (0, 1, 100, len(whole) - 1)]
        odd = [
            build_node_file(nodeName=None),
            build_node_file(appAddress='nowhere'),
            build_node_file(internalPortRange=[7620]),
            build_node_file(bounds={}),
        ]
        for data in [*cut, *map(msgspec.json.encode, odd), b'\xff\xfe', b'[' * 100_000]:
            self.assertIsInstance(read_node_file(data), Err)


class HeartbeatTest(TestCase):
    GOOD = {
        'service': 's',
        'address': '10.0.0.1:80',
        'slots': 4,
        'state': 'ready',
        'sequence': 1,
        'born': 1_700_000_000_000,
    }

    def read(self, body, path='/instances/i-1', method='PUT'):
        data = body if isinstance(body, bytes) else msgspec.json.encode(body)
        return read_heartbeat(HttpRequest(method, path, [], data, ''))

    def test_fields_are_decoded(self):
        beat = self.read({**self.GOOD, 'state': 'draining', 'coldRemaining': '1.5s'}).unwrap()
        self.assertEqual(('i-1', True, 1.5), (beat.target_id, beat.draining, beat.warmup_seconds))
        self.assertEqual(Deregistration('i-1'), self.read(b'', method='DELETE').unwrap())

    def test_what_cannot_be_read_names_no_target(self):
        wrong = [
            b'',
            b'\xff',
            {},
            *({k: v for k, v in self.GOOD.items() if k != name} for name in ('service', 'slots')),
            {**self.GOOD, 'slots': '4'},
            {**self.GOOD, 'slots': 0},
            {**self.GOOD, 'state': 'asleep'},
            {**self.GOOD, 'address': 'x'},
            {**self.GOOD, 'born': 1.5},
            {**self.GOOD, 'sequence': -1},
        ]
        for body in wrong:
            self.assertIsInstance(self.read(body), Err, body)
        for path in ('/instances/', '/instances/a/b', '/other/i-1'):
            self.assertIsInstance(self.read(self.GOOD, path), Err, path)


class TargetLogTest(TestCase):
    def beat(self, target_id='i-1', started_at_ms=1, sequence=1):
        return Heartbeat(target_id, 's', ('h', 1), 4, False, 0.0, started_at_ms, sequence)

    def test_only_the_newest_of_the_newest_incarnation_counts(self):
        log = HeartbeatTracker()
        taken = [
            log.accept(beat)
            for beat in (
                self.beat(sequence=5),
                self.beat(sequence=4),
                self.beat(sequence=6),
                self.beat('i-2', started_at_ms=9),
                self.beat(sequence=7),
                self.beat('i-2', started_at_ms=9, sequence=2),
            )
        ]
        self.assertEqual([True, False, True, True, False, True], taken)

    def test_a_heartbeat_after_the_farewell_of_its_incarnation_is_not_taken(self):
        # The heartbeat was held up and arrives behind the farewell. Taken, it would point
        # requests at a target that is going.
        log = HeartbeatTracker()
        log.accept(self.beat())
        self.assertTrue(log.deregister(Deregistration('i-1')))
        self.assertFalse(log.accept(self.beat(sequence=9)))
        self.assertTrue(log.accept(self.beat(started_at_ms=2)))


class AnswerTest(TestCase):
    SIGNED = [(b'request-id', b'r'), (b'server-signature', b's')]

    def test_only_a_target_that_says_so_has_not_run_it(self):
        said = decode_reply(HttpResponse(503, [(b'not-executed', b'1')], b''))
        self.assertEqual(
            (Outcome.NOT_RUN, ErrorKind.TARGET_REFUSED.value), (said.outcome, said.kind)
        )
        silent = decode_reply(HttpResponse(503, self.SIGNED, b''))
        self.assertEqual((Outcome.DONE, 503), (silent.outcome, silent.status))
        self.assertEqual(Outcome.NOT_RUN, decode_reply(HttpResponse(421, [], b'')).outcome)

    def test_a_success_that_is_not_the_targets_own_is_no_answer(self):
        encoded = [*self.SIGNED, (b'content-encoding', b'gzip')]
        for headers in ([], self.SIGNED[:1], self.SIGNED[1:], encoded):
            reply = decode_reply(HttpResponse(200, headers, b'x'))
            self.assertEqual(ErrorKind.INCOMPLETE_ANSWER.value, reply.kind, headers)

    def test_a_time_that_cannot_be_read_counts_as_none(self):
        for text in (b'', b'soon', b'-1', b'1.5'):
            headers = [(b'deadline-milliseconds', text)]
            self.assertIsNone(
                read_caller_headers(HttpRequest('GET', '/', headers, b'', '')).remaining_seconds
            )
