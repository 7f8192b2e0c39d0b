"""What control accepts from outside can be logged, stored, passed on and read back equal."""

from __future__ import annotations

import asyncio
import contextlib
import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

from ringseam.backends import BackendId, BackendReport, BackendState, GatewayState
from ringseam.commands import DocumentPut, DrainZone, PutDocument, RetireBackend
from ringseam.control.follow import FollowedState, FollowService
from ringseam.control.raftlog import EntryKind, LogEntry
from ringseam.control.replicamessages import Leadership, NotLeading, Propose
from ringseam.control.state import StateMachine, encode_command
from ringseam.control.storage import Storage
from ringseam.envelopes import AuthenticatedCodec, ReceivedMessage
from ringseam.errors import FindingsError
from ringseam.followmessages import ReportRejected, WatchReply, WatchRequest, ZoneOrder
from ringseam.node import Node
from ringseam.platform.manifest import decode_manifest
from ringseam.platform.registration import decode_departure, decode_report
from ringseam.platform.zones import decode_zone_order
from ringseam.routes import ServiceName
from tests.fakes import MemoryFiles, Network

#: Any text that JSON can hold; odd ones are drawn often enough to be found.
ODD_TEXTS = ('\ud800', 'a\udfff', '\x00', 'a\r\nb: c', '\ufeff', 256 * 'x')
texts = st.text(st.characters(exclude_categories=()), max_size=6) | st.sampled_from(ODD_TEXTS)
numbers = st.integers() | st.sampled_from([-1, 0, 2**53, 2**63 - 1, 2**63, 2**64, 10**40])
values = st.none() | st.booleans() | numbers | st.floats() | texts | st.lists(texts, max_size=2)
REPORT = {'service': 's', 'addr': '1.2.3.4:5', 'zone': 'z', 'seq': 1}
REPORT_FIELDS = (*REPORT, 'state', 'born', 'version', 'slots', 'cold_left_ms', 'other')
SERVICE = {'name': 's'}
ROUTE = {
    'name': 'r',
    'host': 'h',
    'path_prefix': '/a/',
    'kind': 'stream',
    'timeout_ms': 1,
    'service': 's',
}
DOCUMENT = {'version': 1, 'routes': [ROUTE], 'services': [SERVICE]}
#: What a host with a link of 100 Mbit/s sends in half a second, a quarter of the time in which a
#: document has to be in force.
MAX_REPLY_BYTES = 6_250_000
ROUTE_FIELDS = (*ROUTE, 'slo_ms', 'priority', 'max_attempts', 'gap_aim_ms', 'sticky')
SERVICE_FIELDS = ('health_path', 'max_conns', 'cold_s', 'cold_per_s')
PIECES_FIELDS = ('slots', 'queue', 'batch', 'call_ms', 'item_ms', 'room_mb', 'handle_s')
LIMIT_FIELDS = ('max_header_bytes', 'max_body_bytes', 'header_timeout_ms', 'idle_timeout_ms')
LEADING = Leadership(term=3, leader='c1', can_serve=True, voters=5, members=('c1',))


def some_of(fields):
    return st.fixed_dictionaries({}, optional=dict.fromkeys(fields, values))


def few_of(fields):
    """Return odd values for one or two fields; the others make the message acceptable."""
    odd_texts = st.sampled_from(ODD_TEXTS)
    names = st.sampled_from(fields)
    return st.dictionaries(names, values, max_size=2) | st.dictionaries(
        names, odd_texts, max_size=2
    )


def new_node():
    return Node(name='c1', role='control', address='c1', secret=b'x')


def new_service():
    async def commit(command):
        return StateMachine().apply(encode_command(command))

    service = FollowService(
        node=new_node(),
        submit=commit,
        confirm_leadership=None,
        target_voters=5,
        report_interval_s=1.2,
    )
    service.update_leadership(LEADING)
    return service


def commit_and_restart(command):
    """Return the state after a command went through the log on disk and a snapshot."""
    files = MemoryFiles()
    storage = Storage(files=files)
    storage.load()
    entry = LogEntry(1, 1, EntryKind.command, encode_command(command))
    storage.save(hard_state=None, truncate_from=None, entries=[entry])
    machine = StateMachine()
    for logged in Storage(files=files).load().log.entries:
        machine.apply(logged.payload)
    return StateMachine(snapshot=machine.snapshot()).state


def sent(message, message_type):
    """Return a message as another process receives it."""
    codec = AuthenticatedCodec(node=new_node())
    return codec.decode(codec.encode(message, message_type), message_type).body


async def watch(service):
    request = WatchRequest(gateway=GatewayState(name='g', address='a', zone='z'), number=1)
    return await service.watch(ReceivedMessage('g', 'a', '', 0, request))


@given(some_of(REPORT_FIELDS) | few_of(REPORT_FIELDS))
def test_any_report_is_refused_or_comes_back_equal(fields):
    try:
        report = decode_report('i-1', json.dumps({**REPORT, **fields}).encode())
    except ValueError:
        return
    assert sent(report, BackendReport) == report
    assert report.instance in commit_and_restart(RetireBackend(instance=report.instance)).retired
    service = new_service()
    service.directory.report(report, service.node.clock.now())
    reply = sent(asyncio.run(watch(service)), WatchReply).reply
    assert reply.reports == (report,)


@given(some_of(['born', 'other']))
def test_any_departure_is_refused_or_comes_back_equal(fields):
    try:
        report = decode_departure('i-1', json.dumps(fields).encode())
    except ValueError:
        return
    assert sent(report, BackendReport) == report
    assert report.instance in commit_and_restart(RetireBackend(instance=report.instance)).retired


@given(
    few_of(['version', 'other']),
    some_of(ROUTE_FIELDS) | few_of(ROUTE_FIELDS),
    some_of(SERVICE_FIELDS),
    some_of(PIECES_FIELDS),
    some_of(LIMIT_FIELDS),
    texts,
)
def test_any_document_is_refused_or_comes_back_equal(
    fields, route, service, pieces, limits, account
):
    document = {
        'version': 7,
        'routes': [{**ROUTE, **route}],
        'services': [{**SERVICE, **service, 'pieces': pieces}],
        'tenants': [{'name': account}],
        'limits': limits,
        **fields,
    }
    check_document(json.dumps(document).encode())


@given(st.fixed_dictionaries({}, optional={'version': values, 'other': values}))
def test_any_version_is_refused_or_comes_back_equal(fields):
    document = {'version': 7, 'routes': [ROUTE], 'services': [SERVICE], **fields}
    check_document(json.dumps(document).encode())


def check_document(body):
    try:
        number = decode_manifest(body).number
    except FindingsError:
        return
    state = commit_and_restart(PutDocument(number=number, document=body))
    assert (state.number, state.document) == ((number, body) if number else (0, b''))


@given(st.text(st.characters(max_codepoint=255), max_size=12), st.sampled_from(['POST', 'DELETE']))
def test_any_zone_order_is_refused_or_comes_back_equal(name, method):
    """Paths are decoded as Latin-1."""
    try:
        order = decode_zone_order(method, f'/api/evacuate/{name}', b'')
    except ValueError:
        return
    assert sent(order, ZoneOrder) == order
    state = commit_and_restart(DrainZone(zone=order.zone, drained=order.drained))
    assert state.zones.names == ((order.zone,) if order.drained else ())


# Fault: a command that can't be encoded ended the process of each leader to which it was sent.
@pytest.mark.parametrize(
    'command',
    [PutDocument(number=2**64, document=b''), DrainZone(zone='\ud800', drained=True)],
)
def test_command_that_cannot_be_encoded_is_refused_and_the_leader_goes_on(command):
    network = Network()
    leader = network.await_leader()
    reply = network.ask(leader, Propose(command=command))
    assert isinstance(reply.sent, NotLeading)
    reply = network.ask(leader, Propose(command=PutDocument(number=1, document=b'x')))
    network.run_until(lambda: reply.sent is not None)
    assert isinstance(reply.sent, DocumentPut)


def many_reports(count, size):
    """Return reports of many servers with texts as large as are accepted, at most ``size``."""
    for number in range(count):
        body = {'service': f'{number:x}'.rjust(size, 's'), 'addr': '1.2.3.4:5', 'seq': 1}
        body |= {'zone': size * 'z', 'version': size * 'v'}
        with contextlib.suppress(ValueError):
            yield decode_report(f'{number}'.rjust(size, 'n'), json.dumps(body).encode())


# Fault: bounds on one report were none on their sum, which each new gateway gets in one reply.
@pytest.mark.parametrize('size', [255, 256, 15_000])
def test_reports_of_many_writers_leave_replies_to_gateways_small(size):
    async def run():
        service = new_service()
        service.update_state(FollowedState(number=1, document=json.dumps(DOCUMENT).encode()))
        for odd in many_reports(6000, size):
            await service.accept_report(odd)
        await service.accept_report(decode_report('i-1', json.dumps(REPORT).encode()))
        return await watch(service)

    reply = asyncio.run(run())
    assert len(AuthenticatedCodec(node=new_node()).encode(reply, WatchReply)) < MAX_REPLY_BYTES
    assert any(known.service == 's' for known in reply.reply.reports)


# Fault: one report that can't be encoded kept all gateways from hearing of the others.
def test_report_that_cannot_be_encoded_harms_no_other():
    def report(name, service):
        return BackendReport(
            instance=BackendId(name),
            service=ServiceName(service),
            address='1.2.3.4:5',
            zone='z',
            sequence=1,
            state=BackendState.ready,
        )

    async def run():
        service = new_service()
        refused = await service.accept_report(report('i-1', '\ud800'))
        await service.accept_report(report('i-2', 's'))
        return refused, await watch(service)

    refused, reply = asyncio.run(run())
    assert isinstance(refused, ReportRejected)
    assert [known.instance for known in sent(reply, WatchReply).reply.reports] == ['i-2']
