"""Headers of requests, calls and responses; bodies of reports and stage calls."""

from __future__ import annotations

import json

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from ringseam.backends import BackendReport, BackendState
from ringseam.calls import MAX_PIECES, CallHeaders, ServerLoad
from ringseam.platform.registration import decode_departure, decode_report, instance_in_path
from ringseam.platform.requests import (
    RESERVED_HEADERS,
    decode_request,
    decode_response_metadata,
    encode_call_headers,
    find_reserved_headers,
    notice_headers,
    stage_call_headers,
)
from ringseam.platform.stages import (
    PieceFault,
    PieceRequest,
    decode_results,
    encode_piece_requests,
    server_address_of,
)
from ringseam.web.bodies import encode_headers, end_to_end_headers, find_header
from ringseam.web.client import ResponseHead
from ringseam.web.exchange import Request

HEADERS = [
    ('Host', 'A.example:80'),
    ('Attempt-Id', 'r1'),
    ('Deadline-Ms', '1500'),
    ('Authorization', 'Bearer secret'),
    ('Token-Counts', '1460,80'),
    ('Prompt-Prefix', 'aa:800,bb:410'),
    ('Pieces', '2,0,3'),
    ('Piece-Key', 'pk'),
    ('Last-Event-Id', '12'),
    ('Resumes', 'r0'),
    ('Tenant', 'forged'),
    ('Expect-Instance', 'forged'),
    ('X-Other', 'kept'),
]


def request(headers):
    return Request(method='POST', target='/x/y?z=1', headers=headers, body=b'', arrived=0)


def test_request_is_decoded():
    decoded = decode_request(request(HEADERS))
    assert decoded.host == 'a.example'
    assert decoded.path == '/x/y'
    assert decoded.time_left_s == 1.5
    assert decoded.key == 'secret'
    assert (decoded.prompt_tokens, decoded.output_tokens) == (1460, 80)
    assert [part.tokens for part in decoded.prefix] == [800, 410]
    assert decoded.pieces == (2, 0, 3)
    assert decoded.last_event == 12
    assert decoded.resumes == 'r0'


@given(st.lists(st.tuples(st.sampled_from([name for name, _ in HEADERS]), st.text(max_size=12))))
def test_headers_of_any_text_are_read(headers):
    decode_request(request(headers))


def test_call_headers_are_set_by_the_system_and_not_by_the_client():
    call = CallHeaders(
        instance='i-1', time_left_s=0.75, account='t', inputs=('h1', 'h2'), last_event=20
    )
    sent = encode_call_headers(HEADERS, call)
    names = [name for name, _ in sent]
    assert find_header(sent, 'Deadline-Ms') == '750'
    assert find_header(sent, 'Expect-Instance') == 'i-1'
    assert find_header(sent, 'Tenant') == 't'
    assert find_header(sent, 'Inputs') == 'h1,h2'
    assert find_header(sent, 'Last-Event-Id') == '20'
    assert find_header(sent, 'X-Other') == 'kept'
    assert find_header(sent, 'Attempt-Id') == 'r1'
    assert 'Authorization' not in names
    assert len(names) == len(set(names))


#: Each of these headers can make an engine reject a request or run it for another account.
RESERVED = ('Tenant', 'Expect-Instance', 'Request-Urgency', 'Inputs', 'Hold', 'Pin-Ms')
RESERVED_FOR_COPIES = ('Kv-Backup', 'Kv-Fetch', 'Kv-From')


def test_all_claiming_headers_are_reserved():
    assert {name.lower() for name in RESERVED + RESERVED_FOR_COPIES} == RESERVED_HEADERS


@pytest.mark.parametrize('name', sorted(RESERVED_HEADERS))
@pytest.mark.parametrize('change_case', [str.lower, str.upper, str.title])
@pytest.mark.parametrize('times', [1, 2, 200])
def test_reserved_headers_of_clients_are_not_forwarded(name, change_case, times):
    forged = [(change_case(name), 'forged')] * times
    sent = encode_call_headers(
        end_to_end_headers([*HEADERS, *forged]),
        CallHeaders(instance='i-1', time_left_s=1, account='t', urgency=2, inputs=('h1',)),
    )
    assert 'forged' not in [text for _, text in sent]
    assert len(find_reserved_headers([*HEADERS, *forged])) == times + 2


@pytest.mark.parametrize('name', ['Tenant', 'Expect-Instance', 'Inputs', 'Deadline-Ms'])
def test_connection_header_of_a_client_removes_no_system_header(name):
    sent = encode_call_headers(
        end_to_end_headers([*HEADERS, ('Connection', name)]),
        CallHeaders(instance='i-1', time_left_s=1, account='t', inputs=('h1',)),
    )
    assert find_header(sent, name) in {'t', 'i-1', 'h1', '1000'}


def test_last_event_id_of_the_client_is_forwarded():
    sent = encode_call_headers(HEADERS, CallHeaders(instance='i', time_left_s=1))
    assert find_header(sent, 'Last-Event-Id') == '12'


@pytest.mark.parametrize(
    ('status', 'headers', 'not_run'),
    [
        (200, [('Server-Seal', 's')], False),
        (503, [('Not-Executed', '1')], True),
        (503, [('Server-Seal', 's')], False),
        (421, [('Instance-Id', 'i-2')], True),
        (500, [], False),
    ],
)
def test_response_that_states_that_the_request_was_not_run(status, headers, not_run):
    assert decode_response_metadata(ResponseHead(status=status, headers=headers)).not_run is not_run


@pytest.mark.parametrize(
    ('text', 'load'),
    [
        ('1,2,3', ServerLoad(running=1, waiting=2, slots=3)),
        ('1,2,3,250', ServerLoad(running=1, waiting=2, slots=3, slowdown=2.5)),
        (' 0, 0, 64, 55 ', ServerLoad(running=0, waiting=0, slots=64, slowdown=0.55)),
    ],
)
def test_load_has_three_figures_or_four(text, load):
    decoded = decode_response_metadata(ResponseHead(status=200, headers=[('Worker-Load', text)]))
    assert decoded.load == load
    assert not decoded.load_malformed
    assert ServerLoad.from_figures(load.figures) == load


@pytest.mark.parametrize(
    'text',
    [
        *('1,2', '1,2,3,4,5', 'a,b,c', '1,2,x', '1,x,2,3', '1,2,3,', ',1,2,3', '-1,2,3', '1,2,-3'),
        *('1.5,2,3', '1,2,3,1.5', '1,2,3,nan', '1,2,3,-100', '1,2,3,1e2', '1;2;3', '1,2,3,+100'),
        *('1,2,0', '1,2,3,0', '9999999,2,3', '1,2,3,99999', '9' * 5000, '\uff11,2,3', '1_0,2,3'),
    ],
)
def test_malformed_load_is_none_and_said_to_be_malformed(text):
    decoded = decode_response_metadata(ResponseHead(status=200, headers=[('Worker-Load', text)]))
    assert decoded.load is None
    assert decoded.load_malformed


@pytest.mark.parametrize('load', [None, ServerLoad(running=1, waiting=0, slots=4, slowdown=2.5)])
@pytest.mark.parametrize('per_s', [None, 12.5])
@pytest.mark.parametrize('leaving', [False, True])
def test_notices_are_decoded_as_they_are_announced(load, per_s, leaving):
    headers = notice_headers(per_s=per_s, leaving=leaving, load=load)
    decoded = decode_response_metadata(ResponseHead(status=200, headers=headers))
    assert (decoded.load, decoded.rate_limit_per_s, decoded.leaving) == (load, per_s, leaving)


def test_absent_load_is_not_malformed():
    decoded = decode_response_metadata(ResponseHead(status=200, headers=[]))
    assert decoded.load is None
    assert not decoded.load_malformed


@given(st.text(max_size=40))
def test_any_load_is_read_or_malformed(text):
    decoded = decode_response_metadata(ResponseHead(status=200, headers=[('Worker-Load', text)]))
    assert decoded.load_malformed == (bool(text) and decoded.load is None)


def test_number_of_thousands_of_digits_counts_as_absent():
    assert decode_request(request([('Deadline-Ms', '9' * 5000)])).time_left_s is None


#: Counts that no request may have; the tuple of so many pieces doesn't fit into memory.
INVALID_PIECES = (
    *('9' * 18, f'1,{"9" * 18}', '9' * 5000, str(MAX_PIECES + 1), f'{MAX_PIECES},1'),
    *('-1', '1,-2', ',', ',' * 5000, '1,,2', '1,', ',1', 'x', '1,x', '1.5', '1e3', '\uff11'),
)


# Fault: a count was taken as it came, and a malformed one was left out, which moved the others.
@pytest.mark.parametrize('text', INVALID_PIECES)
def test_invalid_numbers_of_pieces_are_said_to_be_invalid(text):
    decoded = decode_request(request([('Pieces', text)]))
    assert decoded.has_invalid_pieces
    assert decoded.pieces == ()


@pytest.mark.parametrize('counts', [(0,), (1,), (2, 0, 3), (MAX_PIECES,), (0,) * 4000])
def test_numbers_of_pieces_are_decoded(counts):
    decoded = decode_request(request([('Pieces', ', '.join(map(str, counts)))]))
    assert decoded.pieces == counts
    assert not decoded.has_invalid_pieces


def test_request_without_numbers_of_pieces_is_valid():
    decoded = decode_request(request([]))
    assert decoded.pieces == ()
    assert not decoded.has_invalid_pieces


@given(st.text(alphabet='0123456789,- x', max_size=40))
def test_any_numbers_of_pieces_are_decoded_whole_or_invalid(text):
    decoded = decode_request(request([('Pieces', text)]))
    assert sum(decoded.pieces) <= MAX_PIECES
    assert all(count >= 0 for count in decoded.pieces)
    if decoded.pieces:
        assert len(decoded.pieces) == text.count(',') + 1
    assert decoded.has_invalid_pieces == (bool(text) and not decoded.pieces)


def test_report_is_decoded():
    body = b'{"service":"s","addr":"1.2.3.4:5","zone":"z","seq":4,"state":"draining","new":1}'
    report = decode_report('i', body)
    assert report.state is BackendState.draining
    assert report.sequence == 4


@pytest.mark.parametrize(
    'body',
    [
        b'',
        b'[]',
        b'{"service":1,"addr":"a","zone":"z","seq":1}',
        b'{"service":"s","addr":"a","zone":"z","seq":-1}',
        b'{"service":"s","addr":"a","zone":"z","seq":"1"}',
        b'{"service":"s","addr":"a","zone":"z","seq":1,"state":"odd"}',
        b'\xff\xfe',
    ],
)
def test_report_with_wrong_types_is_rejected(body):
    with pytest.raises(ValueError, match=r'\S'):
        decode_report('i', body)


VALID_REPORT = {'service': 's', 'addr': '1.2.3.4:5', 'zone': 'z', 'seq': 1, 'born': 1764633600000}
INVALID_NUMBERS = (None, True, 1.5, 1764633600000.0, -1, 2**63, 2**70, '1', [], {}, {'a': {}})


def test_start_time_of_a_server_is_part_of_its_id():
    assert decode_report('i', json.dumps(VALID_REPORT).encode()).instance == 'i#1764633600000'
    assert decode_departure('i', b'{"born":7}').instance == 'i#7'
    assert decode_departure('i', b'').instance == 'i'
    headers = CallHeaders(instance='i#1764633600000', time_left_s=1)
    assert ('Expect-Instance', 'i') in encode_call_headers([], headers)
    assert ('Expect-Instance', 'i') in stage_call_headers('i#1764633600000')


@pytest.mark.parametrize('field', ['seq', 'born', 'slots'])
@pytest.mark.parametrize('value', INVALID_NUMBERS, ids=str)
def test_report_with_an_invalid_number_is_rejected(field, value):
    with pytest.raises(ValueError, match=field):
        decode_report('i', json.dumps({**VALID_REPORT, field: value}).encode())


@pytest.mark.parametrize('missing', ['service', 'addr', 'zone', 'seq'])
def test_report_without_a_required_field_is_rejected(missing):
    fields = {name: value for name, value in VALID_REPORT.items() if name != missing}
    with pytest.raises(ValueError, match=missing):
        decode_report('i', json.dumps(fields).encode())


@pytest.mark.parametrize(
    'body',
    [
        b'{"service":"s","addr":"1.2.3.4:5","zone":"z","seq":1,"seq":2}',
        b'{"service":"s","addr":"nowhere","zone":"z","seq":1}',
        b'{"service":"s","addr":"1.2.3.4:5","zone":"z","seq":1,"new":' + b'[' * 9000 + b'1',
        b'{"service":"s","addr":"1.2.3.4:5","zone":"z","seq":1,"new":' + b'[' * 9000 + b']' * 9000,
        b'{"service":"s","addr":"1.2.3.4:5","zone":"z","seq":1e400}',
        b'nan',
    ],
    ids=['twice', 'address', 'cut', 'deep', 'huge', 'nan'],
)
def test_malformed_report_is_rejected(body):
    with pytest.raises(ValueError, match=r'\S'):
        decode_report('i', body)


json_values = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=5),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=3), inner),
    max_leaves=8,
)


@given(
    st.fixed_dictionaries({}, optional=dict.fromkeys([*VALID_REPORT, 'state', 'new'], json_values))
)
def test_any_report_is_read_or_refused(overrides):
    """A decoded report must survive MessagePack, which the log and internal calls use."""
    try:
        report = decode_report('i', json.dumps({**VALID_REPORT, **overrides}).encode())
    except ValueError:
        return
    assert msgspec.msgpack.decode(msgspec.msgpack.encode(report), type=BackendReport) == report


@given(st.binary(max_size=60))
def test_any_bytes_are_read_or_refused(body):
    for decode in (decode_report, decode_departure):
        try:
            decode('i', body)
        except ValueError:
            continue


@pytest.mark.parametrize(
    ('path', 'name'),
    [
        ('/api/instances/i-1', 'i-1'),
        ('/api/instances/', None),
        ('/api/instances/a/b', None),
        ('/api/instances/a#5', None),
    ],
)
def test_instance_in_path(path, name):
    assert instance_in_path(path) == name


def test_results_are_in_the_order_of_the_call():
    body = b'{"items":[{"handle":"1.2.3.4:5/a"},{"why":"gone"},{}]}'
    piece_results = decode_results(body, 3)
    assert server_address_of(piece_results[0].handle) == '1.2.3.4:5'
    assert [result.fault for result in piece_results] == [
        None,
        PieceFault.input_lost,
        PieceFault.error,
    ]


@pytest.mark.parametrize('body', [b'{"items":[]}', b'{"items":[{"why":"odd"}]}', b'nothing'])
def test_results_that_do_not_match_the_call_are_rejected(body):
    with pytest.raises(msgspec.MsgspecError):
        decode_results(body, 1)


def test_piece_request_without_inputs_has_its_key():
    piece_request = PieceRequest(attempt_id='r', stage=0, piece=2, time_left_s=0.9, key='k')
    assert msgspec.json.decode(encode_piece_requests([piece_request])) == {
        'items': [{'id': 'r', 'stage': 0, 'piece': 2, 'left_ms': 900, 'key': 'k'}],
    }


# Fault: acknowledged reports kept all gateways from hearing of anything, as no message can
# carry half of a surrogate pair; those with an address that is none failed requests.
@pytest.mark.parametrize(
    ('field', 'value', 'finding'),
    [
        ('service', '\ud800', 'UTF-8'),
        ('zone', 'a\udfff', 'UTF-8'),
        ('version', '\ud800', 'UTF-8'),
        ('addr', '127.0.0.1:99999', 'port'),
        ('addr', '127.0.0.1:65536', 'port'),
        ('addr', '127.0.0.1:0', 'port'),
        ('addr', '127.0.0.1:', 'port'),
        ('addr', '127.0.0.1:80\n', 'port'),
        ('addr', '127.0.0.1:٣٣', 'port'),
        ('addr', 'server.example:80', 'IPv4'),
        ('addr', '127.0.0.256:80', 'IPv4'),
        ('addr', '\ud800:80', r'\S'),
        ('cold_left_ms', 1e300, 'cold_left_ms'),
    ],
)
def test_report_that_cannot_be_passed_on_is_refused(field, value, finding):
    with pytest.raises(ValueError, match=finding):
        decode_report('i', json.dumps({**VALID_REPORT, field: value}).encode())


# Fault: each request of an account whose name is beyond ASCII failed.
def test_account_name_beyond_ascii_is_sent_as_utf_8():
    call = CallHeaders(instance='i-1', time_left_s=1, account='tør ✓', inputs=('é',))
    sent = encode_headers(encode_call_headers([], call))
    assert (b'Tenant', 'tør ✓'.encode()) in sent
    assert (b'Inputs', 'é'.encode()) in sent
