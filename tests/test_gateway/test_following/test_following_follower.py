"""A gateway whose control host knows no leader any more.

Guards against calls to a leader without an address, which ended requests with status 500.
"""

from __future__ import annotations

import asyncio
from types import SimpleNamespace

import pytest

from ringseam.clock import PausedClock
from ringseam.followmessages import WatchReply, WatchUpdate
from ringseam.gateway.following.follower import Follower
from ringseam.messages import Redirect
from ringseam.node import Node


class Control:
    """A control host that leads at first, and then redirects."""

    def __init__(self, redirect):
        self.replies = [
            WatchUpdate(
                epoch='e1',
                upto=0,
                whole=True,
                warm=True,
            ),
            Redirect(leader=redirect),
        ]

    async def call(self, address, method, message, *, timeout_s):
        return SimpleNamespace(body=WatchReply(reply=self.replies.pop(0)))


@pytest.mark.parametrize('redirect', ['', 'c2:1'])
def test_connected_follower_has_a_leader_to_call(redirect):
    async def run():
        node = Node(name='g', role='gateway', address='g:1', secret=b'x', clock=PausedClock())
        follower = Follower(
            node=node, client=Control(redirect), addresses=('c1:1',), on_change=lambda: None
        )
        assert await follower._watch('c1:1')
        assert follower.is_connected
        assert await follower._watch('c1:1') is bool(redirect)
        assert follower.leader == redirect
        assert follower.is_connected is bool(redirect)

    asyncio.run(run())
