"""Control, gateways and servers in one process; some requests crash the server they run on."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import json
import time

from ringseam.backends import BackendState
from ringseam.calls import ClientRequest, PromptPart
from ringseam.clock import RuntimeClock
from ringseam.control.role import ControlRole
from ringseam.gateway.role import GatewayRole
from ringseam.ids import split_address
from ringseam.layout import LOOPBACK, Layout, free_address
from ringseam.lifetimes import backend_id, name_of
from ringseam.platform.example import HOST, KEY, example_manifest
from ringseam.platform.registration import CONFIG_PATH
from ringseam.platform.requests import decode_request, encode_request
from ringseam.routes import ServiceName
from ringseam.settings import read_settings
from ringseam.standin.direct import DirectServer
from ringseam.web.client import ChannelError
from ringseam.web.pool import HttpChannelPool
from ringseam.web.server import HttpLimits, HttpServer

SERVICE = 'writers'
PATH = '/plain/'
SERVERS = 8
CRASHING_BODY = b'ends its server'
CRASHING_PART = 'c0ffee'
#: Seconds from the start of a crashing request to the crash, and from there to the restart.
CRASH_DELAY_S = 0.03
DOWNTIME_S = 1.5
REPORT_INTERVAL_S = 0.4


class CrashingServer(DirectServer):
    """A stand-in server that crashes shortly after it has started a certain body or prompt part."""

    def __init__(self, *, crash_log, **options):
        super().__init__(**options)
        self.crash_log = crash_log
        self.is_up = False

    async def listen(self, port=0):
        self.instance = backend_id(name_of(self.instance), int(time.time() * 1000))
        self.sequence = 0
        self.http = HttpServer(handler=self.serve, limits=HttpLimits())
        self.address = f'{LOOPBACK}:{await self.http.start(LOOPBACK, port)}'
        self.is_up = True

    async def crash(self):
        """Abort all connections, as a killed process does, and listen again later."""
        if not self.is_up:
            return
        self.is_up = False
        self.crash_log.crashes.append(time.monotonic())
        self.http.stop_listening()
        for connection in list(self.http.connections):
            connection.abort()
        await asyncio.sleep(DOWNTIME_S)
        await self.listen(split_address(self.address)[1])

    async def serve(self, exchange):
        if is_crashing(exchange.request):
            self.crash_log.sends.append(time.monotonic())
            asyncio.get_running_loop().call_later(CRASH_DELAY_S, self.crash_log.spawn, self.crash())
            await asyncio.sleep(10 * CRASH_DELAY_S)
        await super().serve(exchange)


def is_crashing(request):
    parts = decode_request(request).prefix
    return request.body == CRASHING_BODY or any(part.name == CRASHING_PART for part in parts)


class CrashLog:
    """Monotonic times of the sends of the crashing request and of the crashes."""

    def __init__(self):
        self.crashes = []
        self.sends = []
        self.tasks = set()

    def spawn(self, coroutine):
        task = asyncio.get_running_loop().create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)


class Fleet:
    """One control host, two gateways and eight servers in the test process."""

    def __init__(self, folder):
        self.crash_log = CrashLog()
        self.control = free_address()
        self.clients = [free_address(), free_address()]
        layout = Layout(folder=folder)
        port = split_address(free_address())[1]
        shared = {'seeds': self.control, 'cluster_ports': f'{port}, {port}'}
        processes = [
            layout.add(
                'control',
                'control-1',
                address=f'{LOOPBACK}:{port}',
                http=self.control,
                data_dir=str(folder / 'control-1'),
                **shared,
            ),
        ]
        processes.extend(
            layout.add(
                'gateway',
                f'gateway-{number}',
                http=address,
                ready=free_address(),
                retry_slack=1000,
                **shared,
            )
            for number, address in enumerate(self.clients)
        )
        role_classes = (ControlRole, GatewayRole, GatewayRole)
        self.roles = [
            role_class(
                settings=read_settings(
                    process.role, process.settings.read_text(), path=str(process.settings)
                )
            )
            for role_class, process in zip(role_classes, processes, strict=True)
        ]
        self.servers = [
            CrashingServer(
                crash_log=self.crash_log,
                instance=f'i-{number}',
                service=ServiceName(SERVICE),
                control=self.control,
            )
            for number in range(SERVERS)
        ]
        self.pool = HttpChannelPool(clock=RuntimeClock())
        self.numbers = itertools.count(1)

    async def __aenter__(self):
        self.stack = contextlib.AsyncExitStack()
        for role in self.roles:
            self.stack.push_async_callback(role.close)
            await role.start()
        for server in self.servers:
            await server.listen()
        document = json.loads(example_manifest())
        document['routes'].append(
            {
                **document['routes'][0],
                'name': 'plain',
                'path_prefix': PATH,
                'kind': 'idempotent',
                'service': SERVICE,
            },
        )
        while (
            await self.call(self.control, 'PUT', CONFIG_PATH, json.dumps(document).encode()) != 200
        ):
            await asyncio.sleep(0.1)
        self.crash_log.spawn(self.report_periodically())
        while not all(len(role.follower.view.backends) == SERVERS for role in self.roles[1:]):
            await asyncio.sleep(0.05)
        return self

    async def __aexit__(self, *failure):
        for task in list(self.crash_log.tasks):
            task.cancel()
        await self.stack.aclose()
        for server in self.servers:
            await server.http.close()
        self.pool.close()

    async def report_periodically(self):
        while True:
            for server in self.servers:
                if server.is_up:
                    with contextlib.suppress(Exception):
                        await server.report(BackendState.ready)
            await asyncio.sleep(REPORT_INTERVAL_S)

    async def call(self, address, method, path, body, headers=()):
        """Return the status; 0 if there is no response."""
        try:
            channel = await self.pool.connect(address, timeout_s=1)
        except ChannelError:
            return 0
        try:
            await channel.send(method, path, [('Host', HOST), *headers], body)
            head = await channel.read_head()
            await channel.read_body()
        except ChannelError:
            return 0
        finally:
            channel.close()
        return head.status

    async def post(self, number, body, parts=()):
        request = ClientRequest(
            attempt_id=f'{number:08x}',
            host=HOST,
            path=PATH,
            time_left_s=3,
            key=KEY,
            prefix=tuple(PromptPart(name=name, tokens=100) for name in parts),
        )
        headers = [header for header in encode_request(request) if header[0] != 'Host']
        return await self.call(self.clients[number % 2], 'POST', PATH, body, headers)
