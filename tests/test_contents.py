"""Contents: the same work under any id, and nothing else, has the same identity."""

from hypothesis import given
from hypothesis import strategies as st

from ringseam.contents import request_content_id
from ringseam.web.server import Request

parts = st.tuples(st.text(max_size=4), st.text(max_size=4), st.binary(max_size=8))


def identity(parts=('acme', '/a/b', b'body'), *, attempt='r1', secret=b'key', method='POST'):
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
def test_another_id_is_the_same_content(parts, first, second):
    assert identity(parts, attempt=first) == identity(parts, attempt=second)


@given(one=parts, other=parts)
def test_contents_differ_when_anything_of_them_does(one, other):
    assert (identity(one) == identity(other)) == (one == other)


def test_text_that_moves_between_parts_makes_another_content():
    assert identity(('ac', 'me/a', b'')) != identity(('acme', '/a', b''))


def test_an_identity_tells_nothing_without_the_secret():
    assert identity(secret=b'one') != identity(secret=b'two')


def test_another_method_is_another_content():
    assert identity(method='PUT') != identity(method='POST')
