"""Clients of a soak that resume streams, among servers of several software versions."""

from __future__ import annotations

import asyncio
import collections
import contextlib
import random
import re
import time

from bench.soakparts import prompt_of
from ringseam.calls import ClientRequest
from ringseam.platform.example import ENGINE_SERVICE, HOST, KEY, STAGED_PATH
from ringseam.platform.requests import encode_request

VERSION_FAULTS = ('version', 'version', 'version')
VERSIONS = ('v1', 'v2', 'v3')
CLIENTS = 4
#: Requests of one client for one stream.
ATTEMPTS = 3
TIME_LEFT_S = 3
#: Share of the attempts whose client drops the connection after some events.
DROPPED = 0.6
#: Resumptions count at gateways that have run for so long, seconds.
CONTACT_S = 3.0
#: From so many resumptions on, half as many must go on as new streams begin.
COUNTED = 12
EVENT = re.compile(rb'id: (\d+)\ndata: token \d+ ?(\S*)\n\n')


class StreamClients:
    """Clients that resume their streams at any gateway, and what they saw."""

    def __init__(self, soak, seed):
        self.soak = soak
        self.dice = random.Random(f'streams of {seed}')
        self.number = 0
        #: Asked for and served, of new streams and of resumptions.
        self.counts = collections.Counter()

    async def run(self):
        await asyncio.gather(*(self.stream_always() for _ in range(CLIENTS)))

    async def stream_always(self):
        while not self.soak.ending:
            self.number += 1
            await self.stream(f'flow{self.number}')
            await asyncio.sleep(self.dice.uniform(0, 0.05))

    async def stream(self, name):
        """Ask until the stream is whole or the attempts are used up, and check all events."""
        events = []
        first = ''
        for attempt in range(ATTEMPTS):
            asked = f'{name}-{attempt}'
            counted = self.is_counted(events)
            found = await self.attempt(asked, len(events), first)
            kind = 'resumed' if events else 'new'
            self.counts[kind, 'asked'] += counted
            self.counts[kind, 'served'] += counted and bool(found)
            if found and not events:
                first = asked
            events += found
            if self.is_whole(events):
                break
        self.check(name, events)

    def is_counted(self, events):
        """Return whether two servers of the version serve, so that a resumption must go on."""
        if not events:
            return True
        if time.monotonic() - self.soak.herd_at < CONTACT_S:
            return False
        staying = [
            server
            for server in self.soak.servers
            if server.service == ENGINE_SERVICE and server.left_at is None and not server.ended
        ]
        return sum(server.software == events[0][1] for server in staying) >= 2

    def is_whole(self, events):
        return bool(events) and events[-1][0] == 5

    def check(self, name, events):
        ids = [number for number, _ in events]
        versions = {version for _, version in events}
        self.soak.book.check(ids == list(range(1, len(ids) + 1)), f'ORDER {name}: {ids}')
        self.soak.book.check(
            len(versions) < 2, f'ORDER {name} has events of {events}, at {time.time():.2f}'
        )

    async def attempt(self, name, last, first):
        """Return the events of one attempt, as (number, version)."""
        request = ClientRequest(
            attempt_id=name,
            host=HOST,
            path=STAGED_PATH,
            time_left_s=TIME_LEFT_S,
            key=KEY,
            pieces=(3,),
            piece_key=name,
            prefix=prompt_of(self.number),
            last_event=last or None,
            resumes=first,
        )
        body = name.encode()
        headers = [
            *encode_request(request),
            ('Accept', 'text/event-stream'),
            ('Content-Length', str(len(body))),
            ('Connection', 'close'),
        ]
        head = ''.join(f'{key}: {text}\r\n' for key, text in headers)
        raw = f'POST {request.path} HTTP/1.1\r\n{head}\r\n'.encode() + body
        wanted = self.dice.randint(1, 4) if self.dice.random() < DROPPED else 5
        host = self.soak.address(self.soak.a_gateway(self.dice))
        return await read_events(host, raw, wanted)

    def check_shares(self):
        """Check that resumptions go on at least half as often as new streams begin."""
        new, resumed = (self.share(kind) for kind in ('new', 'resumed'))
        counts = dict(self.counts)
        self.soak.book.told['streams'] = self.counts['resumed', 'asked']
        if self.counts['resumed', 'asked'] >= COUNTED:
            self.soak.book.check(resumed >= new / 2, f'LOST resumptions: {counts}')

    def share(self, kind):
        return self.counts[kind, 'served'] / max(1, self.counts[kind, 'asked'])


async def read_events(host, raw, wanted):
    """Send a request and return its events until the connection ends or so many have come."""
    received = b''
    with contextlib.suppress(OSError, asyncio.TimeoutError):
        async with asyncio.timeout(TIME_LEFT_S + 1):
            reader, writer = await asyncio.open_connection(*host)
            with contextlib.closing(writer):
                writer.write(raw)
                while len(EVENT.findall(received)) < wanted:
                    part = await reader.read(4096)
                    if not part:
                        break
                    received += part
    return [(int(number), version.decode()) for number, version in EVENT.findall(received)]
