"""The ``delete`` command: delete a record and keep its audit trail."""

from cleo.helpers import argument

from dunlinsaddle.cli.commands.change import CHANGE_OPTIONS, ChangeCommand, fetch_version
from dunlinsaddle.exit_status import ExitStatus


class DeleteCommand(ChangeCommand):
    """Deletes one record, only if its stored version is still the expected one."""

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
        deleted = self.send_change(node, 'DELETE', service, self.build_change(None, expected))
        self.write_result(deleted, [f'{service} is deleted at version {deleted["version"]}'])
        return ExitStatus.OK
