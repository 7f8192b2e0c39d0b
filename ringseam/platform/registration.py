"""Registration calls of backend servers, and the paths of the control interface."""

from __future__ import annotations

import enum

import msgspec

from ringseam.backends import BackendReport, BackendState, departure_report
from ringseam.ids import checked_address
from ringseam.lifetimes import SEPARATOR, backend_id, name_of, start_ms_of
from ringseam.routes import ServiceName
from ringseam.util.bounds import NonNegativeFloat, NonNegativeInt
from ringseam.util.jsonbody import decode_strictly
from ringseam.util.names import checked_name, checked_segment

READY_PATH = '/api/ready'
CONFIG_PATH = '/api/config'
_INSTANCES_PATH = '/api/instances/'
_MS_PER_S = 1000


class _ReportedState(enum.Enum):
    ready = 'ready'
    draining = 'draining'


class _Report(msgspec.Struct):
    service: str
    addr: str  # IP:PORT where it serves requests
    zone: str
    seq: NonNegativeInt  # increases with each report within one server lifetime
    state: _ReportedState = _ReportedState.ready
    born: NonNegativeInt = 0  # start time, Unix time in ms; 0: not reported
    version: str = ''
    slots: NonNegativeInt = 1
    cold_left_ms: NonNegativeFloat = 0


class _Departure(msgspec.Struct):
    born: NonNegativeInt = 0  # as in ``_Report``


class _ReportReply(msgspec.Struct, omit_defaults=True):
    heartbeat_addr: str = ''


def instance_in_path(path: str) -> str | None:
    """Return the backend server name in a path, or None if the path has none."""
    if not path.startswith(_INSTANCES_PATH):
        return None
    name = path[len(_INSTANCES_PATH) :]
    return name if name and '/' not in name and SEPARATOR not in name else None


def decode_report(name: str, body: bytes) -> BackendReport:
    """Decode a report of the backend server ``name``.

    :raises ValueError: if the body is not a valid report.
    """
    report = decode_strictly(body, _Report)
    return BackendReport(
        instance=backend_id(checked_segment(name), report.born),
        service=ServiceName(checked_name(report.service, field='service')),
        address=checked_address(report.addr),
        zone=checked_name(report.zone, field='zone', may_be_empty=True),
        software=checked_name(report.version, field='version', may_be_empty=True),
        slots=max(1, report.slots),
        state=BackendState(report.state.value),
        cold_left_s=report.cold_left_ms / _MS_PER_S,
        sequence=report.seq,
    )


def decode_departure(name: str, body: bytes) -> BackendReport:
    """Decode the deregistration of the backend server ``name``.

    :raises ValueError: if the body is not empty and not a valid deregistration.
    """
    departure = decode_strictly(body, _Departure) if body else _Departure()
    return departure_report(backend_id(checked_segment(name), departure.born))


def encode_report_reply(report_to: str) -> bytes:
    """Encode the reply to a report; ``report_to`` is the address for the next one."""
    return msgspec.json.encode(_ReportReply(heartbeat_addr=report_to))


def report_path(instance: str) -> str:
    """Return the path to which a backend server sends its reports."""
    return _INSTANCES_PATH + name_of(instance)


def encode_report(report: BackendReport) -> bytes:
    """Encode a report as a backend server sends it."""
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
