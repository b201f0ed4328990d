"""``delete``: take a record away; its audit trail stays."""

from cleo.helpers import argument

from dunlinsaddle.cli.commands.change import CHANGE_OPTIONS, ChangeCommand, fetch_version
from dunlinsaddle.exit_status import ExitStatus


class DeleteCommand(ChangeCommand):
    """Deletes one record on the condition that nobody changed it meanwhile."""

    name = 'delete'
    description = 'Delete a record, e.g. delete slab-stock --why "service retired".'
    arguments = [argument('service', 'Name of the service.')]
    options = CHANGE_OPTIONS

    def run_command(self) -> ExitStatus:
        """Delete the record."""
        node = self.node_client()
        service = self.argument('service')
        expected = self.expected_version()
        if expected is None:
            expected = fetch_version(node, service)
        done = self.send_change(node, 'DELETE', service, self.build_change(None, expected))
        self.write_result(done, [f'{service} is deleted at version {done["version"]}'])
        return ExitStatus.OK
