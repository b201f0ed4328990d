"""The endpoint for those who observe a node: its metrics and its overview."""

from typing import TYPE_CHECKING, Protocol

from dunlinsaddle.calls.http import HttpRequest, HttpResponse
from dunlinsaddle.mesh.overview import PATH as OVERVIEW_PATH
from dunlinsaddle.mesh.overview import OverviewSource, overview_response

if TYPE_CHECKING:
    from dunlinsaddle.mesh.metrics import MeshMetrics, MetricsSource

    class ObservedNode(OverviewSource, MetricsSource, Protocol):
        """The parts of a node that are observed."""


class ObservationEndpoint:
    """Serves the overview and the metrics of a node."""

    def __init__(self, node: 'ObservedNode') -> None:
        self.node = node
        self._metrics: MeshMetrics | None = None  #: created on the first request for metrics

    async def handle(self, req: HttpRequest) -> HttpResponse:
        """Return the overview or the metrics."""
        if req.path.partition('?')[0] == OVERVIEW_PATH and req.method == 'GET':
            return overview_response(self.node)
        # The import of the exporters takes as long as that of all other modules, so it is delayed
        # until the first request for metrics. A node that starts after a power failure serves its
        # callers a tenth sooner.
        if self._metrics is None:
            from dunlinsaddle.mesh.metrics import MeshMetrics

            self._metrics = MeshMetrics(self.node)
        return await self._metrics.handle(req)

    def close(self) -> None:
        """Shut down the instruments."""
        if self._metrics is not None:
            self._metrics.close()
