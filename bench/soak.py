"""A seeded fault soak of gateways: ``python -m bench.soak --seed 1 --seconds 30``.

Real processes (three control hosts, two gateways) are killed, frozen, suspended,
stopped and started by signals; backend servers of this process sit behind a proxy that
delays, resets and silences their connections, cut off streams, leave, and start
again under their names; some contents end each server that runs them, and come again
and again. A zone is drained and used again, documents grow to 1,500 routes, and others send
reports that aren't a server's. Servers name limits, ask for pauses and say that they
leave. Clients and servers read slowly, and the gateways' hosts are of unequal size. Servers of
several software versions come and go, and clients resume their streams at any gateway.
Requests that are all different share a part that ends servers, beside sound ones. Nearly all
new connections reach one gateway for a while. Sound servers pause and go on, beside signals and
changes of documents. What callers and servers see is checked while
it runs.
"""

from __future__ import annotations

import argparse
import asyncio
import collections
import contextlib
import functools
import json
import random
import signal
import tempfile
import time
from dataclasses import dataclass, field
from pathlib import Path

from bench.soakchecks import Record
from bench.soakkept import WIDE, respond_wide
from bench.soakparts import (
    CRASHING_AFTER_EVENT,
    PART_FAULTS,
    PartClients,
    crashing_part_of,
    prompt_of,
)
from bench.soakpauses import EVENT_INTERVAL_S, PAUSE_FAULTS, SOAK_RETRIES, Pauses
from bench.soakreaders import (
    LARGE,
    READING_FAULTS,
    SLOW_CHUNK_S,
    Readers,
    body_of,
    hosts_of,
    listener,
    metrics_port,
    respond_large,
    stream_large,
)
from bench.soakstreams import VERSION_FAULTS, VERSIONS, StreamClients
from bench.soakwords import COUNTED_FAULTS, WORD_FAULTS, Words
from ringseam.backends import BackendReport, BackendState
from ringseam.calls import ClientRequest
from ringseam.layout import Layout, free_address
from ringseam.lifetimes import backend_id, name_of, start_ms_of
from ringseam.platform.example import (
    ENGINE_SERVICE,
    HOST,
    KEY,
    PLAIN_PATH,
    PLAIN_SERVICE,
    STAGE_SERVICE,
    STAGED_PATH,
    example_manifest,
)
from ringseam.platform.registration import CONFIG_PATH, encode_report, report_path
from ringseam.platform.requests import decode_request, encode_request, identity_headers
from ringseam.platform.stages import RELEASE_PATH, RUN_PATH, decode_piece_requests
from ringseam.routes import ServiceName
from ringseam.standin.direct import DirectServer
from ringseam.web.server import HttpLimits, HttpServer
from tests.processes import System

CONTROL = ('control-1', 'control-2', 'control-3')
GATEWAYS = ('gateway-1', 'gateway-2')
SERVICES = (PLAIN_SERVICE, STAGE_SERVICE, ENGINE_SERVICE)
CLIENTS = 6
REPORT_S = 0.4
EVENTS = 5
FAULTS = ('kill', 'stop', 'freeze', 'leave', 'delay', 'silence', 'reset', 'both')
#: Faults that later runs draw from as well; earlier seeds keep their course.
MORE_FAULTS = (*FAULTS, 'again', 'twice', 'foreign', 'large')
ALL_FAULTS = (*MORE_FAULTS, 'ending', 'suspend')
ZONE_FAULTS = (*ALL_FAULTS, 'drain', 'drain')
#: Faults of one process, and of connections to servers or of servers.
PROCESS_FAULTS = {'kill', 'stop', 'freeze', 'suspend'}
WAY_FAULTS = {
    *('both', 'delay', 'silence', 'reset', 'again', 'twice', 'ending', 'part', 'slow-server'),
    'herd',
}
#: All gateways are killed at once. Not among the faults that runs draw by default, so that earlier
#: seeds keep their course.
HERD_FAULTS = ('herd',)
EVERY_FAULT = (*ZONE_FAULTS, *WORD_FAULTS)
UNEVEN_FAULTS = (*EVERY_FAULT, *READING_FAULTS)
SKEWED_FAULTS = (*UNEVEN_FAULTS, *VERSION_FAULTS)
PARTED_FAULTS = (*SKEWED_FAULTS, *PART_FAULTS)
#: Nearly all new connections reach one gateway for so long, seconds, and then the other one;
#: meanwhile some more clients open connections without a pause.
FAVOURING_FAULTS = ('favour', 'favour')
FAVOURED_FAULTS = (*PARTED_FAULTS, *FAVOURING_FAULTS)
PAUSED_FAULTS = (*FAVOURED_FAULTS, *PAUSE_FAULTS)
#: Faults beside which no request may be lost: pauses, planned work and slow readers.
PLANNED_FAULTS = (*PAUSE_FAULTS, 'large', 'leave', 'never', 'trickle', 'midway', 'version')
FAVOURED_S = (3.0, 8.0)
FAVOURED_SHARE = 0.95
FAVOURING_CLIENTS = 4
#: The zone of a third of the servers, which is drained for a while, seconds; they get
#: nothing later than this after the acknowledgement, seconds.
ZONE = 'zone-2'
DRAINED_S = (0.5, 7.0)
OBEYED_S = 4.0
#: A run goes on until it has drawn so many: a gateway's planned stop and the pause before
#: its start take up to 3.3 s, so in the shortest run, of 6 s, two may be all that fits.
LEAST_FAULTS = 3
MANY_ROUTES = 1500
#: What another writer might send in the place of a report.
FOREIGN = (b'', b'[]', b'\xff', b'{"service":"signals"}', b'{"seq":1,"seq":2}', b'[' * 5000)
#: A server that has left gets nothing later than this, seconds.
DRAIN_S = 2.0
LEFT_S = 4.0
#: Bodies and keys of pieces that begin so end the server that runs them, after a while
#: and for a while, seconds.
ENDING = 'ends-'
ENDING_S = 0.03
AWAY_S = (1.0, 2.0)
#: Its client asks again this often, seconds.
AGAIN_S = 0.15
#: A content under which three servers have ended is sent no more than this often later
#: than this, seconds; the platform's figures.
ENDS = 3
SENDS_LATER = 3
CONTACT_S = 3.0


@dataclass
class Book:
    """What was asked, what ran and what was told."""

    told: collections.Counter = field(default_factory=collections.Counter)
    broken: list = field(default_factory=list)
    accepted: int = 0
    #: When the order to drain the zone was acknowledged; None: it is used.
    drained_at: float | None = None
    refused: list = field(default_factory=list)
    #: Each fault with its time of day and what it hits, shown if something is broken.
    injected: list = field(default_factory=list)
    #: When each content that ends servers was sent to one, and ended one.
    ending_sent: dict = field(default_factory=lambda: collections.defaultdict(list))
    ending_ended: dict = field(default_factory=lambda: collections.defaultdict(list))

    record: Record = field(default_factory=Record)

    def inject(self, *fault):
        self.injected.append(' '.join((f'{time.time():.2f}', *fault)))

    def check(self, holds, detail):
        if not holds:
            self.broken.append(detail)


class Proxy:
    """Pass bytes on to one server, or do what its fault says."""

    def __init__(self, dice):
        self.dice = dice
        self.target = ()
        self.fault = ''
        self.writers = set()

    async def start(self):
        sock = listener()
        sock.bind(('127.0.0.1', 0))
        self.server = await asyncio.start_server(self.pass_on, sock=sock)
        self.server_at = self.server.sockets[0].getsockname()
        return f'127.0.0.1:{self.server_at[1]}'

    async def start_again(self):
        sock = listener()
        sock.bind(self.server_at)
        self.server = await asyncio.start_server(self.pass_on, sock=sock)

    async def pass_on(self, reader, writer):
        try:
            far_reader, far_writer = await asyncio.open_connection(*self.target)
        except OSError:
            writer.transport.abort()
            return
        self.writers |= {writer, far_writer}
        await asyncio.gather(
            self.copy(reader, far_writer, 'there'),
            self.copy(far_reader, writer, 'back'),
        )
        self.writers -= {writer, far_writer}

    async def copy(self, reader, writer, way):
        with contextlib.suppress(OSError):
            chunk = await reader.read(4096)
            while chunk:
                await self.suffer(way)
                writer.write(chunk)
                await writer.drain()
                chunk = await reader.read(4096)
        writer.close()

    async def suffer(self, way):
        if self.fault == 'delay':
            await asyncio.sleep(self.dice.uniform(0.01, 0.3))
        if self.fault == f'slow-{way}':
            await asyncio.sleep(SLOW_CHUNK_S)
        while self.fault == 'silence' or self.fault == f'silence-{way}':
            await asyncio.sleep(0.02)

    def reset(self):
        for writer in list(self.writers):
            writer.transport.abort()

    def close(self):
        self.server.close()
        self.reset()


class Server(DirectServer):
    """A stand-in that tells the book what it runs, and is cut off at times."""

    def __init__(self, *, book, dice, **known):
        super().__init__(**known)
        self.book = book
        self.dice = dice
        self.left_at = None
        self.ended = False
        self.ender = None
        #: When calls came and for what, while somebody looks.
        self.arrivals = None
        self.proxy = Proxy(dice)

    async def begin(self):
        await self.start('127.0.0.1')
        host, _, port = self.address.rpartition(':')
        self.proxy.target = (host, int(port))
        self.address = await self.proxy.start()

    async def end(self, content):
        """End as a killed process does, and be back later at the same address."""
        if self.ended:
            return
        self.ended = True
        ended_at = time.monotonic()
        self.book.ending_ended[content].append(ended_at)
        self.proxy.close()
        await self.start_again()
        await asyncio.sleep(self.dice.uniform(*AWAY_S))
        await self.proxy.start_again()
        self.ended = False
        self.book.record.unplanned.append((ended_at, time.monotonic()))

    async def run_ending(self, content):
        """Begin to run a content that ends this server."""
        self.book.ending_sent[content].append(time.monotonic())
        await asyncio.sleep(ENDING_S)
        self.ender = asyncio.create_task(self.end(content))
        # Never answered: the connection ends with the server, or with its client's patience.
        await asyncio.Event().wait()

    async def start_again(self):
        """End all that is under way, and begin a later lifetime at the same address."""
        earlier = self.instance
        self.book.record.unplanned.append((time.monotonic(), time.monotonic()))
        self.proxy.reset()
        await self.http.close()
        born = max(start_ms_of(earlier) + 1, int(time.time() * 1000))
        self.instance = backend_id(name_of(earlier), born)
        self.sequence = 0
        self.http = HttpServer(handler=self.serve, limits=HttpLimits())
        host, _ = self.proxy.target
        self.proxy.target = (host, await self.http.start(host, 0))
        return earlier

    async def serve(self, exchange):
        if self.arrivals is not None:
            self.arrivals.append((time.monotonic(), exchange.request.path))
        if exchange.request.path not in {RUN_PATH, RELEASE_PATH}:
            arrival = (time.monotonic(), self.service, self.instance, named(exchange.request))
            self.book.record.arrivals.append(arrival)
        late = self.left_at is not None and time.monotonic() - self.left_at > DRAIN_S
        if late and exchange.request.path != RELEASE_PATH:
            after = time.monotonic() - self.left_at
            self.book.check(
                False,
                f'DRAIN {self.instance} got {exchange.request.path} {named(exchange.request)} '
                f'{after:.2f} s after it left, at {time.time():.2f}',
            )
        since = self.book.drained_at
        if self.zone == ZONE and since is not None and time.monotonic() - since > OBEYED_S:
            self.book.check(
                exchange.request.path == RELEASE_PATH,
                f'EVAC {self.instance} got {exchange.request.path}',
            )
        content = ending_of(exchange.request)
        if content:
            if content.startswith(CRASHING_AFTER_EVENT):
                await self.begin_stream(exchange)
            await self.run_ending(content)
        await super().serve(exchange)

    async def begin_stream(self, exchange):
        """Send the first event of a stream that will not go on."""
        asked = decode_request(exchange.request).attempt_id
        headers = [*identity_headers(asked), ('Content-Type', 'text/event-stream')]
        exchange.start(200, headers)
        await exchange.send(f'id: 1\ndata: token 1 {self.software}\n\n'.encode())

    async def _respond(self, exchange):
        asked = decode_request(exchange.request).attempt_id
        body = exchange.request.body
        self.book.check(
            body == body_of(asked),
            f'UNASKED body of {asked} at {self.instance}, {time.time():.2f}: {body[:80]!r}',
        )
        await asyncio.sleep(self.dice.uniform(0, 0.05))
        if asked.startswith(LARGE):
            await respond_large(self, exchange, asked)
        elif asked.startswith(WIDE):
            await respond_wide(self, exchange, asked)
        else:
            await super()._respond(exchange)

    async def _stream(self, exchange):
        asked = decode_request(exchange.request).attempt_id
        given = exchange.request.header('Inputs').split(',')
        wanted = {f'{asked}-0-{piece}' for piece in range(3)}
        found = [handle.rpartition('/')[2] for handle in given]
        self.book.check(
            set(found) == wanted and len(found) == 3, f'MIXED inputs of {asked}: {given}'
        )
        if asked.startswith(LARGE):
            await stream_large(self, exchange, asked)
        else:
            await super()._stream(exchange)


def settings(layout, gateway_hosts, retries):
    """Plan three control hosts and two gateways on loopback addresses.

    :param retries: the settings of the retry budget.

    Return the metrics address of each gateway.
    """
    cluster, http = (free_address().rpartition(':')[2] for _ in range(2))
    hosts = [f'127.0.1.{number}' for number in (1, 2, 3)]
    seeds = ', '.join(f'{host}:{http}' for host in hosts)
    shared = {'seeds': seeds, 'cluster_ports': f'{cluster}, {cluster}'}
    for name, host in zip(CONTROL, hosts, strict=True):
        layout.add(
            'control',
            name,
            address=f'{host}:{cluster}',
            http=f'{host}:{http}',
            data_dir=str(layout.folder / name),
            tolerated_losses=1,
            **shared,
        )
    pages = {}
    for name, host in zip(GATEWAYS, gateway_hosts, strict=True):
        port = metrics_port()
        pages[name] = ('127.0.0.1', int(port))
        layout.add(
            'gateway',
            name,
            http=free_address(),
            ready=free_address(),
            metrics_port=port,
            **retries,
            **host,
            **shared,
        )
    return pages


class Soak:
    """One run: processes, servers, clients, an operator and faults."""

    def __init__(self, *, folder, seed, kinds=SKEWED_FAULTS):
        self.dice = random.Random(seed)
        self.kinds = kinds
        self.routes = 0
        self.system = System(layout=Layout(folder=folder), program='tests.suspendable')
        self.hosts = hosts_of(seed)
        self.pauses = Pauses(self, seed)
        retries = SOAK_RETRIES if self.pauses.is_used else {'retry_slack': 1000}
        self.pages = settings(self.system.layout, self.hosts, retries)
        self.readers = Readers(self)
        self.streams = StreamClients(self, seed)
        self.parts = PartClients(self, seed)
        #: Runs of checks that count what reaches a server from a known number of clients.
        self.counting = 0
        self.crowds = 0
        self.book = Book()
        self.servers = []
        self.number = 0
        self.asked = 0
        self.favouring_asked = 0
        self.ending = False
        self.insisting = set()
        self.draining = None
        self.faults = collections.Counter()
        self.saying = set()
        #: How many faults have hit gateways or the ways to servers.
        self.disturbed = 0
        self.clients = CLIENTS
        self.gateways = GATEWAYS
        #: The gateway that most new connections reach; None: none is.
        self.favoured = None
        self.favouring = random.Random(f'favoured of {seed}')
        #: When all gateways were last started after they had been killed at once.
        self.herd_at = float('-inf')

    def http_of(self, name):
        return self.system.layout.processes[name].http

    def address(self, name):
        host, _, port = self.http_of(name).rpartition(':')
        return host, int(port)

    async def run(self, seconds):
        self.system.start()
        try:
            for service in SERVICES:
                for _ in range(3):
                    await self.add_server(service)
            if self.pauses.is_used:
                await self.pauses.prepare()
            await self.submit(1)
            tasks = [asyncio.create_task(self.report_always())]
            await asyncio.sleep(2)
            tasks += [asyncio.create_task(self.ask_always(number)) for number in range(CLIENTS)]
            tasks.append(asyncio.create_task(self.operate_always()))
            if self.has_versions:
                tasks.append(asyncio.create_task(self.streams.run()))
            if self.pauses.is_used:
                tasks.append(asyncio.create_task(self.pauses.clients.run()))
            await self.disturb(seconds)
            self.ending = True
            await asyncio.gather(*tasks[1:], *self.insisting, *self.saying)
            if self.draining is not None:
                await self.draining
            tasks[0].cancel()
            await self.check_end()
        finally:
            for name in list(self.system.running):
                self.system.kill(name)
            for server in self.servers:
                server.proxy.close()
                await server.http.close()
        return self.book

    def a_gateway(self, dice):
        """Return the gateway that a new connection reaches."""
        drawn = dice.choice(GATEWAYS)
        if self.favoured and self.favouring.random() < FAVOURED_SHARE:
            return self.favoured
        return drawn

    async def favour(self):
        """Let most new connections reach one gateway for a while, then the other one."""
        self.clients += FAVOURING_CLIENTS
        for name in self.favouring.sample(GATEWAYS, len(GATEWAYS)):
            self.favoured = name
            until = time.monotonic() + self.favouring.uniform(*FAVOURED_S)
            clients = [self.ask_while(until, number) for number in range(FAVOURING_CLIENTS)]
            await asyncio.gather(*clients)
        self.favoured = None
        self.clients -= FAVOURING_CLIENTS

    async def ask_while(self, until, number):
        sent = 0
        while time.monotonic() < until and not self.ending:
            sent += 1
            self.favouring_asked += 1
            await self.ask(f'fa{number:x}{self.favouring_asked:06x}', staged=False)

    @property
    def has_versions(self):
        """Return whether servers of several versions serve side by side."""
        return bool(set(VERSION_FAULTS) & set(self.kinds))

    async def add_server(self, service, software=''):
        self.number += 1
        if not software and self.has_versions:
            software = VERSIONS[0]
        server = Server(
            book=self.book,
            dice=self.dice,
            instance=backend_id(f'i-{service}-{self.number}', int(time.time() * 1000)),
            service=ServiceName(service),
            control=self.http_of(CONTROL[0]),
            zone='zone-1' if self.number % 3 else ZONE,
            software=software,
        )
        if self.pauses.is_used:
            server.event_interval_s = EVENT_INTERVAL_S
        await server.begin()
        self.servers.append(server)

    async def report_always(self):
        while True:
            staying = [
                server for server in self.servers if server.left_at is None and not server.ended
            ]
            for server in staying:
                if server.left_at is None and not server.ended:
                    await self.report(server, BackendState.ready)
            await asyncio.sleep(REPORT_S)

    async def report(self, server, state):
        server.control = self.http_of(self.dice.choice(CONTROL))
        try:
            return await server.report(state)
        except Exception:  # noqa: BLE001 - control is killed and frozen here
            return False

    # -- the operator ---------------------------------------------------------

    async def submit(self, version):
        """Send a version until it is acknowledged."""
        document = json.loads(example_manifest())
        document['version'] = version
        pattern = document['routes'][0]
        document['routes'].extend(
            {**pattern, 'name': f'more-{number}', 'path_prefix': f'/more-{number}/'}
            for number in range(self.routes)
        )
        if self.pauses.is_used:
            self.pauses.extend(document)
        for _ in range(200):
            host = self.address(self.dice.choice(CONTROL))
            status, _ = await call(host, 'PUT', CONFIG_PATH, json.dumps(document).encode(), [])
            self.book.check(not 400 <= status < 500, f'CONFIG {version} refused with {status}')
            if status == 200:
                self.book.accepted = version
                return
            await asyncio.sleep(0.1)
        self.book.check(False, f'CONFIG {version} was never acknowledged')

    async def drain_for_a_while(self):
        await self.order('POST')
        self.book.drained_at = time.monotonic()
        await asyncio.sleep(self.dice.uniform(*DRAINED_S))
        self.book.drained_at = None
        await self.order('DELETE')

    async def order(self, method):
        """Send an order for the zone until it is acknowledged."""
        for _ in range(200):
            host = self.address(self.dice.choice(CONTROL))
            status, _ = await call(host, method, f'/api/evacuate/{ZONE}', b'', [])
            self.book.check(not 400 <= status < 500, f'{method} of the zone refused with {status}')
            if status == 200:
                return
            await asyncio.sleep(0.1)
        self.book.check(False, f'{method} of the zone was never acknowledged')

    async def operate_always(self):
        version = 1
        while not self.ending:
            version += self.dice.randint(1, 3)
            await self.submit(version)
            await self.read_back()
            await asyncio.sleep(0.3)

    async def read_back(self):
        accepted = self.book.accepted
        host = self.address(self.dice.choice(CONTROL))
        status, body = await call(host, 'GET', CONFIG_PATH, b'', [])
        if status == 200:
            found = json.loads(body)['version']
            self.book.check(found >= accepted, f'CONFIG read {found}, accepted {accepted}')

    # -- clients --------------------------------------------------------------

    async def ask_always(self, number):
        sent = 0
        while not self.ending:
            sent += 1
            self.asked += 1
            await self.ask(f'{number:x}{sent:06x}', staged=bool(self.dice.randrange(3)))
            await asyncio.sleep(self.dice.uniform(0, 0.05))

    async def insist(self, content, kind):
        """Ask again and again for what ends servers, as a client that never gives up."""
        number = 0
        while not self.ending:
            number += 1
            name = f'{content}-{number}'
            key = content if kind == 'piece' else ''
            body = 'harmless' if key else content
            request = ClientRequest(
                attempt_id=name,
                host=HOST,
                path=PLAIN_PATH if kind == 'plain' else STAGED_PATH,
                time_left_s=3,
                key=KEY,
                pieces=() if kind == 'plain' else (3,),
                piece_key=key or f'p-{name}',
            )
            headers = encode_request(request)
            if kind != 'plain':
                headers.append(('Accept', 'text/event-stream'))
            host = self.address(self.a_gateway(self.dice))
            full = f'{body}-{content}'.encode() if key else body.encode()
            status, _ = await call(host, 'POST', request.path, full, headers)
            self.book.told['ending', status] += 1
            self.book.check(status != 200, f'MIXED {name} was served')
            await asyncio.sleep(AGAIN_S)

    async def ask(self, name, *, staged):
        request = ClientRequest(
            attempt_id=name,
            host=HOST,
            path=STAGED_PATH if staged else PLAIN_PATH,
            time_left_s=3,
            key=KEY,
            pieces=(3,) if staged else (),
            piece_key=name,
            prefix=prompt_of(self.asked) if staged else (),
        )
        headers = encode_request(request)
        if staged:
            headers.append(('Accept', 'text/event-stream'))
        host = self.address(self.a_gateway(self.dice))
        started_at = time.monotonic()
        status, body = await call(host, 'POST', request.path, body_of(name), headers)
        self.book.told[status] += 1
        if staged:
            self.parts.record_sound(started_at, served=status == 200)
        if status == 200 and staged:
            ids = [int(line[3:]) for line in body.split(b'\n') if line.startswith(b'id:')]
            self.book.check(ids == list(range(1, EVENTS + 1)), f'ORDER {name}: {ids}')
        elif status == 200:
            self.book.check(f' {name}\n'.encode() in body, f'MIXED {name}: {body}')
        elif status in {429, 503}:
            self.book.refused.append(name)
        else:
            self.book.check(status in {0, 502, 504}, f'{name}: status {status}')

    # -- faults ---------------------------------------------------------------

    async def disturb(self, seconds):
        until = time.monotonic() + seconds
        # Clients draw from the dice of earlier runs as well, in an order that varies.
        dice = self.pauses.kinds_dice if self.pauses.is_used else self.dice
        while time.monotonic() < until or self.faults.total() < LEAST_FAULTS:
            kind = dice.choice(self.kinds)
            self.faults[kind] += 1
            await self.inject(kind)
            await asyncio.sleep(dice.uniform(0.2, 1))

    async def inject(self, kind):
        begun_at = time.monotonic()
        name = self.dice.choice((*CONTROL, *GATEWAYS))
        if kind in PROCESS_FAULTS and name in self.pauses.restarting:
            return
        await self.bring_about(kind, name)
        planned = kind == 'stop' and name in GATEWAYS
        if kind in PROCESS_FAULTS | WAY_FAULTS and not planned:
            self.book.record.unplanned.append((begun_at, time.monotonic()))

    async def bring_about(self, kind, name):
        self.book.inject(kind, *((name,) if kind in PROCESS_FAULTS else ()))
        self.disturbed += kind in WAY_FAULTS or (kind in PROCESS_FAULTS and name in GATEWAYS)
        if kind == 'both':
            await asyncio.gather(self.inject('kill'), self.inject('silence'))
        elif kind in HERD_FAULTS:
            await self.kill_all_gateways()
        elif kind == 'kill':
            await self.restart(name, signal.SIGKILL)
        elif kind == 'stop':
            await self.restart(name, signal.SIGTERM)
        elif kind == 'freeze':
            self.system.send_signal(name, signal.SIGSTOP)
            await asyncio.sleep(self.dice.uniform(0.3, 1.5))
            self.system.send_signal(name, signal.SIGCONT)
        elif kind == 'suspend':
            stopped_s = self.dice.uniform(0.5, 3)
            self.system.send_signal(name, signal.SIGSTOP)
            await asyncio.sleep(stopped_s)
            self.system.resume_after_suspension(name, stopped_s)
        elif kind == 'ending':
            content = f'{ENDING}{len(self.insisting)}'
            way = self.dice.choice(('plain', 'stream', 'piece'))
            self.insisting.add(asyncio.create_task(self.insist(content, way)))
        elif kind == 'part':
            # Several at once would leave no server to the sound requests.
            if not self.parts.is_running:
                self.insisting.add(asyncio.create_task(self.parts.run(call)))
        elif kind == 'favour':
            if self.favoured is None and not self.counting:
                self.begin_to_favour()
        elif kind == 'drain':
            if self.draining is None or self.draining.done():
                self.draining = asyncio.create_task(self.drain_for_a_while())
        elif kind in PAUSE_FAULTS:
            self.saying.add(asyncio.create_task(self.pauses.run(kind)))
        elif kind in VERSION_FAULTS:
            await self.change_version()
        elif kind in WORD_FAULTS:
            server = self.a_staying_server()
            # A crowd sends more than the checks of what reaches a server allow for.
            if server.arrivals is None and not (kind in COUNTED_FAULTS and self.crowds):
                self.begin_to_say(server, kind)
        elif kind in READING_FAULTS:
            if not self.counting:
                self.begin_to_read_slowly(kind)
        elif kind == 'leave':
            await self.leave()
        elif kind in {'again', 'twice'}:
            await self.start_again(times=1 + (kind == 'twice'))
        elif kind == 'foreign':
            await self.send_foreign()
        elif kind == 'large':
            self.routes = MANY_ROUTES - self.routes
        else:
            await self.harm(kind)

    def begin_to_say(self, server, kind):
        words = Words(self, server)
        self.counting += kind in COUNTED_FAULTS
        task = asyncio.create_task(words.say(kind))
        task.add_done_callback(lambda _: self.end_of('counting', kind in COUNTED_FAULTS))
        self.saying.add(task)

    def begin_to_favour(self):
        # A crowd sends more than the checks of what reaches a server allow for.
        self.crowds += 1
        task = asyncio.create_task(self.favour())
        task.add_done_callback(lambda _: self.end_of('crowds', 1))
        self.saying.add(task)

    def begin_to_read_slowly(self, kind):
        self.crowds += 1
        begun_at = time.monotonic()
        task = asyncio.create_task(self.readers.run(kind))
        task.add_done_callback(lambda _: self.end_of('crowds', 1))
        if kind in WAY_FAULTS:
            task.add_done_callback(
                lambda _: self.book.record.unplanned.append((begun_at, time.monotonic()))
            )
        self.saying.add(task)

    def end_of(self, counted, change):
        setattr(self, counted, getattr(self, counted) - change)

    async def restart(self, name, number):
        process = self.system.running[name]
        if number == signal.SIGTERM:
            self.book.record.stops.append((name, time.monotonic()))
        process.send_signal(number)
        await asyncio.to_thread(process.wait, 20)
        await asyncio.sleep(self.dice.uniform(0, 0.5))
        self.system.start(name)

    async def kill_all_gateways(self):
        if self.pauses.restarting & set(GATEWAYS):
            return
        self.system.kill(*GATEWAYS)
        await asyncio.sleep(self.dice.uniform(0.2, 1))
        self.system.start(*GATEWAYS)
        self.herd_at = time.monotonic()

    async def change_version(self):
        """Add a server of any version; as often as not another one leaves for it."""
        dice = self.streams.dice
        software = dice.choice(VERSIONS)
        await self.add_server(ENGINE_SERVICE, software)
        await self.report(self.servers[-1], BackendState.ready)
        staying = [
            server
            for server in self.servers[:-1]
            if server.service == ENGINE_SERVICE and server.left_at is None and not server.ended
        ]
        if staying and dice.randrange(2):
            await self.let_leave(dice.choice(staying))

    async def leave(self):
        server = self.a_staying_server()
        await self.add_server(server.service, server.software)
        await self.report(self.servers[-1], BackendState.ready)
        await self.let_leave(server)

    async def let_leave(self, server):
        for _ in range(50):
            lifetime = server.instance
            acknowledged = await self.report(server, BackendState.draining)
            # A lifetime that began meanwhile has reported nothing of it.
            if acknowledged and server.instance == lifetime:
                server.left_at = time.monotonic()
                self.book.inject('left', server.instance)
                return
            await asyncio.sleep(0.1)

    def a_staying_server(self):
        staying = [server for server in self.servers if server.left_at is None]
        return self.dice.choice([server for server in staying if not server.ended] or staying)

    async def start_again(self, times):
        """Let a server start again; what it sent before comes late."""
        server = self.a_staying_server()
        for _ in range(times):
            earlier = await self.begin_again(server)
            await self.report_late(server, earlier)

    async def begin_again(self, server):
        """Let a server start again and report; return its earlier lifetime."""
        earlier = await server.start_again()
        await self.report(server, BackendState.ready)
        return earlier

    async def report_late(self, server, earlier):
        late = encode_report(
            BackendReport(
                instance=earlier,
                service=server.service,
                address=server.address,
                zone='zone-1',
                sequence=10**6,
                state=self.dice.choice((BackendState.ready, BackendState.draining)),
            ),
        )
        host = self.address(self.dice.choice(CONTROL))
        status, _ = await call(host, 'PUT', report_path(earlier), late, [])
        self.book.check(status in {0, 200, 503}, f'late report got {status}')

    async def send_foreign(self):
        path = report_path(self.a_staying_server().instance)
        host = self.address(self.dice.choice(CONTROL))
        for body in FOREIGN:
            status, _ = await call(host, 'PUT', path, body, [])
            self.book.check(status in {0, 400}, f'foreign report got {status}')

    async def harm(self, kind):
        server = self.dice.choice(self.servers)
        proxy = server.proxy
        self.book.inject(kind, 'of', server.instance)
        if kind == 'reset':
            proxy.reset()
            return
        proxy.fault = kind + self.dice.choice(('', '-there', '-back')) * (kind == 'silence')
        await asyncio.sleep(self.dice.uniform(0.3, 1.5))
        proxy.fault = ''

    # -- the end --------------------------------------------------------------

    async def check_end(self):
        await asyncio.sleep(LEFT_S)
        await self.readers.check_hosts(
            {
                name: (functools.partial(self.read_page, name), host)
                for name, host in zip(GATEWAYS, self.hosts, strict=True)
            }
        )
        ran = collections.Counter(name for server in self.servers for name in server.executed)
        plain = {
            name
            for server in self.servers
            if server.service == PLAIN_SERVICE
            for name in server.executed
        }
        for name in plain:
            self.book.check(ran[name] == 1, f'TWICE {name}: {ran[name]}')
        self.check_endings()
        self.parts.check()
        self.streams.check_shares()
        if self.pauses.is_used:
            self.pauses.check(ran)
        for name in self.book.refused:
            self.book.check(not ran[name], f'REFUSED {name} and it ran')
        until = time.monotonic() + 10
        found = 0
        while time.monotonic() < until and found < self.book.accepted:
            status, body = await call(self.address(CONTROL[1]), 'GET', CONFIG_PATH, b'', [])
            found = json.loads(body)['version'] if status == 200 else 0
            await asyncio.sleep(0.1)
        self.book.check(found >= self.book.accepted, f'LOST {self.book.accepted}, read {found}')

    async def read_page(self, name):
        _, body = await call(self.pages[name], 'GET', '/metrics', b'', [])
        return body.decode()

    def check_endings(self):
        for content, ended in self.book.ending_ended.items():
            if content in self.parts.series:
                continue
            sent = self.book.ending_sent[content]
            due = sorted(ended)[ENDS - 1] + CONTACT_S if len(ended) >= ENDS else float('inf')
            later = [at for at in sent if at > due]
            detail = f'BUDGET {content}: {len(later)} sends later, {len(ended)} ended'
            self.book.check(len(later) <= SENDS_LATER, detail)


def ending_of(request):
    """Return the content or part of a call that ends its server, or nothing."""
    if request.path == RUN_PATH:
        keys = [order.key for order in decode_piece_requests(request.body)]
        return next((key for key in keys if key.startswith(ENDING)), '')
    body = request.body.decode('latin-1')
    return body if body.startswith(ENDING) else crashing_part_of(request)


def named(request):
    """Return the id of a request, or those of the pieces in a call."""
    if request.path == RUN_PATH:
        return ' '.join(piece.attempt_id for piece in decode_piece_requests(request.body))
    return decode_request(request).attempt_id


async def call(host, method, path, body, headers):
    """Return the status and body of one call; 0 when it has no whole answer."""
    lines = [*headers, ('Content-Length', str(len(body))), ('Connection', 'close')]
    if not headers:
        lines.append(('Host', 'control'))
    head = ''.join(f'{name}: {text}\r\n' for name, text in lines)
    try:
        async with asyncio.timeout(5):
            reader, writer = await asyncio.open_connection(*host)
            writer.write(f'{method} {path} HTTP/1.1\r\n{head}\r\n'.encode() + body)
            raw = await reader.read()
            writer.close()
    except (OSError, asyncio.TimeoutError):
        return 0, b''
    return parse(raw)


def parse(raw):
    """Return the status and the whole body of an answer, else 0."""
    head, _, rest = raw.partition(b'\r\n\r\n')
    if not head.startswith(b'HTTP/1.1 '):
        return 0, b''
    status = int(head.split(b' ')[1])
    fields = head.lower()
    if b'transfer-encoding: chunked' in fields:
        return (status, unchunked(rest)) if rest.endswith(b'0\r\n\r\n') else (0, b'')
    length = next(
        (int(line[15:]) for line in fields.split(b'\r\n') if line.startswith(b'content-length:')), 0
    )
    return (status, rest) if len(rest) == length else (0, b'')


def unchunked(rest):
    whole = b''
    while rest:
        size, _, rest = rest.partition(b'\r\n')
        length = int(size, 16)
        whole, rest = whole + rest[:length], rest[length + 2 :]
    return whole


def soak(seed, seconds, folder, kinds=PAUSED_FAULTS):
    """Return the book and the faults of one run."""
    run = Soak(folder=Path(folder), seed=seed, kinds=kinds)
    return asyncio.run(run.run(seconds)), run.faults


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--seeds', type=int, default=1)
    parser.add_argument('--seconds', type=float, default=30)
    parser.add_argument('--kinds', default=','.join(PAUSED_FAULTS))
    parser.add_argument('--keep', default='', help='keep logs and data below this folder')
    options = parser.parse_args()
    failed = 0
    for seed in range(options.seed, options.seed + options.seeds):
        with contextlib.ExitStack() as stack:
            folder = f'{options.keep}/{seed}' if options.keep else None
            folder = folder or stack.enter_context(tempfile.TemporaryDirectory())
            book, faults = soak(seed, options.seconds, folder, options.kinds.split(','))
            shown = dict(sorted(book.told.items(), key=str))
            ends = {content: len(times) for content, times in book.ending_ended.items()}
            print(f'seed {seed}: told {shown}, version {book.accepted}, ended {ends}')
            print(f'  faults {dict(faults)}')
            for broken in book.broken[:10]:
                print(f'  BROKEN {broken}')
            for fault in book.injected if book.broken else ():
                print(f'  {fault}')
            failed += bool(book.broken)
    raise SystemExit(1 if failed else 0)


if __name__ == '__main__':
    main()
