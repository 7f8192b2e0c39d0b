"""Streams that clients take up after all gateways were killed at once, with real processes.

Failure: gateways that had just started took what they had not observed for what had not happened,
and joined streams from events of two versions or services.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import time

import pytest

from bench.soakstreams import read_events
from ringseam.backends import BackendState
from ringseam.calls import ClientRequest
from ringseam.layout import free_address
from ringseam.lifetimes import backend_id
from ringseam.platform.requests import encode_request
from ringseam.standin.direct import DirectServer

pytestmark = pytest.mark.processes

GATEWAYS = ('gateway-1', 'gateway-2', 'gateway-3')
HOST = 'rejoined.example'
KEY = 'key'
STREAMS = 12
#: Events that a client reads before it drops its connection, of five.
READ_EVENTS = 2
EVENT_INTERVAL_S = 0.05
REPORT_INTERVAL_S = 0.4
#: Until the leader knows that a service has been alone for long enough: the longest duration
#: of a stream, and the time in which documents and servers become known.
HISTORY_S = 11
#: Until a gateway that has started relies on what control hosts know of streams, seconds.
KNOWN_AFTER_S = 3


def document(number, service, limit_s):
    route = {
        'name': 'flow',
        'host': HOST,
        'path_prefix': '/flow/',
        'kind': 'stream',
        'timeout_ms': limit_s * 1000,
        'slo_ms': 1000,
        'service': service,
        'max_attempts': 2,
        'resumable': True,
    }
    services = [{'name': 'first'}, {'name': 'second'}]
    tenants = [{'name': 'acme', 'api_keys': [KEY]}]
    return json.dumps(
        {'version': number, 'routes': [route], 'services': services, 'tenants': tenants}
    ).encode()


class Fleet:
    """One control host and three gateways as processes, and servers in this one."""

    def __init__(self, system):
        self.system = system
        cluster, self.http = (free_address().rpartition(':')[2] for _ in range(2))
        seeds = f'127.0.4.1:{self.http}'
        shared = {'seeds': seeds, 'cluster_ports': f'{cluster}, {cluster}'}
        system.layout.add(
            'control',
            'control',
            address=f'127.0.4.1:{cluster}',
            http=seeds,
            data_dir=str(system.layout.folder / 'control'),
            tolerated_losses=0,
            backend_report_ms=int(REPORT_INTERVAL_S * 1000),
            **shared,
        )
        for name in GATEWAYS:
            system.layout.add('gateway', name, http=free_address(), ready=free_address(), **shared)
        self.servers = []
        self.started_at = time.monotonic()
        self.stack = contextlib.AsyncExitStack()

    async def __aenter__(self):
        self.system.start()
        reporting = asyncio.create_task(self.report_always())
        self.stack.callback(reporting.cancel)
        return self

    async def __aexit__(self, *failure):
        await self.stack.aclose()

    async def add_server(self, service, software):
        instance = backend_id(f'i-{len(self.servers)}', int(time.time() * 1000))
        server = DirectServer(
            instance=instance, service=service, control=f'127.0.4.1:{self.http}', software=software
        )
        server.event_interval_s = EVENT_INTERVAL_S
        await server.start('127.0.0.1')
        self.stack.push_async_callback(server.http.close)
        self.servers.append(server)
        return server

    async def report_always(self):
        while True:
            for server in list(self.servers):
                with contextlib.suppress(Exception):
                    await server.report()
            await asyncio.sleep(REPORT_INTERVAL_S)

    async def remove(self, server):
        self.servers.remove(server)
        assert await server.report(BackendState.gone)

    async def submit(self, *fields):
        body = document(*fields)
        head = f'PUT /api/config HTTP/1.1\r\nHost: c\r\nContent-Length: {len(body)}\r\n'
        for _ in range(100):
            with contextlib.suppress(OSError):
                reader, writer = await asyncio.open_connection('127.0.4.1', int(self.http))
                writer.write(f'{head}Connection: close\r\n\r\n'.encode() + body)
                line = await reader.readline()
                writer.close()
                if b' 200 ' in line:
                    return
            await asyncio.sleep(0.1)
        raise AssertionError('the document was not acknowledged')

    async def kill_all_gateways(self):
        self.system.kill(*GATEWAYS)
        self.system.start(*GATEWAYS)
        await self.until_ready()

    async def until_ready(self):
        for name in GATEWAYS:
            while self.system.get(name, '/').status not in {404, 503}:
                await asyncio.sleep(0.05)
        await asyncio.sleep(0.5)

    async def ask(self, number, name, *, wanted=5, last=0, resumes='', content=None):
        """Return the events of one attempt at a gateway, as (number, version)."""
        body = f'content {number if content is None else content}'.encode()
        request = ClientRequest(
            attempt_id=name,
            host=HOST,
            path='/flow/',
            time_left_s=3,
            key=KEY,
            last_event=last or None,
            resumes=resumes,
        )
        unnamed = [('Last-Event-Id', str(last))] if last and not resumes else []
        headers = [
            *encode_request(request),
            *unnamed,
            ('Accept', 'text/event-stream'),
            ('Content-Length', str(len(body))),
            ('Connection', 'close'),
        ]
        head = ''.join(f'{key}: {text}\r\n' for key, text in headers)
        address = self.system.layout.processes[GATEWAYS[number % len(GATEWAYS)]].http
        host, _, port = address.rpartition(':')
        raw = f'POST {request.path} HTTP/1.1\r\n{head}\r\n'.encode() + body
        return await read_events((host, int(port)), raw, wanted)

    async def begin_streams(self):
        """Begin streams whose clients drop the connection after some events."""
        return await asyncio.gather(
            *(self.ask(number, f's{number}', wanted=READ_EVENTS) for number in range(STREAMS))
        )

    async def resume(self, begun, *, names=True):
        """Take the streams up at other gateways; return all events of each."""
        rest = await asyncio.gather(
            *(
                self.ask(
                    number + 1,
                    f'r{number}',
                    last=len(events),
                    resumes=f's{number}' if names else '',
                    content=number,
                )
                for number, events in enumerate(begun)
            )
        )
        return [first + more for first, more in zip(begun, rest, strict=True)]


def joined(streams):
    for events in streams:
        assert [number for number, _ in events] == list(range(1, len(events) + 1))
    return [events for events in streams if len({version for _, version in events}) > 1]


def continued(streams):
    return [events for events in streams if len(events) > READ_EVENTS]


def play(system, scenario):
    async def run():
        async with Fleet(system) as fleet:
            return await scenario(fleet)

    return asyncio.run(run())


# Guards against streams that a moved route joins from two services.
def test_stream_is_not_joined_from_two_services_by_a_route_that_was_moved(system):
    async def scenario(fleet):
        for service, software in (('first', 'v1'), ('second', 'v2')):
            await fleet.add_server(service, software)
            await fleet.add_server(service, software)
        await fleet.submit(1, 'first', 4)
        await asyncio.sleep(HISTORY_S)
        begun = await fleet.begin_streams()
        await fleet.submit(2, 'second', 4)
        await fleet.kill_all_gateways()
        return await fleet.resume(begun)

    streams = play(system, scenario)
    assert not joined(streams)


# Guards against streams that outlive the time limit in force, joined from two versions.
def test_stream_is_not_joined_from_two_versions_after_the_limit_was_shortened(system):
    async def scenario(fleet):
        leaving = [await fleet.add_server('first', 'v1') for _ in range(2)]
        await fleet.submit(1, 'first', 5)
        await asyncio.sleep(HISTORY_S)
        begun = await fleet.begin_streams()
        for _ in range(2):
            await fleet.add_server('first', 'v2')
        for server in leaving:
            await fleet.remove(server)
        await fleet.submit(2, 'first', 0.5)
        await asyncio.sleep(1.5)
        await fleet.kill_all_gateways()
        return await fleet.resume(begun)

    streams = play(system, scenario)
    assert not joined(streams)


# Guards against streams whose content has begun anew since, joined from two versions.
def test_stream_without_a_named_attempt_is_not_joined_with_a_new_one_of_its_content(system):
    async def scenario(fleet):
        for software in ('v1', 'v2', 'v1', 'v2'):
            await fleet.add_server('first', software)
        await fleet.submit(1, 'first', 5)
        await asyncio.sleep(2)
        begun = await fleet.begin_streams()
        await fleet.kill_all_gateways()
        # In another order, as servers are chosen in turn.
        again = reversed(range(STREAMS))
        await asyncio.gather(
            *(fleet.ask(number + 2, f'n{number}', content=number) for number in again)
        )
        return await fleet.resume(begun, names=False)

    streams = play(system, scenario)
    assert not joined(streams)


# Guards against streams that are refused although one version alone has served.
def test_streams_of_one_version_go_on_after_all_gateways_were_killed(system):
    async def scenario(fleet):
        for _ in range(3):
            await fleet.add_server('first', 'v1')
        await fleet.submit(1, 'first', 4)
        await asyncio.sleep(HISTORY_S)
        begun = await fleet.begin_streams()
        await fleet.kill_all_gateways()
        return await fleet.resume(begun)

    streams = play(system, scenario)
    assert len(continued(streams)) == STREAMS


# Guards against streams that are refused for good since all gateways that knew them were killed.
def test_streams_of_two_versions_go_on_at_theirs_after_all_gateways_were_killed(system):
    async def scenario(fleet):
        for software in ('v1', 'v2', 'v1', 'v2'):
            await fleet.add_server('first', software)
        await fleet.submit(1, 'first', 8)
        await asyncio.sleep(2)
        begun = await fleet.begin_streams()
        await asyncio.sleep(0.5)
        await fleet.kill_all_gateways()
        await asyncio.sleep(KNOWN_AFTER_S)
        return await fleet.resume(begun)

    streams = play(system, scenario)
    assert not joined(streams)
    assert len(continued(streams)) == STREAMS
