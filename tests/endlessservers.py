"""Backend servers that send without end, each in a thread of its own."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import json
import socket
import threading
import time
from dataclasses import dataclass

from tests.gateways import http_response, manifest

HEAD = b'HTTP/1.1 %s\r\nAttempt-Id: %s\r\nServer-Seal: seal\r\n%s\r\n'
CHUNKED = b'Transfer-Encoding: chunked\r\n'
CALLERS = 12
CALLERS_BESIDE = 4
DURATION_S = 3.0
PAUSE_S = 0.1
#: The longest time for a caller of another service, seconds.
MAX_BESIDE_S = 0.5
MIN_SERVED_SHARE = 0.95
#: Requests that one server may get before it rests: those in flight at the same time.
MAX_BAD_REQUESTS = 3 * CALLERS
#: What a gateway may hold for one such server, bytes.
MAX_HELD_BYTES = 64_000_000
#: How much is sent at a time, bytes.
_PART_BYTES = 65_536


@dataclass(frozen=True, kw_only=True)
class Endless:
    """What a server sends: a head, and then one text again and again until it is closed."""

    repeated: bytes
    status: bytes = b'200 OK'
    headers: bytes = b''
    has_head: bool = True
    #: Pause after each repetition, seconds; 0: it sends at full speed.
    pause_s: float = 0

    def start_of(self, attempt: bytes) -> bytes:
        return HEAD % (self.status, attempt, self.headers) if self.has_head else b''


FORMS = {
    'informational': Endless(repeated=b'HTTP/1.1 103 Early Hints\r\n\r\n', has_head=False),
    'refusal': Endless(
        repeated=b'4\r\nfull\r\n', status=b'503 Full', headers=b'Not-Executed: 1\r\n' + CHUNKED
    ),
    'chunks': Endless(repeated=b'400\r\n' + 1024 * b'x' + b'\r\n', headers=CHUNKED),
    'tiny chunks': Endless(repeated=b'1\r\nx\r\n', headers=CHUNKED),
    'until closed': Endless(repeated=1024 * b'x'),
    'failure': Endless(
        repeated=b'400\r\n' + 1024 * b'x' + b'\r\n', status=b'500 Oops', headers=CHUNKED
    ),
    'surplus': Endless(repeated=1024 * b'y', headers=b'Content-Length: 0\r\n'),
    'head': Endless(repeated=b'x', has_head=False),
}
STREAM = b'Content-Type: text/event-stream\r\n' + CHUNKED
STREAM_FORMS = {
    'line': Endless(repeated=b'400\r\n' + 1024 * b'x' + b'\r\n', headers=STREAM),
    'event': Endless(repeated=b'400\r\n' + 128 * b'data: x\n' + b'\r\n', headers=STREAM),
}


class EndlessServer:
    """A server that answers each request in one endless form."""

    def __init__(self, form: Endless) -> None:
        self.form = form
        self.requests = 0
        self.sent_bytes = 0
        self.sockets: list[socket.socket] = []
        self.listener = socket.create_server(('127.0.0.1', 0))
        self.is_open = True
        threading.Thread(target=self._accept, daemon=True).start()

    @property
    def address(self) -> str:
        host, port = self.listener.getsockname()
        return f'{host}:{port}'

    def close(self) -> None:
        self.is_open = False
        for each in (self.listener, *self.sockets):
            with contextlib.suppress(OSError):
                each.shutdown(socket.SHUT_RDWR)
            each.close()

    def _accept(self) -> None:
        with contextlib.suppress(OSError):
            while self.is_open:
                accepted, _ = self.listener.accept()
                self.sockets.append(accepted)
                threading.Thread(target=self._serve, args=(accepted,), daemon=True).start()

    def _serve(self, connection: socket.socket) -> None:
        with contextlib.suppress(OSError):
            received = connection.recv(_PART_BYTES)
            while received and b'\r\n\r\n' not in received:
                received += connection.recv(_PART_BYTES)
            if not received:
                return
            self.requests += 1
            lines = received.lower().split(b'\r\n')
            attempt = next((line[12:] for line in lines if line.startswith(b'attempt-id: ')), b'')
            connection.sendall(self.form.start_of(attempt))
            repeated = self.form.repeated
            part = repeated * (1 if self.form.pause_s else _PART_BYTES // len(repeated))
            while self.is_open:
                connection.sendall(part)
                self.sent_bytes += len(part)
                time.sleep(self.form.pause_s)


async def respond(request, writer):
    """Serve a request, as the script of a sound server."""
    writer.write(http_response(request))


def two_services() -> bytes:
    """Return a document with a second service, ``beside``."""
    document = json.loads(manifest())
    idempotent = next(route for route in document['routes'] if route['name'] == 'idem')
    beside = {'name': 'beside', 'path_prefix': '/beside/', 'service': 'beside'}
    document['routes'].append(idempotent | beside)
    document['services'].append({'name': 'beside', 'max_conns': 10})
    return json.dumps(document).encode()


async def call_repeatedly(gateway, path, caller, until, **headers):
    """Return the status and the duration of each request of one caller, seconds."""
    outcomes = []
    while time.monotonic() < until:
        started = time.monotonic()
        attempt = f'{caller}-{len(outcomes)}'
        status, _ = await gateway.fetch(path, read_s=6, Attempt_Id=attempt, **headers)
        outcomes.append((status, time.monotonic() - started))
        await asyncio.sleep(PAUSE_S)
    return outcomes


async def run_callers(gateway, path, **headers):
    """Return the outcomes of the callers of one service, and of those beside them."""
    until = time.monotonic() + DURATION_S
    own = [
        call_repeatedly(gateway, path, f'o{number}', until, **headers) for number in range(CALLERS)
    ]
    beside = [
        call_repeatedly(gateway, '/beside/x', f'b{number}', until)
        for number in range(CALLERS_BESIDE)
    ]
    outcomes = await asyncio.gather(*own, *beside)
    by_service = outcomes[:CALLERS], outcomes[CALLERS:]
    return tuple(list(itertools.chain.from_iterable(some)) for some in by_service)


def assert_harmless(outcomes, bad, gateway):
    """Check that one bad server cost hardly anybody an answer, and got few requests."""
    own, beside = outcomes
    assert {status for status, _ in beside} == {200}
    assert max(duration_s for _, duration_s in beside) < MAX_BESIDE_S
    assert 0 not in {status for status, _ in own}
    assert sum(status == 200 for status, _ in own) >= MIN_SERVED_SHARE * len(own)
    assert bad.requests <= MAX_BAD_REQUESTS
    assert gateway.role.host.budget.largest < MAX_HELD_BYTES
