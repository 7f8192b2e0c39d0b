"""Framing of responses: the client finds the end, and takes nothing incomplete for whole."""

from __future__ import annotations

import h11
import pytest
from hypothesis import given
from hypothesis import strategies as st

from ringseam.web.responseframing import ResponseError, ResponseFraming

bodies = st.lists(st.sampled_from((b'', b'a', b'\r\n', b'0\r\n\r\n', b'b' * 300)), max_size=5)


def frame(method, version, status, headers, parts, *, keeps_alive=True):
    framing = ResponseFraming(method=method, version=version, keeps_alive=keeps_alive)
    raw = framing.encode_head(status, headers)
    raw += b''.join(framing.encode_data(part) for part in parts)
    return framing, raw + framing.encode_end()


def read_by_h11(method, raw, *, closed):
    """Return status and body as another program reads them, and whether it may go on."""
    client = h11.Connection(h11.CLIENT)
    client.send(h11.Request(method=method, target='/', headers=[('Host', 'h')]))
    client.send(h11.EndOfMessage())
    client.receive_data(raw)
    if closed:
        client.receive_data(b'')
    status, body = 0, b''
    event = client.next_event()
    while not isinstance(event, h11.EndOfMessage):
        if isinstance(event, h11.Response):
            status = event.status_code
        else:
            body += event.data
        event = client.next_event()
    return status, body, client.their_state is h11.DONE


@given(
    st.sampled_from(('GET', 'POST', 'HEAD')),
    st.sampled_from(('1.0', '1.1')),
    st.sampled_from((200, 204, 304, 404, 503)),
    st.booleans(),
    st.booleans(),
    bodies,
)
def test_response_is_read_as_it_was_sent(method, version, status, has_length, keeps_alive, parts):
    """Differential: another program reads what this one frames."""
    body = b''.join(parts)
    headers = [('X-Line', 'a'), *([('Content-Length', str(len(body)))] if has_length else [])]
    framing, raw = frame(method, version, status, headers, parts, keeps_alive=keeps_alive)
    read = read_by_h11(method, raw, closed=not framing.keeps_alive)
    is_bodiless = method == 'HEAD' or status in {204, 304}
    assert read[:2] == (status, b'' if is_bodiless else body)
    if framing.keeps_alive:
        assert read[2]
    else:
        assert b'Connection: close' in raw


def test_response_without_a_length_ends_with_the_connection_for_an_old_client():
    framing, raw = frame('GET', '1.0', 200, [], [b'ab'])
    assert raw.endswith(b'\r\n\r\nab')
    assert not framing.keeps_alive


@pytest.mark.parametrize('parts', [[b'abc'], [b'abcde'], []])
def test_body_of_another_length_than_declared_is_an_error(parts):
    """Guards against a response that a client takes for whole although it is not."""
    with pytest.raises(ResponseError):
        frame('GET', '1.1', 200, [('Content-Length', '4')], parts)


@pytest.mark.parametrize('text', ['a\r\nX: b', 'a\nb', 'a\rb', 'a\0b'])
def test_header_that_would_be_another_line_is_an_error(text):
    with pytest.raises(ResponseError):
        frame('GET', '1.1', 200, [('X', text)], [])


def test_second_head_and_parts_outside_of_a_response_are_errors():
    framing, _ = frame('GET', '1.1', 200, [], [b'a'])
    with pytest.raises(ResponseError):
        framing.encode_head(200, [])
    with pytest.raises(ResponseError):
        framing.encode_data(b'a')
    with pytest.raises(ResponseError):
        framing.encode_end()
