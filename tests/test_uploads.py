"""Uploads through a cluster of nodes: each runs at most once, and is not cut while it arrives."""

import asyncio

from dunlinsaddle.calls.http import HttpLimits, HttpResponse
from dunlinsaddle.calls.inbound.accepted_connection import CONNECTION_COST_BYTES
from dunlinsaddle.calls.inbound.listener import HttpListener
from dunlinsaddle.calls.messages import CALL_COST_BYTES
from tests.mesh_case import MeshTest


class UploadCase(MeshTest):
    async def upload(self, mesh, pieces, *, pause=0.0, deadline_ms=5000, ingress='a'):
        """Send an upload in pieces; return the status line of the response."""
        address = mesh.nodes[ingress].settings.callers
        reader, writer = await asyncio.open_connection(address.host, address.port)
        size = sum(len(piece) for piece in pieces)
        head = (
            f'POST /deep/x HTTP/1.1\r\nhost: h.example\r\nrequest-id: u-1\r\n'
            f'deadline-milliseconds: {deadline_ms}\r\ncontent-length: {size}\r\n\r\n'
        )
        writer.write(head.encode())
        for piece in pieces:
            await asyncio.sleep(pause)
            writer.write(piece)
        try:
            return int((await reader.readuntil(b'\r\n')).split()[1])
        finally:
            writer.close()

    def run_uploads(self, scenario, **options):
        options = {'kind': 'upload', 'timeout': '3000ms', 'targetLatency': None, **options}
        return self.run_mesh(scenario, **options)


class UploadTest(UploadCase):
    def test_the_deadline_of_a_slow_upload_runs_from_its_head(self):
        # The body takes 3.6 s, longer than the header timeout of 3 s. The caller waits for 5 s in
        # all: the target must not be given more than the rest.
        async def scenario(mesh):
            status = await self.upload(mesh, [b'x' * 60_000] * 6, pause=0.6)
            (req,) = mesh.targets['b'].requests
            return status, len(req.body), int(req.header(b'deadline-milliseconds'))

        status, size, remaining_ms = self.run_uploads(scenario)
        self.assertEqual((200, 360_000), (status, size))
        self.assertTrue(1300 <= remaining_ms <= 1400, remaining_ms)

    def test_an_upload_that_arrives_after_its_deadline_is_refused_as_not_run(self):
        # If it were sent to a target without time left, the target would count as failed.
        async def scenario(mesh):
            status = await self.upload(mesh, [b'x' * 60_000] * 3, pause=0.5, deadline_ms=1000)
            now = asyncio.get_running_loop().time()
            error_share = mesh.nodes['a'].router.report(now, 'b', 'd')['error_share']
            return status, len(mesh.targets['b'].arrivals), error_share

        self.assertEqual((503, 0, 0), self.run_uploads(scenario))

    def test_a_refused_body_leaves_its_request_id_in_the_log(self):
        async def scenario(mesh):
            memory = mesh.nodes['a'].held_memory
            memory.limit = memory.held + CONNECTION_COST_BYTES + CALL_COST_BYTES
            with self.assertLogs('dunlinsaddle.tests.test', 'WARNING') as logs:
                status = await self.upload(mesh, [b'x' * 20_000] * 2, pause=0.1)
            (record,) = logs.records
            shed = mesh.nodes['a'].stats.shed['too-many-bodies']
            return status, record.message, record.request_id, record.kind, shed

        logged = ('request not read', 'u-1', 'too-many-bodies', 1)
        self.assertEqual((503, *logged), self.run_uploads(scenario))


class AtMostOnceTest(UploadCase):
    def run_failing(self, fail, *, kind='upload'):
        """Return the response to an upload, and how often it ran.

        ``fail`` is called with the target that runs it, and may return the response.
        """

        async def scenario(mesh):
            async def respond(target, req):
                response = None
                if req.header(b'request-id') == 'u-1':
                    response = await fail(mesh, target, req)
                return response or target.signed_response(req)

            for target in mesh.targets.values():
                target.respond = lambda req, target=target: respond(target, req)
            # They leave kept connections, and response times by which a response may be overdue.
            for _ in range(20):
                await mesh.call('a', '/deep/x', 'POST')
            status = await self.upload(mesh, [b'x' * 60_000])
            await asyncio.sleep(5)
            return status, sum(t.runs['u-1'] for t in mesh.targets.values())

        targets = ('a:front', 'b:deep', 'c:deep')
        return self.run_uploads(scenario, targets=targets, kind=kind, attempts=3)

    async def close_listener(self, mesh, target, req):
        target.listener.close()

    async def break_links(self, mesh, target, req):
        for link in mesh.nodes['a'].links._links.values():
            link.transport.abort()

    async def kill_node(self, mesh, target, req):
        name = next(n for n, t in mesh.targets.items() if t is target)
        await mesh.kill(name)

    async def fail_unsigned(self, mesh, target, req):
        return HttpResponse(200, [], b'')

    async def fail_isolated(self, mesh, target, req):
        return target.signed_response(req, status=500)

    def test_an_upload_runs_once_however_its_response_is_lost(self):
        """Guards against a path that sends an upload again; each of them repeats a download."""
        for fail, status in (
            (self.close_listener, 502),
            (self.break_links, 502),
            (self.kill_node, 502),
            # It names no request, so that it may be a rest of an earlier exchange: the upload is
            # not sent again, and waits for its own response.
            (self.fail_unsigned, 504),
            (self.fail_isolated, 500),
        ):
            self.assertEqual((status, 1), self.run_failing(fail), fail)
            self.assertGreater(self.run_failing(fail, kind='download')[1], 1, fail)

    def test_an_upload_whose_response_is_overdue_runs_once(self):
        # While the target takes three times as long as any response before, others are answered.
        async def answer_others(mesh, target, req):
            for _ in range(4):
                await asyncio.sleep(0.5)
                await mesh.call('a', '/deep/y', 'POST')

        self.assertEqual((200, 1), self.run_failing(answer_others))

    def test_an_upload_that_crashes_targets_is_quarantined_and_runs_once_each_time(self):
        # Its caller sends it again, which is the caller's decision. After two crashes it is
        # refused; until then, each of its requests runs once.
        async def scenario(mesh):
            async def crash(req):
                mesh.targets['b'].listener.close()
                await asyncio.sleep(1)

            mesh.targets['b'].respond = crash
            statuses = []
            for _ in range(4):
                statuses.append(await self.upload(mesh, [b'x' * 1000]))
                listener = mesh.targets['b'].listener = HttpListener(
                    mesh.targets['b'].handle, HttpLimits()
                )
                if statuses[-1] == 502:
                    await listener.listen(mesh.nodes['b'].settings.target)
                await asyncio.sleep(1)
            return statuses, mesh.targets['b'].runs['u-1']

        self.assertEqual(([502, 502, 422, 422], 2), self.run_uploads(scenario))
