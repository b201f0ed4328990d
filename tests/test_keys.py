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

BORN = '0193a2c0-0000-7000-8000-000000000001'
BIRTH = 0x0193A2C00000


class KeysTest(TestCase):
    def test_every_spelling_of_a_uuid7_is_one_key(self):
        for text in (BORN, BORN.upper(), f'"{BORN}"', f' {BORN} '):
            self.assertEqual(TimestampedKey(BORN, BIRTH), parse_key(text).unwrap())

    def test_what_is_no_uuid7_is_opaque(self):
        for text in ('order-17', BORN.replace('-7', '-4'), BORN.replace('-', ''), f'{{{BORN}}}'):
            self.assertEqual(OpaqueKey(text), parse_key(text).unwrap())

    def test_keys_that_could_be_confused_are_refused(self):
        # The face cuts a header at 128 characters: two longer keys could look like one.
        for text in ('', '""', ' ', 'x' * 128, 'a\x00b', 'schl\xfcssel'):
            self.assertTrue(parse_key(text).is_err(), text)

    def test_minted_keys_are_uuid7_in_a_wanted_range(self):
        for number in range(0, RANGE_COUNT, 9):
            key = generate_key(BIRTH, Random(number), 'cut-orders', (number,))
            self.assertEqual(
                (7, 'specified in RFC 4122'), (UUID(key.text).version, UUID(key.text).variant)
            )
            self.assertEqual(number, range_number('cut-orders', key))
            self.assertEqual(key, parse_key(key.text).unwrap())

    def test_ranges_are_used_evenly(self):
        rng = Random(1)
        used = [range_number('s', generate_key(BIRTH, rng, 's')) for _ in range(100 * RANGE_COUNT)]
        counts = [used.count(number) for number in range(RANGE_COUNT)]
        self.assertTrue(all(50 < count < 150 for count in counts), counts)
