"""Calls by which backend servers register, and addresses of the interface."""

from __future__ import annotations

import enum
from typing import Annotated

import msgspec

from ringseam.backends import BackendReport, BackendState, departure_report
from ringseam.lifetimes import SEPARATOR, backend_id, name_of, start_ms_of
from ringseam.routes import ServiceName
from ringseam.util.jsonbody import decode_strictly

READY_PATH = '/api/ready'
CONFIG_PATH = '/api/config'
_INSTANCES = '/api/instances/'
_MS = 1000
_ADDRESS = r'^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$'
#: Numbers that a signed word of 64 bits holds, as the log does.
_Whole = Annotated[int, msgspec.Meta(ge=0, le=2**63 - 1)]


class _State(enum.Enum):
    ready = 'ready'
    draining = 'draining'


class _Beat(msgspec.Struct):
    service: str
    addr: Annotated[str, msgspec.Meta(pattern=_ADDRESS)]  # where it serves, IP:PORT
    zone: str
    seq: _Whole  # grows with each report of one lifetime
    state: _State = _State.ready
    born: _Whole = 0  # Unix time in ms of its start; absent: it doesn't tell
    version: str = ''
    slots: _Whole = 1
    cold_left_ms: Annotated[float, msgspec.Meta(ge=0)] = 0


class _Leave(msgspec.Struct):
    born: _Whole = 0  # as in a report


class _BeatReply(msgspec.Struct, omit_defaults=True):
    heartbeat_addr: str = ''


def instance_of(path: str) -> str | None:
    """Return the name of the backend server in a path, if there is one."""
    if not path.startswith(_INSTANCES):
        return None
    name = path[len(_INSTANCES) :]
    return name if name and '/' not in name and SEPARATOR not in name else None


def decode_report(name: str, body: bytes) -> BackendReport:
    """Return the report of the backend server that is called ``name``.

    :raises ValueError: when it can't be read, or isn't one of a backend server.
    """
    beat = decode_strictly(body, _Beat)
    return BackendReport(
        instance=backend_id(name, beat.born),
        service=ServiceName(beat.service),
        address=beat.addr,
        zone=beat.zone,
        software=beat.version,
        slots=max(1, beat.slots),
        state=BackendState.draining if beat.state is _State.draining else BackendState.ready,
        cold_left_s=beat.cold_left_ms / _MS,
        sequence=beat.seq,
    )


def decode_leave(name: str, body: bytes) -> BackendReport:
    """Return the report of a server that has left; ValueError when its body isn't one."""
    leave = decode_strictly(body, _Leave) if body else _Leave()
    return departure_report(backend_id(name, leave.born))


def encode_accepted(report_to: str) -> bytes:
    """Return the reply to a report; ``report_to`` is where to report next."""
    return msgspec.json.encode(_BeatReply(heartbeat_addr=report_to))


def report_path(instance: str) -> str:
    """Return where a backend server reports itself."""
    return _INSTANCES + name_of(instance)


def encode_report(report: BackendReport) -> bytes:
    """Return a backend server's report as it sends it."""
    return msgspec.json.encode(
        _Beat(
            service=report.service,
            addr=report.address,
            zone=report.zone,
            seq=report.sequence,
            born=start_ms_of(report.instance),
            state=_State.ready if report.state is BackendState.ready else _State.draining,
            version=report.software,
            slots=report.slots,
        ),
    )
