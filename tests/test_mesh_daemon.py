import json
import tempfile
from pathlib import Path

from testtools import TestCase

from dunlinsaddle.daemon import program
from dunlinsaddle.mesh.daemon import load_settings, reload_settings
from dunlinsaddle.mesh.node import MeshNode
from tests.builders import build_environment, build_logger, build_node_file


class SettingsFileTest(TestCase):
    def setUp(self):
        super().setUp()
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = Path(folder.name) / 'node.json'
        self.write(build_node_file())

    def write(self, value):
        self.path.write_text(value if isinstance(value, str) else json.dumps(value))

    def node(self):
        settings = load_settings(str(self.path)).unwrap()
        return MeshNode(settings, build_environment(), build_logger())

    def test_a_changed_file_is_taken_up(self):
        node = self.node()
        self.write(build_node_file(bounds={**build_node_file()['bounds'], 'grace': '9s'}))
        reload_settings(node, str(self.path))
        self.assertEqual(9.0, node.settings.limits.grace_seconds)

    def test_a_file_that_is_being_written_changes_nothing(self):
        # The file is cut short for a moment, or gone: the node goes on with what it has.
        node = self.node()
        self.write(json.dumps(build_node_file())[:90])
        reload_settings(node, str(self.path))
        self.path.unlink()
        reload_settings(node, str(self.path))
        self.assertEqual(6.0, node.settings.limits.grace_seconds)

    def test_the_check_names_what_is_wrong_in_one_line(self):
        env = build_environment()
        self.assertEqual(0, program(['--node-file', str(self.path), '--check'], env))
        self.write(build_node_file(appAddress='nowhere'))
        status = program(['--check'], build_environment_of(env, self.path))
        self.assertEqual(2, status)
        self.assertEqual(1, len(env.stderr.getvalue().splitlines()))


def build_environment_of(env, path):
    env.environ = {'DUNLINSADDLE_NODE_FILE': str(path)}
    return env
