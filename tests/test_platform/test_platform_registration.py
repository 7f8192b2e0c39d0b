"""Reports of backend servers: which names are accepted."""

from __future__ import annotations

import json

import pytest

from ringseam.platform.registration import decode_departure, decode_report

REPORT = {'service': 's', 'addr': '1.2.3.4:5', 'zone': 'z', 'seq': 1}
LONGEST = 255 * 'x'


def decode(name='i-1', **fields):
    return decode_report(name, json.dumps({**REPORT, **fields}).encode())


# Fault: texts of any length and content went into headers, logs, metrics and all replies.
@pytest.mark.parametrize('text', [LONGEST + 'x', 'a\x00', 'a\r\nb: c', '\x7f', 60_000 * 'x'])
@pytest.mark.parametrize('field', ['service', 'zone', 'version'])
def test_texts_that_are_no_names_are_refused(field, text):
    with pytest.raises(ValueError, match=field):
        decode(**{field: text})


@pytest.mark.parametrize('text', ['Thi\u00e8s', '\u65e5\u672c', LONGEST, 'a b', 'a/b:c'])
@pytest.mark.parametrize('field', ['service', 'zone', 'version'])
def test_other_texts_come_back_as_they_were(field, text):
    name = 'software' if field == 'version' else field
    assert getattr(decode(**{field: text}), name) == text


def test_a_service_needs_a_name_and_a_version_does_not():
    with pytest.raises(ValueError, match='service is empty'):
        decode(service='')
    assert decode(version='').software == ''


@pytest.mark.parametrize('name', [LONGEST + 'x', 'a b', 'a\x00', 'Thi\xe8s', '\x80'])
def test_names_in_the_path_that_no_header_carries_are_refused(name):
    with pytest.raises(ValueError, match='path'):
        decode(name)
    with pytest.raises(ValueError, match='path'):
        decode_departure(name, b'')


@pytest.mark.parametrize('name', ['i-7f3a91c2', LONGEST, 'a%2Fb', 'a.b_c~'])
def test_other_names_in_the_path_are_kept(name):
    assert decode(name).instance == name
