"""Messages by which gateways tell each other of servers that crashed."""

from __future__ import annotations

from ringseam.lifetimes import BackendId
from ringseam.messages import Empty, Message
from ringseam.rpc import Method


class CrashNotice(Message, frozen=True, kw_only=True, omit_defaults=True):
    """A crash that a gateway has seen."""

    #: The lifetime that has ended.
    ended: BackendId
    #: Lifetimes of the server that started no later have ended too; Unix time in ms.
    latest_start_ms: int
    #: Whether the receiver passes the notice on to all other gateways.
    relay: bool = False


TELL_CRASH = Method('/ringseam.Gateway/TellCrash', CrashNotice, Empty, multiplexed=True)
