"""Content ids: equal for the same work under any request id, and different otherwise."""

from hypothesis import given
from hypothesis import strategies as st

from ringseam.contents import request_content_id
from ringseam.web.server import Request

parts = st.tuples(st.text(max_size=4), st.text(max_size=4), st.binary(max_size=8))


def content_id(parts=('acme', '/a/b', b'body'), *, attempt='r1', secret=b'key', method='POST'):
    account, target, body = parts
    request = Request(
        method=method,
        target=target,
        headers=[('Attempt-Id', attempt), ('Deadline-Ms', attempt)],
        body=body,
        arrived=0,
    )
    return request_content_id(request, host='h.example', account=account, secret=secret)


@given(parts=parts, first=st.text(), second=st.text())
def test_content_id_ignores_the_request_id(parts, first, second):
    assert content_id(parts, attempt=first) == content_id(parts, attempt=second)


@given(one=parts, other=parts)
def test_content_id_depends_on_every_part(one, other):
    assert (content_id(one) == content_id(other)) == (one == other)


def test_content_id_depends_on_the_boundaries_of_parts():
    assert content_id(('ac', 'me/a', b'')) != content_id(('acme', '/a', b''))


def test_content_id_depends_on_the_secret():
    assert content_id(secret=b'one') != content_id(secret=b'two')


def test_content_id_depends_on_the_method():
    assert content_id(method='PUT') != content_id(method='POST')
