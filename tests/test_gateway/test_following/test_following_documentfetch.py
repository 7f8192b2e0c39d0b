"""Fetching a document in parts: over slow links, with lost hosts, and as a difference."""

from __future__ import annotations

import asyncio
import os

from ringseam.control.follow import FollowedState, FollowService
from ringseam.documents import PART_BYTES
from ringseam.envelopes import ReceivedMessage
from ringseam.errors import UnreachableError
from ringseam.gateway.following.documentfetch import DocumentFetcher
from ringseam.model.virtualtime import run_virtual
from ringseam.node import Node
from tests.test_documents import document

#: Half of a link of 5 Mbit/s; requests use the other half.
BYTES_PER_S = 312_500


def host(*documents):
    """Return a control host that has some documents."""
    service = FollowService(
        node=Node(name='c', role='control', address='c:1', secret=b''),
        submit=None,
        confirm_leadership=None,
        target_voters=1,
        report_interval_s=1.2,
    )
    for number, body in documents:
        service.update_state(FollowedState(number=number, document=body))
    return service


class SlowLink:
    """Calls to control hosts over the link of one gateway, in virtual time."""

    def __init__(self, hosts, *, lost_after=None):
        self.hosts = hosts
        self.lost_after = lost_after or {}
        self.bytes = 0
        self.transfer_lock = asyncio.Lock()
        self.calls = []

    async def call(self, address, method, message, *, timeout_s):
        self.calls.append((address, message.offset))
        left = self.lost_after.get(address, 10**9)
        self.lost_after[address] = left - 1
        if address not in self.hosts or left <= 0:
            await asyncio.sleep(timeout_s)
            raise UnreachableError(address)
        received = ReceivedMessage(sender='', address='', group='', revision=0, body=message)
        reply = await self.hosts[address].documents.document_part(received)
        size = len(getattr(reply.reply, 'part', b''))
        self.bytes += size
        try:
            async with asyncio.timeout(timeout_s):
                async with self.transfer_lock:
                    await asyncio.sleep(0.003 + size / BYTES_PER_S)
        except asyncio.TimeoutError:
            raise UnreachableError('slow') from None
        return ReceivedMessage(sender='', address=address, group='', revision=0, body=reply)


def test_many_gateways_with_slow_links_fetch_a_large_document_soon():
    """Guards against slow starts after a power loss.

    All gateways start at once with 2,000 routes behind links of 5 Mbit/s, and requests have to
    be answered 12 s after a loss of all power.
    """
    whole = document(7, 2000)
    leader = host((7, whole))

    async def main(clock):
        links = [SlowLink({'c1': leader}) for _ in range(20)]
        fetchers = [DocumentFetcher(client=link) for link in links]
        got = await asyncio.gather(
            *(fetcher.fetch(['c1'], number=7, current=(0, b'')) for fetcher in fetchers)
        )
        return got, clock.now(), max(link.bytes for link in links)

    got, took_s, sent = run_virtual(main)
    assert all(body == whole for body in got)
    assert took_s < 1
    assert sent < len(whole) / 5


def test_document_of_four_megabytes_is_fetched_in_parts():
    whole = b'},{'.join(os.urandom(40).hex().encode() for _ in range(50_000))
    assert len(whole) > 4_000_000

    async def main(clock):
        link = SlowLink({'c1': host((7, whole))})
        got = await DocumentFetcher(client=link).fetch(['c1'], number=7, current=(0, b''))
        return got, len(link.calls), clock.now()

    got, calls, took_s = run_virtual(main)
    assert got == whole
    assert calls > 2_000_000 / PART_BYTES
    assert took_s < 12


def test_received_parts_are_kept_when_a_host_is_lost():
    whole = os.urandom(5 * PART_BYTES)

    async def main(clock):
        holds = host((7, whole))
        link = SlowLink({'c1': holds, 'c2': holds}, lost_after={'c1': 3})
        got = await DocumentFetcher(client=link).fetch(['c1', 'c2'], number=7, current=(0, b''))
        return got, link.calls

    got, calls = run_virtual(main)
    assert got == whole
    assert calls[4] == ('c2', 3 * PART_BYTES)


def test_change_is_sent_as_a_difference_to_the_previous_document():
    before, after = document(7, 500), document(8, 500, r20=1)

    async def main(clock):
        link = SlowLink({'c1': host((7, before), (8, after))})
        got = await DocumentFetcher(client=link).fetch(['c1'], number=8, current=(7, before))
        return got, link.bytes

    got, sent = run_virtual(main)
    assert got == after
    assert sent < 500


def test_host_without_the_current_document_sends_the_new_one_in_full():
    after = document(8, 50)

    async def main(clock):
        link = SlowLink({'c1': host((8, after))})
        return await DocumentFetcher(client=link).fetch(['c1'], number=8, current=(7, b'old'))

    assert run_virtual(main) == after


def test_host_without_the_document_is_skipped():
    after = document(8, 50)

    async def main(clock):
        link = SlowLink({'c1': host((7, b'old')), 'c2': host((8, after))})
        return await DocumentFetcher(client=link).fetch(['c1', 'c2'], number=8, current=(0, b''))

    assert run_virtual(main) == after


def test_document_that_cannot_be_decoded_is_fetched_in_full():
    before, after = document(7, 50), document(8, 50, r3=1)

    async def main(clock):
        link = SlowLink({'c1': host((7, before), (8, after))})
        fetcher = DocumentFetcher(client=link)
        first = await fetcher.fetch(['c1'], number=8, current=(7, b'something else'))
        second = await fetcher.fetch(['c1'], number=8, current=(7, b'something else'))
        return first, second

    assert run_virtual(main) == (None, after)
