"""What a target says of itself in its answers, as it is read."""

from testtools import TestCase

from dunlinsaddle.calls.http import HttpResponse
from dunlinsaddle.calls.target import AdvertisedState
from dunlinsaddle.platform.requests import read_said


class SaidTest(TestCase):
    SIGNED = (b'server-signature', b's')

    def said(self, *headers, status=200, own=SIGNED):
        return read_said(HttpResponse(status, [own, *headers], b''), 'i-1')

    def rate(self, *texts):
        return self.said(*((b'server-limit', text) for text in texts))

    def test_a_rate_and_leaving_are_read_of_answers_and_refusals(self):
        headers = [(b'server-limit', b'7.5'), (b'server-leaving', b'1')]
        self.assertEqual(AdvertisedState(7.5, leaving=True), self.said(*headers))
        refused = self.said(*headers, status=503, own=(b'not-executed', b'1'))
        self.assertEqual(AdvertisedState(7.5, leaving=True), refused)
        self.assertEqual(AdvertisedState(), self.said())

    def test_a_rate_that_is_no_decimal_number_says_nothing(self):
        for text in (b'', b'abc', b'-1', b'nan', b'inf', b'1e999', b'1,5', b'7 ', b'9' * 400):
            said = self.rate(text)
            self.assertEqual((None, text.decode()[:40]), (said.rate, said.unreadable), text)
        self.assertEqual([0.0, 13.0, 0.5], [self.rate(t).rate for t in (b'0', b'13', b'0.5')])

    def test_of_several_rates_the_lowest_counts(self):
        self.assertEqual(AdvertisedState(3.0), self.rate(b'7', b'3', b'abc'))

    def test_only_the_targets_own_unchanged_answer_speaks_for_it(self):
        rate = (b'server-limit', b'1')
        self.assertIsNone(self.said(rate, own=(b'x', b'')))
        self.assertIsNone(self.said(rate, status=421))
        self.assertIsNone(self.said(rate, (b'content-encoding', b'gzip')))
        self.assertIsNone(self.said(rate, (b'instance', b'i-2')))
        self.assertEqual(1.0, self.said(rate, (b'instance', b'i-1')).rate)

    def test_leaving_is_said_by_one_value_alone(self):
        for text in (b'', b'0', b'true', b'11'):
            self.assertFalse(self.said((b'server-leaving', text)).leaving)
