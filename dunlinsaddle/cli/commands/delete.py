"""``delete``: take a record away; its audit trail stays."""

from cleo.helpers import argument

from dunlinsaddle.cli.commands.change import CHANGE_OPTIONS, ChangeCommand, stored_version
from dunlinsaddle.exit_status import ExitStatus


class DeleteCommand(ChangeCommand):
    """Deletes one record on the condition that nobody changed it meanwhile."""

    name = 'delete'
    description = 'Delete a record, e.g. delete slab-stock --why "service retired".'
    arguments = [argument('service', 'Name of the service.')]
    options = CHANGE_OPTIONS

    def work(self) -> ExitStatus:
        """Delete the record."""
        node = self.node()
        service = self.argument('service')
        expected = self.expected()
        if expected is None:
            expected = stored_version(node, service)
        done = self.send(node, 'DELETE', service, self.change_body(None, expected))
        self.show(done, [f'{service} is deleted at version {done["version"]}'])
        return ExitStatus.OK
