"""Connections that break while they are being established."""

from __future__ import annotations

import asyncio
import socket

import pytest

from ringseam.errors import NotSentError
from ringseam.messages import Empty
from ringseam.node import Node
from ringseam.rpc import CallClient, Method

PING = Method(path='/ringseam.Test/Ping', request=Empty, reply=Empty)


def close_after_handshake(client: CallClient, address: str) -> None:
    """Make the channel to ``address`` lose its connection right after the handshake.

    It happens when a process is killed while the connection is in its accept backlog: the
    reset arrives after the handshake, before the task of the caller runs again.
    """
    channel = client.channels._channel(address)
    connect = channel.__connect__

    async def connect_and_lose():
        protocol = await connect()
        protocol.processor.close(reason='reset by the peer')
        return protocol

    channel.__connect__ = connect_and_lose


@pytest.fixture
def listener():
    with socket.create_server(('127.0.0.1', 0)) as server:
        yield server


def test_connection_lost_right_after_handshake_raises_not_sent(listener):
    """Such a connection used to raise AttributeError instead of NotSentError."""
    host, port = listener.getsockname()

    async def call() -> None:
        client = CallClient(node=Node(name='a', role='entry', address='', secret=b'x'))
        address = f'{host}:{port}'
        close_after_handshake(client, address)
        try:
            await client.call(address, PING, Empty(), timeout_s=1)
        finally:
            client.close()

    with pytest.raises(NotSentError, match='closed'):
        asyncio.run(call())
