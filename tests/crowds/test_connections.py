"""Crowds that open more connections than a node has descriptors for."""

import asyncio

from dunlinsaddle.settings import Address
from tests.crowds.clients import Crowd, build_head, build_request
from tests.crowds.crowd_case import FRONT, CrowdCase
from tests.crowds.machines import (
    CONTROL_PORT,
    INTERNAL_PORTS,
    OUTBOUND_PORT,
    READY_PORT,
    Limits,
    Machines,
)

FEW_DESCRIPTORS = Limits(descriptors=500)
CONNECTIONS = 450
OTHER_PORTS = (READY_PORT, CONTROL_PORT, INTERNAL_PORTS[0])


class ConnectionsTest(CrowdCase):
    def check_connections(self, data: bytes, trickled: bytes = b'') -> None:
        self.run_crowd(
            lambda m: self.hold_open(m, CONNECTIONS, data, trickled=trickled, settle=0.5),
            FEW_DESCRIPTORS,
        )

    # Kept connections took all descriptors, and new callers were refused.
    def test_idle_connections(self):
        self.check_connections(build_request('/front/x'))

    # The same for connections on which nothing is ever sent.
    def test_connections_without_a_request(self):
        self.check_connections(b'')

    # The same for requests that come byte by byte.
    def test_connections_with_unfinished_bodies(self):
        head = build_head('/deep/x', 'content-length: 100000', method='POST') + b'\r\n'
        self.check_connections(head, b'x' * 1000)

    # Listeners that callers have no business with took the descriptors of the others.
    def test_connections_to_all_ports_of_a_node(self):
        async def scenario(machines: Machines) -> None:
            host = machines.all[FRONT].host
            crowds = [Crowd(Address(host, port)) for port in (*OTHER_PORTS, OUTBOUND_PORT)]
            await asyncio.gather(*(crowd.send(CONNECTIONS // 2, b'') for crowd in crowds))
            await asyncio.sleep(0.5)
            await self.check_answered(machines)
            for crowd in crowds:
                await crowd.__aexit__()

        self.run_crowd(scenario, FEW_DESCRIPTORS)
