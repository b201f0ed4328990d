"""``status`` and ``targets``: what a node knows of itself and of the fleet."""

from dunlinsaddle.cli.definition import NodeCommand, table
from dunlinsaddle.status import ExitStatus


class StatusCommand(NodeCommand):
    """Shows the state of one node."""

    name = 'status'
    description = 'Show the state of a node.'

    def work(self) -> ExitStatus:
        """Show each figure on a line."""
        status = self.node().get('/v1/status')
        self.show(status, table([[key, str(value)] for key, value in status.items()]))
        return ExitStatus.OK


class TargetsCommand(NodeCommand):
    """Lists the targets that a node knows of."""

    name = 'targets'
    description = 'List the targets that a node knows of.'

    def work(self) -> ExitStatus:
        """Show one target a line."""
        targets = self.node().get('/v1/targets')
        rows = [[t['service'] or '-', t['instance'], t['domain'], t['state']] for t in targets]
        self.show(targets, table([['SERVICE', 'INSTANCE', 'DOMAIN', 'STATE'], *rows]))
        return ExitStatus.OK
