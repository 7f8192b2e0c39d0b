"""Content ids: equal for the same work under any request id, and different otherwise."""

from hypothesis import given
from hypothesis import strategies as st

from ringseam.calls import PromptPart
from ringseam.contents import MAX_PARTS, is_part, prompt_part_ids, request_content_id
from ringseam.web.exchange import Request

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


def part_ids(*names, service='s', secret=b'key'):
    parts = [PromptPart(name=name, tokens=1) for name in names]
    return prompt_part_ids(parts, service=service, secret=secret)


def test_part_ids_are_the_same_for_the_same_hexadecimal_number():
    assert part_ids('0Ab') == part_ids('ab') == part_ids(' ab ')
    assert part_ids('ab') != part_ids('ba')


def test_part_ids_depend_on_service_and_secret():
    assert len({part_ids('a'), part_ids('a', service='t'), part_ids('a', secret=b'k')}) == 3


def test_repeated_parts_have_one_id():
    assert len(part_ids('a', 'b', 'a', 'A')) == 2


def test_number_of_part_ids_is_bounded():
    assert len(part_ids(*[f'{number:x}' for number in range(5000)])) == MAX_PARTS


def test_part_ids_are_told_from_content_ids():
    assert all(map(is_part, part_ids('a', 'b')))
    assert not is_part(content_id())
