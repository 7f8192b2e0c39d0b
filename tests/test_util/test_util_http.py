"""The WSGI server: request bodies, size limits and read timeouts."""

from __future__ import annotations

import socket
import time

import pytest
import urllib3

from ringseam.util.http import BodyLimits, HttpReply, WsgiServer

READ_TIMEOUT_S = 1


@pytest.fixture
def server():
    wsgi_server = WsgiServer(
        address=('127.0.0.1', 0),
        respond=lambda request: HttpReply(status=200, body=request.body),
        threads=2,
        bodies=BodyLimits(max_bytes=1000),
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


def open_request(server, length):
    """Send the head of a request with a body; return the connection."""
    connection = socket.create_connection(('127.0.0.1', server.port), timeout=5)
    connection.sendall(b'POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n' % length)
    return connection


def bounded_server(**limits):
    return WsgiServer(
        address=('127.0.0.1', 0),
        respond=lambda request: HttpReply(status=200, body=b'%d' % len(request.body)),
        threads=8,
        bodies=BodyLimits(max_bytes=1000, **limits),
    )


def test_body_beyond_the_memory_for_bodies_is_refused_until_there_is_some():
    """Guards against a process that ends as many bodies arrive at the same time."""
    server = bounded_server(max_held_bytes=4000)
    server.start()
    try:
        held = [open_request(server, 1000) for _ in range(2)]
        while server.held.total < 4000:
            time.sleep(0.01)
        reply = post(server, b'x' * 1000)
        assert reply.status == 503
        assert reply.headers['Retry-After'] == '1'
        for connection in held:
            connection.sendall(b'x' * 1000)
            assert b' 200 ' in connection.recv(1000)
            connection.close()
        assert post(server, b'x' * 1000).data == b'1000'
        assert server.held.total == 0
    finally:
        server.stop()


def test_body_that_is_not_wanted_is_discarded_and_its_request_answered():
    server = bounded_server(max_held_bytes=2000, wants_body=lambda request: False)
    server.start()
    try:
        reply = post(server, b'x' * 1000)
        assert reply.status == 200
        assert reply.data == b'0'
        assert reply.headers['Connection'] == 'close'
        assert post(server, iter([b'x' * 400, b'x' * 400])).data == b'0'
    finally:
        server.stop()


def test_rest_of_a_body_is_not_taken_for_another_request():
    """Guards against a request that is smuggled in a body which was refused."""
    asked = []
    server = bounded_server()
    server.respond = asked.append
    server.start()
    try:
        with open_request(server, 100_000) as connection:
            connection.sendall(b'GET /smuggled HTTP/1.1\r\nHost: h\r\n\r\n' * 30)
            received = b''
            try:
                while piece := connection.recv(1000):
                    received += piece
            except ConnectionError:
                pass
        assert received.count(b'HTTP/1.1 ') <= 1
        assert not asked
    finally:
        server.stop()
