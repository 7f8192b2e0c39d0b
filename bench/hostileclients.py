"""Clients that don't behave: ``python -m bench.hostileclients --shape ahead ...`` plays one kind.

Each shape is a coroutine that plays one connection until the time is up; a connection that is
closed is opened again. The clients run in a process of their own, so that the times measured for
ordinary clients are not theirs.
"""

from __future__ import annotations

import argparse
import asyncio
import collections
import contextlib
import json
import random
import re
import socket
import struct
from dataclasses import dataclass, field

#: The limits of clients: bytes of a head and of a body.
HEAD_BYTES = 16_384
BODY_BYTES = 4_194_304
#: Pause before a connection is opened again, seconds.
REOPEN_S = 0.05
#: A connection attempt is given up after this time, seconds.
CONNECT_S = 2.0
#: How long a client that sends whole requests waits for a response, seconds.
PATIENCE_S = 8.0
#: Sent at once by clients that never stop sending.
BLOCK_BYTES = 262_144
DRIP_S = 0.5


@dataclass(kw_only=True)
class Attack:
    """Where the clients of one shape connect, and what they ask for."""

    shape: str
    host: str
    port: int
    method: str = 'POST'
    target: str = '/'
    headers: tuple[str, ...] = ()
    count: int = 1
    seconds: float = 4.0
    seed: int = 1

    def arguments(self):
        """Return the command line that plays this attack."""
        named = {
            'shape': self.shape,
            'host': self.host,
            'port': self.port,
            'method': self.method,
            'target': self.target,
            'count': self.count,
            'seconds': self.seconds,
            'seed': self.seed,
        }
        options = [f'--{name}={value}' for name, value in named.items()]
        return [*options, *(f'--header={line}' for line in self.headers)]


@dataclass
class Player:
    """The connections of one attack."""

    attack: Attack
    statuses: collections.Counter = field(default_factory=collections.Counter)

    def __post_init__(self):
        self.dice = random.Random(self.attack.seed)
        self.loop = asyncio.get_running_loop()
        self.until = self.loop.time() + self.attack.seconds
        self.play = SHAPES[self.attack.shape]

    async def run(self):
        await asyncio.gather(*(self.play_always() for _ in range(self.attack.count)))

    async def play_always(self):
        await asyncio.sleep(self.dice.uniform(0, 0.3))
        while self.loop.time() < self.until:
            with contextlib.suppress(OSError, asyncio.TimeoutError):
                await self.connect_and_play()
            await asyncio.sleep(REOPEN_S)

    async def connect_and_play(self):
        sock = socket.socket()
        sock.setblocking(False)
        with contextlib.closing(sock):
            async with asyncio.timeout(CONNECT_S):
                await self.loop.sock_connect(sock, (self.attack.host, self.attack.port))
            self.statuses['connected'] += 1
            async with asyncio.timeout_at(self.until):
                await self.play(self, sock)

    # -- parts of requests --------------------------------------------------

    def head(self, *more):
        """Return a head without its blank line; ``more`` are further lines."""
        attack = self.attack
        own = f'Attempt-Id: {self.dice.getrandbits(64):016x}'
        lines = [f'{attack.method} {attack.target} HTTP/1.1', *attack.headers, own, *more]
        return '\r\n'.join(lines).encode() + b'\r\n'

    def full_head(self, *more, size=HEAD_BYTES):
        """Return a head of nearly ``size`` bytes made of fields as short as they can be."""
        head = self.head(*more)
        return head + b'a:\r\n' * ((size - len(head) - 2) // 4)

    async def send(self, sock, *parts):
        for part in parts:
            await self.loop.sock_sendall(sock, part)

    async def stay(self, sock):
        """Send nothing more, and take what comes until the connection is closed."""
        while await self.loop.sock_recv(sock, BLOCK_BYTES):
            pass

    async def status(self, sock):
        """Wait for a response; count and return its status, 0 if the connection is closed."""
        raw = b''
        async with asyncio.timeout(PATIENCE_S):
            while not is_whole(raw):
                block = await self.loop.sock_recv(sock, 65_536)
                if not block:
                    self.statuses['closed'] += 1
                    return 0
                raw += block
        status = int(raw.split(b' ', 2)[1])
        self.statuses[status] += 1
        return 0 if b'connection: close' in raw.lower() else status


def is_whole(raw):
    """Return whether a response with a length is complete."""
    head, _, body = raw.partition(b'\r\n\r\n')
    length = re.search(rb'content-length: (\d+)', head.lower())
    return b'\r\n\r\n' in raw and len(body) >= (int(length[1]) if length else 0)


def chunked(body, size):
    """Return ``body`` in chunks of ``size`` bytes, without the last one."""
    line = b'%x\r\n' % size
    return b''.join(
        line + body[start : start + size] + b'\r\n' for start in range(0, len(body), size)
    )


async def ahead(player, sock, size=0):
    """Send requests without a pause and read nothing."""
    requests = (player.head(f'Content-Length: {size}') + b'\r\n' + b'x' * size) * (
        1 if size else 200
    )
    while True:
        await player.send(sock, requests)


async def ahead_bodies(player, sock):
    await ahead(player, sock, size=1_000_000)


async def ahead_reading(player, sock):
    """Send requests ahead without a pause, and read what comes."""
    reading = asyncio.create_task(player.stay(sock))
    try:
        await ahead(player, sock)
    finally:
        reading.cancel()


async def fields_stop(player, sock):
    """Send a head of short fields, and stop before the body."""
    await player.send(sock, player.full_head('Content-Length: 10') + b'\r\n')
    await player.status(sock)


async def fields(player, sock):
    """Send whole requests of short fields."""
    while True:
        await player.send(sock, player.full_head('Content-Length: 2') + b'\r\nok')
        if not await player.status(sock):
            return


async def body_stop(player, sock):
    """Send a body but for its last byte."""
    await player.send(sock, player.head(f'Content-Length: {BODY_BYTES}') + b'\r\n')
    await player.send(sock, b'x' * (BODY_BYTES - 1))
    await player.status(sock)


async def body(player, sock):
    """Send whole requests with the largest body."""
    head = player.head(f'Content-Length: {BODY_BYTES}') + b'\r\n'
    while True:
        await player.send(sock, head, b'x' * BODY_BYTES)
        if not await player.status(sock):
            return


async def over_chunked(player, sock):
    """Send a body in chunks, without end."""
    block = chunked(b'x' * BLOCK_BYTES, 16_384)
    await player.send(sock, player.head('Transfer-Encoding: chunked') + b'\r\n')
    while True:
        await player.send(sock, block)


async def over_declared(player, sock):
    """Declare a body far over the limit, and send it."""
    await player.send(sock, player.head('Content-Length: 1000000000') + b'\r\n')
    while True:
        await player.send(sock, b'x' * BLOCK_BYTES)


async def over_length(player, sock):
    """Declare a length of more digits than a number has."""
    await player.send(sock, player.head('Content-Length: ' + '9' * 400) + b'\r\n')
    await player.status(sock)


async def small_chunks(player, sock, size=1):
    """Send the largest body in chunks of so many bytes, each a legal request."""
    block = chunked(b'x' * 65_536, size)
    head = player.head('Transfer-Encoding: chunked') + b'\r\n'
    await player.send(sock, head)
    for _ in range(BODY_BYTES // 65_536):
        await player.send(sock, block)
    await player.send(sock, b'0\r\n\r\n')
    await player.status(sock)


async def chunks_of_one(player, sock):
    await small_chunks(player, sock, 1)


async def chunks_of_two(player, sock):
    await small_chunks(player, sock, 2)


async def idle(player, sock):
    """Open a connection and send nothing."""
    await player.stay(sock)


async def head_stop(player, sock):
    """Send a large head but for its end."""
    await player.send(sock, player.head('X: ' + 'y' * 15_000))
    await player.stay(sock)


async def drip(player, sock):
    """Send a byte of a head at a time."""
    for byte in player.head('X: ' + 'y' * 200):
        await player.send(sock, bytes((byte,)))
        await asyncio.sleep(DRIP_S)


async def body_drip(player, sock):
    """Send a body slowly."""
    await player.send(sock, player.head(f'Content-Length: {BODY_BYTES}') + b'\r\n')
    for _ in range(1000):
        await player.send(sock, b'x' * 20_000)
        await asyncio.sleep(DRIP_S)


async def body_pieces(player, sock):
    """Send a body a byte a segment."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    await player.send(sock, player.head('Content-Length: 3000') + b'\r\n')
    for _ in range(3000):
        await player.send(sock, b'x')
        await asyncio.sleep(0)
    await player.status(sock)


async def unread(player, sock):
    """Ask for a large response and read none of it."""
    await player.send(sock, player.head('Content-Length: 0') + b'\r\n')
    await asyncio.sleep(PATIENCE_S)


async def come_and_go(player, sock):
    """Open a connection, begin a request and reset the connection."""
    await player.send(sock, player.head())
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0))


async def garbage(player, sock):
    """Send bytes that are no request."""
    while True:
        await player.send(sock, player.dice.randbytes(20_000))
        await player.stay(sock)


async def trailers(player, sock):
    """End a body in chunks with trailers that never end."""
    await player.send(sock, player.head('Transfer-Encoding: chunked') + b'\r\n1\r\nx\r\n0\r\n')
    while True:
        await player.send(sock, b'a:\r\n' * 20_000)


async def extensions(player, sock):
    """Send a chunk whose extension never ends."""
    await player.send(sock, player.head('Transfer-Encoding: chunked') + b'\r\n1;')
    while True:
        await player.send(sock, b'a' * 65_536)


SHAPES = {
    'ahead': ahead,
    'ahead-bodies': ahead_bodies,
    'ahead-reading': ahead_reading,
    'fields-stop': fields_stop,
    'fields': fields,
    'body-stop': body_stop,
    'body': body,
    'over-chunked': over_chunked,
    'over-declared': over_declared,
    'over-length': over_length,
    'chunks-1': chunks_of_one,
    'chunks-2': chunks_of_two,
    'idle': idle,
    'head-stop': head_stop,
    'drip': drip,
    'body-drip': body_drip,
    'body-pieces': body_pieces,
    'unread': unread,
    'come-and-go': come_and_go,
    'garbage': garbage,
    'trailers': trailers,
    'extensions': extensions,
}


def parse_attack():
    parser = argparse.ArgumentParser()
    parser.add_argument('--shape', choices=sorted(SHAPES), required=True)
    parser.add_argument('--host', default='127.0.0.1')
    parser.add_argument('--port', type=int, required=True)
    parser.add_argument('--method', default='POST')
    parser.add_argument('--target', default='/')
    parser.add_argument('--header', action='append', default=[], dest='headers')
    parser.add_argument('--count', type=int, default=1)
    parser.add_argument('--seconds', type=float, default=4)
    parser.add_argument('--seed', type=int, default=1)
    return Attack(**vars(parser.parse_args()))


async def play(attack):
    player = Player(attack)
    with contextlib.suppress(asyncio.TimeoutError):
        await player.run()
    return player.statuses


if __name__ == '__main__':
    print(
        json.dumps({str(name): count for name, count in asyncio.run(play(parse_attack())).items()})
    )
