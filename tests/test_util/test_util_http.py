"""The WSGI server: request bodies, size limits and read timeouts."""

from __future__ import annotations

import socket
import time

import pytest
import urllib3

from ringseam.util.http import HttpReply, WsgiServer

READ_TIMEOUT_S = 1


@pytest.fixture
def server():
    wsgi_server = WsgiServer(
        address=('127.0.0.1', 0),
        respond=lambda request: HttpReply(status=200, body=request.body),
        threads=2,
        max_body_bytes=1000,
        read_timeout_s=READ_TIMEOUT_S,
    )
    wsgi_server.start()
    yield wsgi_server
    wsgi_server.stop()


def post(server, body, **headers):
    return urllib3.request(
        'POST', f'http://127.0.0.1:{server.port}/', body=body, headers=headers, retries=False
    )


@pytest.mark.parametrize('size', [0, 1, 1000])
def test_body_is_read_whole(server, size):
    assert post(server, b'x' * size).data == b'x' * size


def test_chunked_body(server):
    assert post(server, iter([b'a' * 400, b'b' * 400])).data == b'a' * 400 + b'b' * 400


@pytest.mark.parametrize('body', [b'x' * 1001, iter([b'x' * 600, b'x' * 600])])
def test_oversized_body_is_refused(server, body):
    reply = post(server, body)
    assert reply.status == 413
    assert reply.headers['Content-Type'] == 'application/problem+json'


@pytest.mark.parametrize('head', [b'POST / HT', b'POST / HTTP/1.1\r\nContent-Length: 900\r\n\r\n'])
def test_slow_sender_is_disconnected(server, head):
    """A client that sends single bytes must not occupy a thread beyond the read timeout."""
    started = time.monotonic()
    with socket.create_connection(('127.0.0.1', server.port), timeout=5) as connection:
        connection.sendall(head)
        with pytest.raises(OSError):
            while time.monotonic() - started < 10 * READ_TIMEOUT_S:
                time.sleep(0.1)
                connection.sendall(b'x')
    assert time.monotonic() - started < 5 * READ_TIMEOUT_S
    assert post(server, b'still well').data == b'still well'


def test_slow_response_is_not_cut(server):
    server.respond = lambda request: (
        time.sleep(2 * READ_TIMEOUT_S),
        HttpReply(status=200, body=b'ok'),
    )[1]
    assert post(server, b'x').data == b'ok'
