import re
from pathlib import Path

from testtools import TestCase

from dunlinsaddle.errors import RESPONSE_RULES, Outcome

PAGE = (Path(__file__).parent.parent / 'docs' / 'CALLERS.md').read_text()
ROW = re.compile(
    r'^\| (\d{3}) \| ([a-z-]+) \| ([a-z-]+) \| (yes|no) \| (yes|no) \| (.+) \|$', re.MULTILINE
)


class CallersPageTest(TestCase):
    def test_table_of_responses_matches_the_code(self):
        documented = {row[:5] for row in ROW.findall(PAGE)}
        rules = {
            (
                str(rule.status),
                kind.value,
                rule.outcome.value,
                'yes' if rule.retry_after else 'no',
                'yes' if rule.resend else 'no',
            )
            for kind, rule in RESPONSE_RULES.items()
        }
        self.assertEqual(rules, documented)
        self.assertEqual(len(RESPONSE_RULES), len(ROW.findall(PAGE)))

    def test_new_key_is_advised_only_if_the_request_did_not_run(self):
        for _, kind, outcome, _, _, advice in ROW.findall(PAGE):
            if 'new key' in advice and 'once you know' not in advice:
                self.assertEqual(Outcome.NOT_RUN.value, outcome, kind)
