from random import Random
from uuid import UUID

from testtools import TestCase

from dunlinsaddle.policy.keys import (
    RANGE_COUNT,
    OpaqueKey,
    TimestampedKey,
    generate_key,
    parse_key,
    range_number,
)

UUID7_TEXT = '0193a2c0-0000-7000-8000-000000000001'
BIRTH = 0x0193A2C00000


class KeysTest(TestCase):
    def test_all_spellings_of_a_uuid7_are_the_same_key(self):
        for text in (UUID7_TEXT, UUID7_TEXT.upper(), f'"{UUID7_TEXT}"', f' {UUID7_TEXT} '):
            self.assertEqual(TimestampedKey(UUID7_TEXT, BIRTH), parse_key(text).unwrap())

    def test_keys_other_than_uuid7_are_opaque(self):
        for text in (
            'order-17',
            UUID7_TEXT.replace('-7', '-4'),
            UUID7_TEXT.replace('-', ''),
            f'{{{UUID7_TEXT}}}',
        ):
            self.assertEqual(OpaqueKey(text), parse_key(text).unwrap())

    def test_ambiguous_keys_are_refused(self):
        # The server truncates headers at 128 characters: two longer keys could become equal.
        for text in ('', '""', ' ', 'x' * 128, 'a\x00b', 'schl\xfcssel'):
            self.assertTrue(parse_key(text).is_err(), text)

    def test_generated_keys_are_uuid7_in_an_allowed_range(self):
        for number in range(0, RANGE_COUNT, 9):
            key = generate_key(BIRTH, Random(number), 'cut-orders', (number,))
            self.assertEqual(
                (7, 'specified in RFC 4122'), (UUID(key.text).version, UUID(key.text).variant)
            )
            self.assertEqual(number, range_number('cut-orders', key))
            self.assertEqual(key, parse_key(key.text).unwrap())

    def test_generated_keys_are_spread_evenly_over_the_ranges(self):
        rng = Random(1)
        numbers = [
            range_number('s', generate_key(BIRTH, rng, 's')) for _ in range(100 * RANGE_COUNT)
        ]
        counts = [numbers.count(number) for number in range(RANGE_COUNT)]
        self.assertTrue(all(50 < count < 150 for count in counts), counts)
