"""The replicated state machine: files, ledger and fencing tokens.

Pure and deterministic: time enters only as a value in a command.
"""

from __future__ import annotations

from typing import Union

import msgspec

from ringseam.ledger import (
    ClaimStage,
    ConcludeStage,
    Ledger,
    LedgerResult,
    LedgerState,
    OpenRun,
    RecordStage,
)
from ringseam.messages import AcceptedFile, Tagged

SNAPSHOT_VERSION = 1
#: How many accepted applies of a part are remembered for resends.
APPLIES_KEPT = 10_000


class ApplyFile(Tagged, frozen=True, kw_only=True, omit_defaults=True):
    """Replace a part's file when its revision is ``expect``."""

    part: str
    text: str
    expect: int
    apply_id: str


class TakeToken(Tagged, frozen=True, kw_only=True, omit_defaults=True):
    """Take the next fencing token for orders to one backend server."""

    server: str
    holder: str


class FileAccepted(Tagged, frozen=True, kw_only=True, omit_defaults=True):
    """The file is revision ``revision`` of all files."""

    revision: int
    newest: int
    resent: bool = False


class FileConflict(Tagged, frozen=True, kw_only=True, omit_defaults=True):
    """The part is at another revision than expected."""

    revision: int


class TokenTaken(Tagged, frozen=True, kw_only=True, omit_defaults=True):
    """A token higher than all before it for that server."""

    token: int


Command = Union[ApplyFile, TakeToken, OpenRun, ClaimStage, ConcludeStage, RecordStage]
CommandResult = Union[FileAccepted, FileConflict, TokenTaken, LedgerResult]


class PartState(msgspec.Struct):
    """A part's accepted file and its remembered applies."""

    accepted: AcceptedFile
    #: By expected revision: at most one apply was ever accepted for each.
    applies: dict[int, tuple[str, int]] = {}


class MachineState(msgspec.Struct):
    """The snapshot form of the whole state machine."""

    version: int = SNAPSHOT_VERSION
    revision: int = 0
    parts: dict[str, PartState] = {}
    tokens: dict[str, int] = {}
    ledger: LedgerState = msgspec.field(default_factory=LedgerState)


class StateMachine:
    """Apply committed commands in order."""

    def __init__(self, *, snapshot: bytes = b'') -> None:
        """Begin with a snapshot's state, or empty."""
        self.restore(snapshot)
        self.decoder = msgspec.msgpack.Decoder(Command)

    def restore(self, snapshot: bytes) -> None:
        """Replace the state by a snapshot's."""
        if snapshot:
            self.state = msgspec.msgpack.decode(snapshot, type=MachineState)
        else:
            self.state = MachineState()
        self.ledger = Ledger(state=self.state.ledger)

    def snapshot(self) -> bytes:
        """Return the whole state."""
        return msgspec.msgpack.encode(self.state)

    def apply(self, payload: bytes) -> CommandResult:
        """Apply one committed command."""
        command = self.decoder.decode(payload)
        if isinstance(command, ApplyFile):
            return self._apply_file(command)
        if isinstance(command, TakeToken):
            token = self.state.tokens.get(command.server, 0) + 1
            self.state.tokens[command.server] = token
            return TokenTaken(token=token)
        return self.ledger.execute(command)

    def files(self) -> list[AcceptedFile]:
        """Return the files in force."""
        return [part.accepted for part in self.state.parts.values()]

    def was_accepted(self, part: str, expect: int, apply_id: str) -> bool:
        """Return whether an apply was accepted, now or before."""
        known = self.state.parts.get(part)
        return known is not None and known.applies.get(expect, ('', 0))[0] == apply_id

    def _apply_file(self, command: ApplyFile) -> CommandResult:
        part = self.state.parts.get(command.part)
        if part is not None:
            earlier = part.applies.get(command.expect)
            if earlier is not None and earlier[0] == command.apply_id:
                return FileAccepted(
                    revision=earlier[1],
                    newest=part.accepted.revision,
                    resent=True,
                )
        current = part.accepted.revision if part else 0
        if command.expect != current:
            return FileConflict(revision=current)
        self.state.revision += 1
        revision = self.state.revision
        applies = part.applies if part else {}
        applies[command.expect] = (command.apply_id, revision)
        if len(applies) > APPLIES_KEPT:
            applies.pop(next(iter(applies)))
        self.state.parts[command.part] = PartState(
            accepted=AcceptedFile(
                part=command.part,
                text=command.text,
                apply_id=command.apply_id,
                revision=revision,
            ),
            applies=applies,
        )
        return FileAccepted(revision=revision, newest=revision)


def encode_command(command: Command) -> bytes:
    """Return the log payload of a command."""
    return msgspec.msgpack.encode(command)
