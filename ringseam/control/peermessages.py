"""What control hosts say to each other beside the packets of the log."""

from __future__ import annotations

from ringseam.control.raftlog import Packet
from ringseam.messages import Empty, Message
from ringseam.rpc import Method


class HelloRequest(Message, frozen=True, kw_only=True, omit_defaults=True):
    """A replica's data folder introduces itself; no group means blank."""

    disk: str
    address: str
    group: str = ''


class HelloReply(Message, frozen=True, kw_only=True, omit_defaults=True):
    """The data folder of the replica that was asked."""

    disk: str
    address: str
    group: str = ''
    #: Where other replicas are, as far as the one that was asked knows.
    members: tuple[str, ...] = ()


PACKETS = Method('/ringseam.Control/Packets', Packet, Empty)
HELLO = Method('/ringseam.Control/Hello', HelloRequest, HelloReply)
