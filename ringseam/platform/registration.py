"""Calls by which backend servers register, and addresses of the interface."""

from __future__ import annotations

import enum
from typing import Annotated

import msgspec

from ringseam.backends import BackendId, BackendReport, BackendState
from ringseam.routes import ServiceName

READY_PATH = '/api/ready'
CONFIG_PATH = '/api/config'
_INSTANCES = '/api/instances/'
_MS = 1000


class _State(enum.Enum):
    ready = 'ready'
    draining = 'draining'


class _Beat(msgspec.Struct):
    service: str
    addr: str  # where it serves, IP:PORT
    zone: str
    seq: Annotated[int, msgspec.Meta(ge=0)]  # grows with each report
    state: _State = _State.ready
    version: str = ''
    slots: int = 1
    cold_left_ms: float = 0


class _BeatReply(msgspec.Struct, omit_defaults=True):
    heartbeat_addr: str = ''


class _Readback(msgspec.Struct):
    version: int


_DECODER = msgspec.json.Decoder(_Beat)


def instance_of(path: str) -> BackendId | None:
    """Return the backend server that a path names, if it does."""
    if not path.startswith(_INSTANCES):
        return None
    name = path[len(_INSTANCES) :]
    return BackendId(name) if name and '/' not in name else None


def decode_report(instance: BackendId, body: bytes) -> BackendReport:
    """Return a backend server's report.

    :raises msgspec.MsgspecError: when it can't be read.
    """
    beat = _DECODER.decode(body)
    return BackendReport(
        instance=instance,
        service=ServiceName(beat.service),
        address=beat.addr,
        zone=beat.zone,
        software=beat.version,
        slots=max(1, beat.slots),
        state=BackendState.draining if beat.state is _State.draining else BackendState.ready,
        cold_left_s=beat.cold_left_ms / _MS,
        sequence=beat.seq,
    )


def encode_accepted(report_to: str) -> bytes:
    """Return the reply to a report; ``report_to`` is where to report next."""
    return msgspec.json.encode(_BeatReply(heartbeat_addr=report_to))


def report_path(instance: BackendId) -> str:
    """Return where a backend server reports itself."""
    return _INSTANCES + instance


def encode_report(report: BackendReport) -> bytes:
    """Return a backend server's report as it sends it."""
    return msgspec.json.encode(
        _Beat(
            service=report.service,
            addr=report.address,
            zone=report.zone,
            seq=report.sequence,
            state=_State.ready if report.state is BackendState.ready else _State.draining,
            version=report.software,
            slots=report.slots,
        ),
    )
