import json
import tempfile
from pathlib import Path

from testtools import TestCase

from dunlinsaddle.daemon import run_daemon
from dunlinsaddle.mesh.daemon import load_settings, reload_settings
from dunlinsaddle.mesh.node import MeshNode
from tests.builders import build_environment, build_logger, build_node_file


class SettingsFileTest(TestCase):
    def setUp(self):
        super().setUp()
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = Path(folder.name) / 'node.json'
        self.write_file(build_node_file())

    def write_file(self, value):
        self.path.write_text(value if isinstance(value, str) else json.dumps(value))

    def build_node(self):
        settings = load_settings(str(self.path)).unwrap()
        return MeshNode(settings, build_environment(), build_logger())

    def test_a_changed_file_is_applied(self):
        node = self.build_node()
        self.write_file(build_node_file(bounds={**build_node_file()['bounds'], 'grace': '9s'}))
        reload_settings(node, str(self.path))
        self.assertEqual(9.0, node.settings.limits.grace_seconds)

    def test_an_incomplete_or_missing_file_changes_nothing(self):
        # While the file is written it is incomplete or missing for a moment; the node keeps its
        # current settings.
        node = self.build_node()
        self.write_file(json.dumps(build_node_file())[:90])
        reload_settings(node, str(self.path))
        self.path.unlink()
        reload_settings(node, str(self.path))
        self.assertEqual(6.0, node.settings.limits.grace_seconds)

    def test_the_check_reports_an_invalid_setting_in_one_line(self):
        env = build_environment()
        self.assertEqual(0, run_daemon(['--node-file', str(self.path), '--check'], env))
        self.write_file(build_node_file(appAddress='nowhere'))
        status = run_daemon(['--check'], set_node_file(env, self.path))
        self.assertEqual(2, status)
        self.assertEqual(1, len(env.stderr.getvalue().splitlines()))


def set_node_file(env, path):
    env.environ = {'DUNLINSADDLE_NODE_FILE': str(path)}
    return env
