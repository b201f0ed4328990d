import msgspec
from result import Err
from testtools import TestCase
from testtools.matchers import raises

from dunlinsaddle.calls.http import HttpRequest, HttpResponse
from dunlinsaddle.calls.target import HealthUnknown, NoHealthPath, NotServing, Serving
from dunlinsaddle.errors import ErrorKind, Outcome
from dunlinsaddle.mesh.heartbeats import (
    MAX_FORMER_STARTS,
    Deregistration,
    Heartbeat,
    HeartbeatTracker,
    Verdict,
)
from dunlinsaddle.platform.heartbeats import read_heartbeat
from dunlinsaddle.platform.node_file import read_node_file
from dunlinsaddle.platform.requests import decode_reply, read_caller_headers, read_health
from dunlinsaddle.platform.units import parse_seconds, parse_version
from dunlinsaddle.settings import Address
from tests.builders import build_node_file


class UnitsTest(TestCase):
    def test_durations_and_versions_are_parsed(self):
        self.assertEqual((1.5, 2.5, 0.0), tuple(map(parse_seconds, ('1500ms', '2.5s', '0ms'))))
        self.assertEqual(12, parse_version('r12'))

    def test_invalid_durations_and_versions_are_rejected(self):
        for value in ('1500', 'ms', '-1s', 'infs', 'nans', 7, None):
            self.assertThat(lambda v=value: parse_seconds(v), raises(ValueError))
        for value in ('12', 'r', 'r-1', 'r1.5', 12, None):
            self.assertThat(lambda v=value: parse_version(v), raises(ValueError))


class NodeFileTest(TestCase):
    def test_addresses_and_bounds_are_decoded(self):
        settings = read_node_file(msgspec.json.encode(build_node_file(later='x'))).unwrap()
        self.assertEqual(Address('10.1.0.8', 8304), settings.callers)
        self.assertEqual(Address('10.1.0.8', 8306), settings.announce)
        self.assertEqual(Address('10.1.0.8', 7620), settings.peers)
        self.assertEqual(
            (2.0, 6.0, 0.2), (settings.limits.drain_seconds, settings.limits.grace_seconds, 0.2)
        )

    def test_bounds_of_keys_and_quotas_are_optional(self):
        bounds = build_node_file()['bounds']
        limits = read_node_file(msgspec.json.encode(build_node_file())).unwrap().limits
        self.assertEqual((None, 0.0), (limits.revocation_seconds, limits.quota_slack))
        keyed = {**bounds, 'revokeEverywhere': True, 'revoke': '5000ms', 'quotaSlack': 20}
        keyed_limits = (
            read_node_file(msgspec.json.encode(build_node_file(bounds=keyed))).unwrap().limits
        )
        self.assertEqual((5.0, 20.0), (keyed_limits.revocation_seconds, keyed_limits.quota_slack))

    def test_invalid_file_is_rejected_with_a_reason(self):
        encoded = msgspec.json.encode(build_node_file())
        truncated = [encoded[:size] for size in (0, 1, 100, len(encoded) - 1)]
        invalid = [
            build_node_file(nodeName=None),
            build_node_file(appAddress='nowhere'),
            build_node_file(internalPortRange=[7620]),
            build_node_file(bounds={}),
        ]
        for data in [*truncated, *map(msgspec.json.encode, invalid), b'\xff\xfe', b'[' * 100_000]:
            self.assertIsInstance(read_node_file(data), Err)


class HeartbeatTest(TestCase):
    VALID = {
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
        beat = self.read({**self.VALID, 'state': 'draining', 'coldRemaining': '1.5s'}).unwrap()
        self.assertEqual(('i-1', True, 1.5), (beat.target_id, beat.draining, beat.warmup_seconds))
        self.assertEqual(Deregistration('i-1'), self.read(b'', method='DELETE').unwrap())

    def test_invalid_heartbeat_is_rejected(self):
        invalid_bodies = [
            b'',
            b'\xff',
            {},
            *({k: v for k, v in self.VALID.items() if k != name} for name in ('service', 'slots')),
            {**self.VALID, 'slots': '4'},
            {**self.VALID, 'slots': 0},
            {**self.VALID, 'state': 'asleep'},
            {**self.VALID, 'address': 'x'},
            {**self.VALID, 'born': 1.5},
            {**self.VALID, 'sequence': -1},
            {**self.VALID, 'slots': 1 << 64},
            {**self.VALID, 'sequence': 1 << 64},
            {**self.VALID, 'born': 1 << 64},
        ]
        for body in invalid_bodies:
            self.assertIsInstance(self.read(body), Err, body)
        # Each request carries the id in a header, which must not hold a line break.
        line_break, long_id = '/instances/a%0d%0ab', '/instances/' + 'i' * 300
        for path in ('/instances/', '/instances/a/b', '/other/i-1', line_break, long_id):
            self.assertIsInstance(self.read(self.VALID, path), Err, path)


class HeartbeatTrackerTest(TestCase):
    def beat(self, target_id='i-1', started_at_ms=1, sequence=1, *, draining=False):
        return Heartbeat(target_id, 's', ('h', 1), 4, draining, 0.0, started_at_ms, sequence)

    def test_only_the_newest_heartbeat_of_the_newest_incarnation_is_applied(self):
        tracker = HeartbeatTracker()
        verdicts = []
        for beat in (
            self.beat(sequence=5),
            self.beat(sequence=4),
            self.beat(sequence=6),
            self.beat('i-2', started_at_ms=9),
            self.beat(sequence=7),
            self.beat('i-2', started_at_ms=9, sequence=2),
        ):
            verdicts.append(tracker.judge(beat))
            if verdicts[-1] in (Verdict.APPLY, Verdict.APPLY_IF_SERVING):
                tracker.apply(beat)
        expected = [
            Verdict.APPLY_IF_SERVING,
            Verdict.OLD_SEQUENCE,
            Verdict.APPLY,
            Verdict.APPLY_IF_SERVING,
            Verdict.FORMER_START,
            Verdict.APPLY,
        ]
        self.assertEqual(expected, verdicts)

    # Guards against a departure that is acknowledged and not applied, because the clock of the
    # target was set back or its heartbeats are counted anew.
    def test_a_departure_of_the_current_target_is_applied_whatever_its_numbers(self):
        for started_at_ms, sequence in ((5, 9), (5, 1), (9, 1)):
            tracker = HeartbeatTracker()
            tracker.apply(self.beat(started_at_ms=5, sequence=7))
            beat = self.beat(started_at_ms=started_at_ms, sequence=sequence, draining=True)
            self.assertEqual(Verdict.APPLY, tracker.judge(beat))
            tracker.apply(beat)
            ready = self.beat(started_at_ms=started_at_ms, sequence=99)
            self.assertEqual(Verdict.APPLY_IF_SERVING, tracker.judge(ready))
            self.assertFalse(tracker.current.sequence < sequence)
        tracker = HeartbeatTracker()
        tracker.apply(self.beat(started_at_ms=5))
        former = self.beat(started_at_ms=4, draining=True)
        self.assertEqual(Verdict.APPLY_UNLESS_SERVING, tracker.judge(former))

    def test_a_departure_of_another_target_is_remembered_and_changes_nothing(self):
        tracker = HeartbeatTracker()
        tracker.apply(self.beat())
        other = self.beat('i-2', started_at_ms=9, draining=True)
        self.assertEqual(Verdict.GONE, tracker.judge(other))
        tracker.depart(other)
        self.assertEqual('i-1', tracker.current.target_id)
        self.assertFalse(tracker.is_newer(self.beat('i-2', started_at_ms=9, sequence=9)))

    def test_heartbeat_after_the_deregistration_of_its_incarnation_is_rejected(self):
        # A delayed heartbeat arrives after the deregistration. If it were accepted, requests would
        # be sent to a target that is shutting down.
        tracker = HeartbeatTracker()
        tracker.apply(self.beat())
        self.assertTrue(tracker.deregister(Deregistration('i-1')))
        self.assertEqual(Verdict.APPLY_IF_SERVING, tracker.judge(self.beat(sequence=9)))
        self.assertEqual(Verdict.GONE, tracker.judge(self.beat(sequence=9, draining=True)))
        self.assertFalse(tracker.is_newer(self.beat(sequence=9)))
        self.assertTrue(tracker.is_newer(self.beat(started_at_ms=2)))

    # Guards against a first start of a whole deployment in which no target gets work before its
    # node knows the configuration, and against a node that has heard of a departure and forgets it.
    def test_only_the_first_target_of_a_first_start_needs_no_confirmation(self):
        tracker = HeartbeatTracker(is_first_start=True)
        self.assertEqual(Verdict.APPLY, tracker.judge(self.beat()))
        tracker.apply(self.beat())
        tracker.deregister(Deregistration('i-1'))
        self.assertEqual(Verdict.APPLY_IF_SERVING, tracker.judge(self.beat('i-2')))
        tracker = HeartbeatTracker(is_first_start=True)
        tracker.deregister(Deregistration('i-2'))
        self.assertEqual(Verdict.APPLY_IF_SERVING, tracker.judge(self.beat()))

    def test_former_starts_take_bounded_memory(self):
        tracker = HeartbeatTracker()
        for number in range(MAX_FORMER_STARTS + 10):
            tracker.deregister(Deregistration(f'i-{number}'))
            tracker.apply(self.beat('i-x', started_at_ms=number))
        self.assertEqual(MAX_FORMER_STARTS, len(tracker._departed))
        self.assertEqual(MAX_FORMER_STARTS, len(tracker._replaced))
        self.assertFalse(tracker.is_newer(self.beat(f'i-{number}', started_at_ms=0)))


class HealthTest(TestCase):
    def test_only_a_healthy_response_that_names_the_target_confirms_it(self):
        name = [(b'instance', b'i-1')]
        cases = [
            (200, name, Serving('i-1')),
            (200, [], Serving('')),
            (200, [*name, (b'server-leaving', b'1')], NotServing('the target answered 200')),
            (503, name, NotServing('the target answered 503')),
            (404, [], NoHealthPath()),
        ]
        for status, headers, expected in cases:
            self.assertEqual(expected, read_health(HttpResponse(status, headers, b'')))
        full = read_health(HttpResponse(503, [(b'not-executed', b'1')], b''))
        self.assertIsInstance(full, HealthUnknown)


class ResponseTest(TestCase):
    SIGNED = [(b'request-id', b'r'), (b'server-signature', b's')]

    def test_only_a_response_with_the_not_executed_header_or_status_421_means_not_run(self):
        not_run = decode_reply(HttpResponse(503, [(b'not-executed', b'1')], b''))
        self.assertEqual(
            (Outcome.NOT_RUN, ErrorKind.TARGET_REFUSED.value), (not_run.outcome, not_run.kind)
        )
        answered = decode_reply(HttpResponse(503, self.SIGNED, b''))
        self.assertEqual((Outcome.DONE, 503), (answered.outcome, answered.status))
        self.assertEqual(Outcome.NOT_RUN, decode_reply(HttpResponse(421, [], b'')).outcome)

    def test_unsigned_or_encoded_success_is_an_incomplete_response(self):
        encoded = [*self.SIGNED, (b'content-encoding', b'gzip')]
        for headers in ([], self.SIGNED[:1], self.SIGNED[1:], encoded):
            reply = decode_reply(HttpResponse(200, headers, b'x'))
            self.assertEqual(ErrorKind.INCOMPLETE_ANSWER.value, reply.kind, headers)

    def test_invalid_remaining_time_counts_as_none(self):
        for text in (b'', b'soon', b'-1', b'1.5'):
            headers = [(b'deadline-milliseconds', text)]
            self.assertIsNone(
                read_caller_headers(HttpRequest('GET', '/', headers, b'', '')).remaining_seconds
            )
