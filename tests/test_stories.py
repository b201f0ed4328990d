import asyncio
import tempfile
from pathlib import Path

from testtools import TestCase

from standins.stories import run_scenarios
from tests.utils import run_cli


class StoriesTest(TestCase):
    def test_the_id_of_a_failed_request_leads_to_its_cause(self):
        # On-call has a request's id and the logs of all nodes, nothing else. The trace names
        # the instance and the decision that ended the request.
        with tempfile.TemporaryDirectory() as folder:
            found = asyncio.run(run_scenarios(Path(folder)))
            logs = sorted(map(str, Path(folder).glob('*.log')))
            told = {story: run_cli('trace', name, *logs) for story, name in found.items()}
        self.assertEqual({0}, {result.status for result in told.values()})
        self.assertIn('kind=overloaded', told['refused'].output)
        self.assertIn('instance":"orders-0","kind":"target-lost"', told['unknown'].output)
        self.assertIn('kind=deadline-exceeded', told['timeout'].output)
        self.assertIn('service=slow', told['timeout'].output)
