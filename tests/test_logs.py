import io
import json
from datetime import datetime, timedelta

from testtools import TestCase

from dunlinsaddle.logs import create_logger


class LogsTest(TestCase):
    def test_each_event_is_one_json_object_with_instance_domain_and_time(self):
        stream = io.StringIO()
        logger = create_logger(stream, 'info', instance='bangor-1', domain='bangor-hall')
        logger.debug('not shown')
        try:
            raise ValueError('two\nlines')
        except ValueError:
            logger.exception('fault', extra={'request_id': 'r-1'})
        (line,) = stream.getvalue().splitlines()
        event = json.loads(line)
        self.assertEqual(
            ('fault', 'ERROR', 'r-1'), (event['message'], event['level'], event['request_id'])
        )
        self.assertEqual(('bangor-1', 'bangor-hall'), (event['instance'], event['domain']))
        self.assertEqual(timedelta(0), datetime.fromisoformat(event['time']).utcoffset())
        self.assertIn('ValueError', event['exc_info'])
