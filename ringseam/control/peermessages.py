"""RPC methods and messages between control hosts."""

from __future__ import annotations

from ringseam.control.membership import LeaveStatus
from ringseam.control.raftlog import Packet
from ringseam.messages import Empty, Message
from ringseam.rpc import Method


class HelloRequest(Message, frozen=True, kw_only=True, omit_defaults=True):
    """Data folder of the calling replica; ``group`` is empty before it joins one."""

    disk: str
    address: str
    group: str = ''


class HelloReply(Message, frozen=True, kw_only=True, omit_defaults=True):
    """Data folder of the replica that was called."""

    disk: str
    address: str
    group: str = ''
    #: Addresses of the group's members, as known to the replica that was called.
    members: tuple[str, ...] = ()


class LeaveRequest(Message, frozen=True, kw_only=True):
    """Announce to the leader that the process of data folder ``disk`` is about to end."""

    disk: str


class LeaveReply(Message, frozen=True, kw_only=True, omit_defaults=True):
    """What becomes of the vote; None if the replica that was called doesn't lead."""

    status: LeaveStatus | None = None


PACKETS = Method('/ringseam.Control/Packets', Packet, Empty)
HELLO = Method('/ringseam.Control/Hello', HelloRequest, HelloReply)
LEAVE = Method('/ringseam.Control/Leave', LeaveRequest, LeaveReply)
