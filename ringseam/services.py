"""The methods that processes serve to each other."""

from __future__ import annotations

from typing import Union

from ringseam.control.raftlog import Packet
from ringseam.control.state import Command, CommandResult
from ringseam.messages import (
    AgentState,
    ApplyReply,
    ApplyRequest,
    ConfigFiles,
    ConfigReply,
    ConfigRequest,
    DeltaReply,
    DeltaRequest,
    Dispatch,
    DispatchReply,
    Empty,
    Frame,
    Message,
    Redirect,
    ReportReply,
    StatusReply,
    Tombstone,
)
from ringseam.rpc import Method

DISPATCH = Method('/ringseam.Agent/Dispatch', Dispatch, DispatchReply)
DISPATCH_STREAM = Method('/ringseam.Agent/DispatchStream', Dispatch, Frame)
TOMBSTONE = Method('/ringseam.Agent/Tombstone', Tombstone, DispatchReply)
AGENT_STATE = Method('/ringseam.Agent/State', Empty, AgentState)
REPORT = Method('/ringseam.Directory/Report', AgentState, ReportReply)
DELTA = Method('/ringseam.Directory/Delta', DeltaRequest, DeltaReply)
#: Every process serves it: whoever is behind pulls from whoever showed more.
CONFIG = Method('/ringseam.Config/Get', ConfigRequest, ConfigReply)
APPLY = Method('/ringseam.Config/Apply', ApplyRequest, ApplyReply)
STATUS = Method('/ringseam.Control/Status', Empty, StatusReply)


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


class CommandRequest(Message, frozen=True, kw_only=True):
    """Commit a command to the replicated log."""

    command: Command


class CommandReply(Message, frozen=True, kw_only=True):
    """The committed command's result, or where the leader may be."""

    reply: Union[CommandResult, Redirect]


class FirstConfigReply(Message, frozen=True, kw_only=True):
    """The configuration at a linearizable read, or where the leader may be."""

    reply: Union[ConfigFiles, Redirect]


PACKETS = Method('/ringseam.Control/Packets', Packet, Empty)
HELLO = Method('/ringseam.Control/Hello', HelloRequest, HelloReply)
COMMAND = Method('/ringseam.Control/Command', CommandRequest, CommandReply)
FIRST_CONFIG = Method('/ringseam.Config/First', Empty, FirstConfigReply)
