"""Connections that break while they are made."""

from __future__ import annotations

import asyncio
import socket

import pytest

from ringseam.errors import NotSentError
from ringseam.messages import Empty
from ringseam.node import Node
from ringseam.rpc import CallClient, Method

PING = Method(path='/ringseam.Test/Ping', request=Empty, reply=Empty)


def closed_before_use(client: CallClient, address: str) -> None:
    """Make the channel to ``address`` lose its connection once it is made.

    A process that is killed with the connection in its backlog resets it after
    the handshake and before the caller's task runs again.
    """
    channel = client.channels._channel(address)
    connect = channel.__connect__

    async def lose():
        protocol = await connect()
        protocol.processor.close(reason='reset by the peer')
        return protocol

    channel.__connect__ = lose


@pytest.fixture
def listener():
    with socket.create_server(('127.0.0.1', 0)) as server:
        yield server


def test_connection_that_is_lost_as_it_is_made_was_not_used(listener):
    """Seen once in CI: AttributeError instead of a tagged error."""
    host, port = listener.getsockname()

    async def call() -> None:
        client = CallClient(node=Node(name='a', role='entry', address='', secret=b'x'))
        address = f'{host}:{port}'
        closed_before_use(client, address)
        try:
            await client.call(address, PING, Empty(), timeout_s=1)
        finally:
            client.close()

    with pytest.raises(NotSentError, match='closed'):
        asyncio.run(call())
