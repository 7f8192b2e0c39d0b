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
_INSTANCES_PATH = '/api/instances/'
_MS_PER_S = 1000
_ADDRESS_PATTERN = r'^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$'
#: Numbers that a signed word of 64 bits holds, as the log does.
_UInt63 = Annotated[int, msgspec.Meta(ge=0, le=2**63 - 1)]


class _ReportedState(enum.Enum):
    ready = 'ready'
    draining = 'draining'


class _Report(msgspec.Struct):
    service: str
    addr: Annotated[str, msgspec.Meta(pattern=_ADDRESS_PATTERN)]  # where it serves, IP:PORT
    zone: str
    seq: _UInt63  # grows with each report of one lifetime
    state: _ReportedState = _ReportedState.ready
    born: _UInt63 = 0  # Unix time in ms of its start; absent: it doesn't tell
    version: str = ''
    slots: _UInt63 = 1
    cold_left_ms: Annotated[float, msgspec.Meta(ge=0)] = 0


class _Departure(msgspec.Struct):
    born: _UInt63 = 0  # as in a report


class _ReportReply(msgspec.Struct, omit_defaults=True):
    heartbeat_addr: str = ''


def instance_in_path(path: str) -> str | None:
    """Return the name of the backend server in a path, if there is one."""
    if not path.startswith(_INSTANCES_PATH):
        return None
    name = path[len(_INSTANCES_PATH) :]
    return name if name and '/' not in name and SEPARATOR not in name else None


def decode_report(name: str, body: bytes) -> BackendReport:
    """Return the report of the backend server that is called ``name``.

    :raises ValueError: when it can't be read, or isn't one of a backend server.
    """
    report = decode_strictly(body, _Report)
    return BackendReport(
        instance=backend_id(name, report.born),
        service=ServiceName(report.service),
        address=report.addr,
        zone=report.zone,
        software=report.version,
        slots=max(1, report.slots),
        state=BackendState.draining
        if report.state is _ReportedState.draining
        else BackendState.ready,
        cold_left_s=report.cold_left_ms / _MS_PER_S,
        sequence=report.seq,
    )


def decode_departure(name: str, body: bytes) -> BackendReport:
    """Return the report of a server that has left; ValueError when its body isn't one."""
    departure = decode_strictly(body, _Departure) if body else _Departure()
    return departure_report(backend_id(name, departure.born))


def encode_report_reply(report_to: str) -> bytes:
    """Return the reply to a report; ``report_to`` is where to report next."""
    return msgspec.json.encode(_ReportReply(heartbeat_addr=report_to))


def report_path(instance: str) -> str:
    """Return where a backend server reports itself."""
    return _INSTANCES_PATH + name_of(instance)


def encode_report(report: BackendReport) -> bytes:
    """Return a backend server's report as it sends it."""
    return msgspec.json.encode(
        _Report(
            service=report.service,
            addr=report.address,
            zone=report.zone,
            seq=report.sequence,
            born=start_ms_of(report.instance),
            state=_ReportedState.ready
            if report.state is BackendState.ready
            else _ReportedState.draining,
            version=report.software,
            slots=report.slots,
        ),
    )
