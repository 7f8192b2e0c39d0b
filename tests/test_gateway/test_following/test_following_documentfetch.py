"""A document in parts: over slow links, over lost hosts, against what is held."""

from __future__ import annotations

import asyncio
import os

from ringseam.control.follow import FollowService, HeldDocument
from ringseam.documents import PART_BYTES
from ringseam.errors import UnreachableError
from ringseam.gateway.following.documentfetch import DocumentFetcher
from ringseam.model.virtualtime import run_virtual
from ringseam.node import Node
from ringseam.sealing import Received
from tests.test_documents import document

#: A link of 5 Mbit/s, of which requests leave a half.
BYTES_PER_S = 312_500


def host(*documents):
    """Return a control host that holds some documents."""
    service = FollowService(
        node=Node(name='c', role='control', address='c:1', secret=b''),
        submit=None,
        confirm=None,
        voters_needed=1,
        report_s=1.2,
    )
    for number, body in documents:
        service.hold(HeldDocument(number=number, document=body))
    return service


class SlowLink:
    """Calls to control hosts over one follower's link, in virtual time."""

    def __init__(self, hosts, *, lost_after=None):
        self.hosts = hosts
        self.lost_after = lost_after or {}
        self.bytes = 0
        self.turn = asyncio.Lock()
        self.calls = []

    async def call(self, address, method, message, *, timeout_s):
        self.calls.append((address, message.offset))
        left = self.lost_after.get(address, 10**9)
        self.lost_after[address] = left - 1
        if address not in self.hosts or left <= 0:
            await asyncio.sleep(timeout_s)
            raise UnreachableError(address)
        received = Received(sender='', address='', group='', revision=0, body=message)
        reply = await self.hosts[address].documents.document_part(received)
        size = len(getattr(reply.reply, 'part', b''))
        self.bytes += size
        try:
            async with asyncio.timeout(timeout_s):
                async with self.turn:
                    await asyncio.sleep(0.003 + size / BYTES_PER_S)
        except asyncio.TimeoutError:
            raise UnreachableError('slow') from None
        return Received(sender='', address=address, group='', revision=0, body=reply)


def test_many_followers_with_thin_links_have_a_large_document_soon():
    """Load: all gateways start at once with 2,000 routes behind links of 5 Mbit/s.
    Grounds: requests are answered 12 s after a loss of all power."""
    whole = document(7, 2000)
    leader = host((7, whole))

    async def main(clock):
        links = [SlowLink({'c1': leader}) for _ in range(20)]
        fetches = [DocumentFetcher(client=link) for link in links]
        got = await asyncio.gather(
            *(fetch.run(['c1'], number=7, held=(0, b'')) for fetch in fetches)
        )
        return got, clock.now(), max(link.bytes for link in links)

    got, took_s, sent = run_virtual(main)
    assert all(body == whole for body in got)
    assert took_s < 1
    assert sent < len(whole) / 5


def test_document_of_four_megabytes_comes_in_parts():
    whole = b'},{'.join(os.urandom(40).hex().encode() for _ in range(50_000))
    assert len(whole) > 4_000_000

    async def main(clock):
        link = SlowLink({'c1': host((7, whole))})
        got = await DocumentFetcher(client=link).run(['c1'], number=7, held=(0, b''))
        return got, len(link.calls), clock.now()

    got, calls, took_s = run_virtual(main)
    assert got == whole
    assert calls > 2_000_000 / PART_BYTES
    assert took_s < 12


def test_what_was_collected_outlives_a_lost_host():
    whole = os.urandom(5 * PART_BYTES)

    async def main(clock):
        holds = host((7, whole))
        link = SlowLink({'c1': holds, 'c2': holds}, lost_after={'c1': 3})
        got = await DocumentFetcher(client=link).run(['c1', 'c2'], number=7, held=(0, b''))
        return got, link.calls

    got, calls = run_virtual(main)
    assert got == whole
    assert calls[4] == ('c2', 3 * PART_BYTES)


def test_change_travels_as_a_difference_to_who_holds_the_one_before():
    before, after = document(7, 500), document(8, 500, r20=1)

    async def main(clock):
        link = SlowLink({'c1': host((7, before), (8, after))})
        got = await DocumentFetcher(client=link).run(['c1'], number=8, held=(7, before))
        return got, link.bytes

    got, sent = run_virtual(main)
    assert got == after
    assert sent < 500


def test_host_that_lacks_what_is_held_sends_all():
    after = document(8, 50)

    async def main(clock):
        link = SlowLink({'c1': host((8, after))})
        return await DocumentFetcher(client=link).run(['c1'], number=8, held=(7, b'old'))

    assert run_virtual(main) == after


def test_host_that_lacks_the_document_is_passed_over():
    after = document(8, 50)

    async def main(clock):
        link = SlowLink({'c1': host((7, b'old')), 'c2': host((8, after))})
        return await DocumentFetcher(client=link).run(['c1', 'c2'], number=8, held=(0, b''))

    assert run_virtual(main) == after


def test_wrong_bytes_are_fetched_again_whole():
    before, after = document(7, 50), document(8, 50, r3=1)

    async def main(clock):
        link = SlowLink({'c1': host((7, before), (8, after))})
        fetch = DocumentFetcher(client=link)
        first = await fetch.run(['c1'], number=8, held=(7, b'something else'))
        second = await fetch.run(['c1'], number=8, held=(7, b'something else'))
        return first, second

    assert run_virtual(main) == (None, after)
