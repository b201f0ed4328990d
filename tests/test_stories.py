import asyncio
import tempfile
from pathlib import Path

from testtools import TestCase

from standins.stories import run_scenarios
from tests.utils import run_cli


class StoriesTest(TestCase):
    def test_trace_of_a_failed_request_shows_its_cause(self):
        # An operator has only the request's id and the logs of all nodes. The trace must show
        # the instance and the decision that ended the request.
        with tempfile.TemporaryDirectory() as folder:
            request_ids = asyncio.run(run_scenarios(Path(folder)))
            logs = sorted(map(str, Path(folder).glob('*.log')))
            traces = {
                failure: run_cli('trace', request_id, *logs)
                for failure, request_id in request_ids.items()
            }
        self.assertEqual({0}, {result.status for result in traces.values()})
        self.assertIn('kind=overloaded', traces['refused'].output)
        self.assertIn('instance":"orders-0","kind":"target-lost"', traces['unknown'].output)
        self.assertIn('kind=deadline-exceeded', traces['timeout'].output)
        self.assertIn('service=slow', traces['timeout'].output)
