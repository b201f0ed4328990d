import asyncio
import json
from collections import Counter
from typing import Any

from testtools import TestCase

from dunlinsaddle.calls.http import HttpResponse, json_response
from standins.mesh import MeshFleet, UnconfirmedWriteError
from standins.soak import SentRequest, Variant, find_violations, run_seed
from standins.soak_says import (
    AnnouncedRate,
    Arrival,
    CallerRequest,
    NodeDisruption,
    RelayedLeaving,
    find_leaving_violations,
    find_rate_violations,
)
from tests.clock import PausedClockTest

#: One short run for each change of the code; seeds that ever failed stay here, with the cause.
#: 10: a node that started while the store took calls and said nothing had no configuration for
#: 27 s, the time of a whole watch (about every second run, at 5 s of faults).
SEEDS = ((2, 3.0), (10, 5.0))
RETURNS_SEED, RETURNS_SECONDS = 3, 4.0
#: Nodes that read answers for their requests alone pass rate and leaving by in this run.
SAYS_SEED, SAYS_SECONDS = 1, 10.0


class SoakTest(TestCase):
    def test_promises_hold_while_processes_are_harmed(self):
        # Callers keep their connections while nodes and targets are killed, frozen, stopped
        # and started, and ways are cut. What they see, and what targets ran, is judged.
        for seed, seconds in SEEDS:
            record = asyncio.run(run_seed(seed, seconds))
            self.assertEqual([], record.findings, (seed, record.faults))

    def test_changes_are_in_force_though_the_store_returns_from_copies(self):
        """A machine that is not served by the newest route holds an old configuration."""
        record = asyncio.run(run_seed(RETURNS_SEED, RETURNS_SECONDS, Variant(restores_store=True)))
        self.assertIn('return_store', record.faults)
        self.assertEqual([], record.findings, record.faults)

    def test_what_targets_say_with_their_answers_is_kept_to_while_processes_are_harmed(self):
        """A target that names a rate gets more, or one that leaves gets requests."""
        record = asyncio.run(run_seed(SAYS_SEED, SAYS_SECONDS, Variant(announces_state=True)))
        self.assertTrue(record.announced_rates)
        self.assertTrue(record.relayed_leaving)
        self.assertEqual([], record.findings, record.faults)


class OperatorTest(PausedClockTest):
    def configure(self, *answers: HttpResponse | None) -> tuple[list[str], list[Any]]:
        async def scenario():
            fleet = MeshFleet(0)
            told, revisions, left = [], [], list(answers)

            async def send_request(address, method, path, body=b''):
                revisions.append(json.loads(body)['metadata'].get('revision'))
                return left.pop(0)

            fleet.send_request = send_request
            for _ in answers:
                try:
                    await fleet.configure([])
                    told.append('written')
                except UnconfirmedWriteError as exc:
                    told.append(str(exc))
            fleet.temp_dir.cleanup()
            return told, revisions

        return self.run_paused(scenario())

    def test_an_operator_whom_the_store_refuses_goes_on(self):
        # Seed 57 of 8 s: the store answered 503 to a configuration, the run broke off, and a
        # harm that was still out started a node for which it then waited for ever.
        held = json_response({'metadata': {'name': 'main', 'revision': 7}}, 409)
        done = json_response({'metadata': {'name': 'main', 'revision': 9}})
        refused = json_response({'message': 'not now'}, 503)
        told, revisions = self.configure(refused, None, held, done, done)
        self.assertEqual(['503', 'None', '409', 'written', 'written'], told)
        self.assertEqual([None, None, None, 7, 9], revisions)


class JudgeTest(TestCase):
    def sent(self, **changes):
        return SentRequest('q', 'orders', 'a', 200, True, 0.1)._replace(**changes)

    def found(self, runs, **changes):
        return len(find_violations([self.sent(), self.sent(**changes)], Counter(runs)))

    def test_each_broken_promise_is_a_finding(self):
        self.assertEqual(0, self.found({'q': 1}))
        self.assertEqual(2, self.found({'q': 2}))
        self.assertEqual(1, self.found({'q': 1}, status=503))
        self.assertEqual(1, self.found({'q': 1}, is_valid=False))
        self.assertEqual(1, self.found({'q': 1}, status=404))


class JudgeSaidTest(TestCase):
    def most(self, count, since=10.0, until=20.0):
        arrivals = [Arrival('t', 14.0 + n * 0.01, f'q{n}') for n in range(count)]
        return len(find_rate_violations([AnnouncedRate('t', 5.0, since, until)], arrivals))

    def test_a_window_with_more_than_the_rate_allows_is_a_finding(self):
        self.assertEqual([0, 1], [self.most(35), self.most(36)])

    def test_only_windows_in_which_the_rate_binds_count(self):
        self.assertEqual([0, 0], [self.most(90, since=12.0), self.most(90, until=13.9)])

    def late(self, sent, target='t', disruptions=()):
        return len(
            find_leaving_violations(
                [RelayedLeaving('a', 't', 10.0), RelayedLeaving('a', 't', 90.0)],
                [CallerRequest('q', 'a', sent)],
                [Arrival(target, sent + 0.1, 'q')],
                [NodeDisruption('a', when) for when in disruptions],
            )
        )

    def test_a_request_to_a_target_that_its_entry_knew_to_leave_is_a_finding(self):
        self.assertEqual([0, 1, 0], [self.late(11.9), self.late(12.1), self.late(12.1, 'u')])

    def test_an_entry_that_was_ended_since_may_have_forgotten(self):
        self.assertEqual(
            [0, 1], [self.late(15.0, disruptions=[12.0]), self.late(15.0, disruptions=[9.0])]
        )
