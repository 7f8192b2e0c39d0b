"""The part of ``ringseam demo`` that shows gateways and servers without agents."""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING

import typer
import urllib3

from ringseam.backends import BackendId, BackendState
from ringseam.calls import ClientRequest
from ringseam.control.role import ControlRole
from ringseam.errors import UnreachableError
from ringseam.gateway.role import GatewayRole
from ringseam.ids import split_address
from ringseam.layout import LOOPBACK, Layout, free_address
from ringseam.platform.example import (
    ENGINE_SERVICE,
    HOST,
    KEY,
    PLAIN_PATH,
    PLAIN_SERVICE,
    STAGE_SERVICE,
    STAGED_PATH,
    example_document,
)
from ringseam.platform.registration import CONFIG_PATH, READY_PATH
from ringseam.platform.requests import encode_request
from ringseam.routes import ServiceName
from ringseam.settings import read_settings
from ringseam.standin.direct import DirectServer

if TYPE_CHECKING:
    from pathlib import Path

    from ringseam.role import Role

_OK = 200
_REFUSED = 503
_READY_TRIES = 100
_PAUSE_S = 0.1
_TIME_LEFT_S = 4.0
_SERVICES = (PLAIN_SERVICE, STAGE_SERVICE, ENGINE_SERVICE)


class GatewayDemo:
    """One control host, one gateway and a server of each kind, in this process."""

    def __init__(self, *, folder: Path) -> None:
        """Plan below ``folder``."""
        self.folder = folder
        self.control = free_address()
        self.clients = free_address()
        self.ready = free_address()
        self.servers = [
            DirectServer(
                instance=BackendId(f'{service}-1'),
                service=ServiceName(service),
                control=self.control,
            )
            for service in _SERVICES
        ]

    async def run(self) -> bool:
        """Show one request of each kind and a server that leaves; True when whole."""
        async with contextlib.AsyncExitStack() as stack:
            for role in self._roles():
                stack.push_async_callback(role.close)
                await role.start()
            for server in self.servers:
                await server.start(LOOPBACK)
                stack.push_async_callback(server.http.close)
            await self._await('PUT', f'http://{self.control}{CONFIG_PATH}', example_document())
            for server in self.servers:
                await server.report()
            await self._await('GET', f'http://{self.ready}{READY_PATH}', b'')
            return await self._show()

    def _roles(self) -> list[Role]:
        layout = Layout(folder=self.folder)
        cluster = free_address()
        port = split_address(cluster)[1]
        ports = f'{port}, {port}'
        shared = {'seeds': self.control, 'cluster_ports': ports}
        host = layout.add(
            'control',
            'demo-control',
            address=cluster,
            http=self.control,
            data_dir=str(self.folder / 'demo-control'),
            **shared,
        )
        gateway = layout.add(
            'gateway',
            'demo-gateway',
            http=self.clients,
            ready=self.ready,
            **shared,
        )
        kinds: list[type[Role]] = [ControlRole, GatewayRole]
        return [
            kind(
                settings=read_settings(
                    planned.role,
                    planned.settings.read_text(encoding='utf-8'),
                    path=str(planned.settings),
                ),
            )
            for kind, planned in zip(kinds, (host, gateway), strict=True)
        ]

    async def _show(self) -> bool:
        signals = self.servers[0]
        plain = await self._ask('signal-1', PLAIN_PATH)
        typer.echo(f'plain request: {plain.status}, {len(plain.data)} bytes')
        stream = await self._ask('report-1', STAGED_PATH, pieces=(3,))
        events = stream.data.count(b'id: ')
        typer.echo(f'staged stream: {stream.status}, {events} events after 3 pieces')
        left = await signals.report(BackendState.draining)
        refused = await self._ask('signal-2', PLAIN_PATH)
        pause = refused.headers.get('Retry-After', '')
        typer.echo(f'server leaves: acknowledged {left}; then {refused.status}, again in {pause} s')
        whole = plain.status == _OK and stream.status == _OK and bool(events)
        untouched = refused.status == _REFUSED and signals.ran == ['signal-1']
        return whole and left and untouched

    async def _ask(
        self,
        name: str,
        path: str,
        pieces: tuple[int, ...] = (),
    ) -> urllib3.BaseHTTPResponse:
        request = ClientRequest(
            attempt_id=name,
            host=HOST,
            path=path,
            time_left_s=_TIME_LEFT_S,
            key=KEY,
            pieces=pieces,
            piece_key=name,
        )
        headers = dict(encode_request(request))
        if pieces:
            headers['Accept'] = 'text/event-stream'
        url = f'http://{self.clients}{path}'
        return await asyncio.to_thread(
            urllib3.request,
            'POST',
            url,
            body=b'lot 17',
            headers=headers,
            retries=False,
        )

    async def _await(self, method: str, url: str, body: bytes) -> None:
        """Call until the answer is 200: replicas elect a leader first."""
        for _ in range(_READY_TRIES):
            reply = await asyncio.to_thread(
                urllib3.request,
                method,
                url,
                body=body,
                retries=False,
            )
            if reply.status == _OK:
                return
            await asyncio.sleep(_PAUSE_S)
        raise UnreachableError(f'{url} did not become ready')
