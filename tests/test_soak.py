import asyncio
import json
from collections import Counter
from typing import Any
from unittest import mock

from testtools import TestCase

from dunlinsaddle.calls.http import HttpResponse, json_response
from standins.mesh import MeshFleet, UnconfirmedWriteError
from standins.pipelining import LostRequest, PipeliningCaller
from standins.soak import Soak, run_seed
from standins.soak_checks import SentRequest, find_cut_requests, find_violations
from standins.soak_departures import find_late_arrivals
from standins.soak_run import Variant
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

#: Seeds and seconds of short runs. Seeds that failed once stay here, with the cause.
#: 10: a node that started while the store accepted calls without answering had no configuration
#: for 27 s, the time of a whole watch (in about every second run, with 5 s of faults).
SEEDS = ((2, 3.0), (10, 5.0))
RESTORES_SEED, RESTORES_SECONDS = 3, 4.0
#: Nodes that do not read advertised states from responses fail this run.
ADVERTISED_SEED, ADVERTISED_SECONDS = 1, 10.0
#: Nodes that serve full pipes until they end fail this run.
PIPES_SEED, PIPES_SECONDS = 101, 6.0
#: Nodes that order heartbeats by their numbers fail this run.
DEPARTURES_SEED, DEPARTURES_SECONDS = 907, 12.0


class SoakTest(TestCase):
    def test_guarantees_hold_while_processes_fail(self):
        # Callers keep their connections while nodes and targets are killed, frozen, stopped and
        # started, and connections are cut. Responses and the runs at targets are checked.
        for seed, seconds in SEEDS:
            record = asyncio.run(run_seed(seed, seconds))
            self.assertEqual([], record.findings, (seed, record.faults))

    def test_changes_take_effect_although_the_store_is_restored_from_copies(self):
        """A machine that does not know the newest route has kept an old configuration."""
        record = asyncio.run(
            run_seed(RESTORES_SEED, RESTORES_SECONDS, Variant(restores_store=True))
        )
        self.assertIn('return_store', record.faults)
        self.assertEqual([], record.findings, record.faults)

    def test_advertised_states_are_respected_while_processes_fail(self):
        """A target would get more requests than its rate, or requests although it is leaving."""
        record = asyncio.run(
            run_seed(ADVERTISED_SEED, ADVERTISED_SECONDS, Variant(announces_state=True))
        )
        self.assertTrue(record.announced_rates)
        self.assertTrue(record.relayed_leaving)
        self.assertEqual([], record.findings, record.faults)

    # Stopping nodes cut off callers with a full pipe; late copies of refusals ended other sends.
    def test_full_pipes_and_repeated_answers_lose_nothing_and_run_nothing_twice(self):
        variant = Variant(refused_share=0.25, repeated_share=0.1, outstanding=4)
        record = asyncio.run(run_seed(PIPES_SEED, PIPES_SECONDS, variant))
        self.assertEqual([], record.findings, record.faults)

    # Guards against requests to a target whose departure was acknowledged, while targets start
    # again under their id with other clocks, leave both ways, and nodes are killed.
    def test_departures_bind_while_targets_and_nodes_start_again(self):
        record = asyncio.run(
            run_seed(DEPARTURES_SEED, DEPARTURES_SECONDS, Variant(reuses_ids=True))
        )
        self.assertTrue(any(fault.startswith('leave') for fault in record.faults))
        self.assertEqual([], record.findings, record.faults)


class LateArrivalsTest(TestCase):
    def test_requests_later_than_the_drain_time_after_a_departure_are_found(self):
        lines = ['got i-1 5.0 r-1', 'left i-1 6.0', 'got i-1 7.9 r-2', 'got i-1 8.1 r-3']
        self.assertEqual([], find_late_arrivals(lines[:3]))
        self.assertEqual([], find_late_arrivals([lines[0], lines[3]]))
        self.assertEqual(1, len(find_late_arrivals(lines)))


class ConfigureTest(PausedClockTest):
    def configure(self, *responses: HttpResponse | None) -> tuple[list[str], list[Any]]:
        async def scenario():
            fleet = MeshFleet(0)
            results, revisions, remaining = [], [], list(responses)

            async def send_request(address, method, path, body=b''):
                revisions.append(json.loads(body)['metadata'].get('revision'))
                return remaining.pop(0)

            fleet.send_request = send_request
            for _ in responses:
                try:
                    await fleet.configure([])
                    results.append('written')
                except UnconfirmedWriteError as exc:
                    results.append(str(exc))
            fleet.temp_dir.cleanup()
            return results, revisions

        return self.run_paused(scenario())

    def test_configuring_continues_after_the_store_refused_a_write(self):
        # With seed 57 and 8 s the store answered a write with 503, and the run was aborted. A
        # pending fault then started another node, and the run waited for it forever.
        conflict = json_response({'metadata': {'name': 'main', 'revision': 7}}, 409)
        stored = json_response({'metadata': {'name': 'main', 'revision': 9}})
        refused = json_response({'message': 'not now'}, 503)
        results, revisions = self.configure(refused, None, conflict, stored, stored)
        self.assertEqual(['503', 'None', '409', 'written', 'written'], results)
        self.assertEqual([None, None, None, 7, 9], revisions)


class GuaranteesTest(TestCase):
    def build_request(self, **changes):
        return SentRequest('q', 'orders', 'a', 200, True, 0.1)._replace(**changes)

    def count_findings(self, run_counts, **changes):
        return len(
            find_violations(
                [self.build_request(), self.build_request(**changes)], Counter(run_counts)
            )
        )

    def test_each_violated_guarantee_is_a_finding(self):
        self.assertEqual(0, self.count_findings({'q': 1}))
        self.assertEqual(2, self.count_findings({'q': 2}))
        self.assertEqual(1, self.count_findings({'q': 1}, status=503))
        self.assertEqual(1, self.count_findings({'q': 1}, is_valid=False))
        self.assertEqual(1, self.count_findings({'q': 1}, status=404))


class CutRequestsTest(TestCase):
    # A caller that had failed found nothing for the rest of the run, and nobody noticed.
    def test_a_caller_that_fails_is_a_finding(self):
        async def scenario():
            fleet = MeshFleet(0)
            fleet.machines['a'] = mock.Mock()
            soak = Soak(fleet, 1, Variant(outstanding=4))
            with mock.patch.object(PipeliningCaller, 'run', side_effect=ValueError('odd')):
                async with soak._pipelining_callers():
                    await asyncio.sleep(0)
            fleet.temp_dir.cleanup()
            return soak.record.findings

        self.assertEqual(["the caller at a failed: ValueError('odd')"], asyncio.run(scenario()))

    def test_a_stop_is_no_excuse_for_a_request_that_ran(self):
        lost = [LostRequest('q', 'a', 10.0, 11.0)]
        for counts, disruption, expected in (
            ({'q': 1}, NodeDisruption('a', 9.0, is_planned=True), 1),
            ({'q': 1}, NodeDisruption('a', 9.0), 0),
            ({'q': 1}, NodeDisruption('a', 6.0), 1),
            ({'q': 1}, NodeDisruption('b', 9.0), 1),
            ({}, NodeDisruption('b', 9.0), 0),
        ):
            findings = find_cut_requests(lost, Counter(counts), [disruption])
            self.assertEqual(expected, len(findings), disruption)


class AdvertisedStateTest(TestCase):
    def count_rate_findings(self, count, since=10.0, until=20.0):
        arrivals = [Arrival('t', 14.0 + n * 0.01, f'q{n}') for n in range(count)]
        return len(find_rate_violations([AnnouncedRate('t', 5.0, since, until)], arrivals))

    def test_more_arrivals_in_a_window_than_the_rate_allows_are_a_finding(self):
        self.assertEqual([0, 1], [self.count_rate_findings(35), self.count_rate_findings(36)])

    def test_only_windows_that_end_while_the_rate_applies_count(self):
        self.assertEqual(
            [0, 0],
            [self.count_rate_findings(90, since=12.0), self.count_rate_findings(90, until=13.9)],
        )

    def count_leaving_findings(self, sent_at, target='t', disruptions=()):
        return len(
            find_leaving_violations(
                [RelayedLeaving('a', 't', 10.0), RelayedLeaving('a', 't', 90.0)],
                [CallerRequest('q', 'a', sent_at)],
                [Arrival(target, sent_at + 0.1, 'q')],
                [NodeDisruption('a', at) for at in disruptions],
            )
        )

    def test_request_to_a_target_that_the_ingress_knew_to_be_leaving_is_a_finding(self):
        self.assertEqual(
            [0, 1, 0],
            [
                self.count_leaving_findings(11.9),
                self.count_leaving_findings(12.1),
                self.count_leaving_findings(12.1, 'u'),
            ],
        )

    def test_ingress_that_was_stopped_since_may_have_lost_the_state(self):
        self.assertEqual(
            [0, 1],
            [
                self.count_leaving_findings(15.0, disruptions=[12.0]),
                self.count_leaving_findings(15.0, disruptions=[9.0]),
            ],
        )
