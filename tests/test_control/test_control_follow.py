"""What the leader tells gateways, and what it waits for before it acknowledges."""

from __future__ import annotations

import asyncio

import pytest

from ringseam.backends import (
    BackendId,
    BackendReport,
    BackendState,
    GatewayState,
    departure_report,
)
from ringseam.commands import BackendRetired, DocumentPut
from ringseam.control.backenddirectory import BackendDirectory
from ringseam.control.follow import FollowService, HeldDocument
from ringseam.control.replicamessages import (
    Leadership,
    NotLeading,
    ReadConfirmed,
)
from ringseam.errors import UnreachableError
from ringseam.following import (
    DocumentHeld,
    NotYet,
    ReportForeign,
    ReportTaken,
    Submit,
    WatchNews,
    WatchReply,
    WatchRequest,
)
from ringseam.gateway.following.follower import Follower
from ringseam.messages import Redirect
from ringseam.node import Node
from ringseam.routes import ServiceName
from ringseam.rpc import CallClient
from ringseam.sealing import Received

GATEWAY = GatewayState(name='g1', address='1.1.1.1:1', zone='a')
LEADS = Leadership(term=3, leader='c1', can_serve=True, voters=5, members=('c1', 'c2'))


def report(name='i-1', sequence=1, state=BackendState.ready):
    return BackendReport(
        instance=BackendId(name),
        service=ServiceName('s'),
        address='2.2.2.2:2',
        zone='a',
        sequence=sequence,
        state=state,
    )


def directory(epoch='e1'):
    return BackendDirectory(epoch=epoch, started=0, silent_s=4, follower_s=2)


def request(**fields):
    return WatchRequest(gateway=GATEWAY, **fields)


def test_news_are_what_changed_since():
    book = directory()
    book.report(report('i-1'), 0)
    seen = book.news(request(), 0)
    assert seen.whole
    book.report(report('i-2'), 1)
    later = book.news(request(epoch='e1', since=seen.upto), 1)
    assert [row.instance for row in later.reports] == ['i-2']
    assert not later.whole


def test_repeated_report_is_no_news():
    book = directory()
    assert book.report(report(sequence=1), 0)
    assert not book.report(report(sequence=2), 1)


def test_server_that_falls_silent_is_dropped_and_told():
    book = directory()
    book.report(report(), 0)
    upto = book.change
    assert book.expire(10) == ['i-1']
    assert book.news(request(epoch='e1', since=upto), 10).silent == ('i-1',)


def test_confirmation_needs_every_gateway_that_is_heard():
    book = directory()
    book.follow(request(epoch='e1', since=5, number=2), 0)
    other = GatewayState(name='g2', address='1.1.1.2:1', zone='b')
    book.follow(WatchRequest(gateway=other, epoch='old', since=9, number=1), 0)
    assert not book.is_confirmed(change=5)
    assert not book.is_confirmed(number=2)
    book.follow(WatchRequest(gateway=other, epoch='e1', since=6, number=2), 1)
    assert book.is_confirmed(change=5, number=2)


def test_gateway_that_fell_silent_is_not_waited_for():
    book = directory()
    book.follow(request(), 0)
    book.expire(10)
    assert book.is_confirmed(change=99, number=99)


class Bench:
    """A follow service whose log commits at once, or not at all."""

    def __init__(self, *, leads=True, commits=True):
        self.commits = commits
        self.submitted = []
        self.service = FollowService(
            node=Node(name='c1', role='control', address='c1', secret=b'x'),
            submit=self.submit,
            confirm=self.confirm,
            voters_needed=5,
            report_s=1.2,
        )
        if leads:
            self.service.lead(LEADS)

    async def submit(self, command):
        self.submitted.append(command)
        if not self.commits:
            return NotLeading()
        if hasattr(command, 'number'):
            if command.number > self.service.held.number:
                held = HeldDocument(number=command.number, document=command.document)
                self.service.hold(held)
            return DocumentPut(newest=self.service.held.number)
        held = HeldDocument(
            number=self.service.held.number,
            document=self.service.held.document,
            retired=(*self.service.held.retired, command.instance),
        )
        self.service.hold(held)
        return BackendRetired(instance=command.instance)

    async def confirm(self):
        return ReadConfirmed(term=3) if self.commits else NotLeading()


def received(body):
    return Received('g1', '1.1.1.1:1', '', 0, body)


def test_host_that_does_not_lead_sends_elsewhere():
    async def run():
        bench = Bench(leads=False)
        assert isinstance(await bench.service.take_report(report()), Redirect)
        assert isinstance(
            await bench.service.documents.accept(Submit(number=1, document=b'')), Redirect
        )
        assert isinstance(await bench.service.documents.newest(), Redirect)
        watched = await bench.service.watch(received(request()))
        assert isinstance(watched.reply, Redirect)

    asyncio.run(run())


def test_leader_without_a_quorum_acknowledges_nothing():
    async def run():
        bench = Bench(commits=False)
        leaving = report(state=BackendState.draining)
        assert isinstance(await bench.service.take_report(leaving), Redirect)
        assert isinstance(
            await bench.service.documents.accept(Submit(number=1, document=b'')), Redirect
        )
        assert isinstance(await bench.service.documents.newest(), Redirect)

    asyncio.run(run())


def test_document_that_is_sent_again_needs_no_entry_in_the_log():
    """Load: answers to an operator are lost, and a large document comes again and again."""

    async def run():
        bench = Bench()
        submit = Submit(number=3, document=b'd')
        assert (await bench.service.documents.accept(submit)).number == 3
        again = await asyncio.gather(*(bench.service.documents.accept(submit) for _ in range(20)))
        older = await bench.service.documents.accept(Submit(number=2, document=b'other'))
        assert {reply.number for reply in [*again, older]} == {3}
        assert len(bench.submitted) == 1
        assert bench.service.held.document == b'd'
        bench.commits = False
        assert isinstance(await bench.service.documents.accept(submit), Redirect)

    asyncio.run(run())


def test_documents_that_wait_for_a_stalled_disk_are_bounded():
    """Load: a commit takes seconds while eight orders come again each second.
    Grounds: all of them would take a third of a host of 300 MB."""

    async def run():
        bench = Bench()
        stalled = asyncio.Event()
        commit = bench.service.submit

        async def submit_late(command):
            await stalled.wait()
            return await commit(command)

        bench.service.submit = submit_late
        orders = [Submit(number=number, document=bytes(2 * 2**20)) for number in range(1, 40)]
        tasks = [asyncio.ensure_future(bench.service.documents.accept(order)) for order in orders]
        await asyncio.sleep(0)
        refused = [task for task in tasks if task.done()]
        assert len(refused) == len(orders) - 8
        stalled.set()
        replies = await asyncio.gather(*tasks)
        assert sum(isinstance(reply, DocumentHeld) for reply in replies) == 8
        assert bench.service.held.number == 8
        assert not bench.service.documents.waiting_bytes

    asyncio.run(run())


def test_restarted_server_is_told_with_the_end_of_its_earlier_lifetime():
    book = directory()
    book.report(report('i-1#5', sequence=900), 0)
    upto = book.change
    assert book.report(report('i-1#8', sequence=1), 1)
    told = book.news(request(epoch='e1', since=upto), 1)
    assert [row.instance for row in told.reports] == ['i-1#8']
    assert told.silent == ('i-1#5',)


def test_late_message_of_an_earlier_lifetime_changes_nothing():
    book = directory()
    book.report(report('i-1#5', sequence=3), 0)
    book.report(report('i-1#8', sequence=1), 1)
    change = book.change
    for state in BackendState:
        assert not book.report(report('i-1#5', sequence=999, state=state), 2)
    assert book.expire(10) == ['i-1#8']
    assert not book.report(report('i-1#5', sequence=1000), 11)
    assert book.change == change + 1


def test_late_leave_of_an_earlier_lifetime_leaves_the_later_one():
    """Also at a leader that has heard of neither, and of the late one first."""

    async def run():
        bench = Bench()
        late = report('i-1#5', sequence=9, state=BackendState.draining)
        await bench.service.take_report(late)
        bench.service.lead(Leadership(term=4, leader='c2'))
        bench.service.lead(Leadership(term=5, leader='c1', can_serve=True, voters=5))
        await bench.service.take_report(late)
        await bench.service.take_report(report('i-1#8', sequence=1))
        await bench.service.take_report(late)
        rows = bench.service.directory.rows
        assert {name: row.report.state for name, row in rows.items()} == {
            'i-1#8': BackendState.ready,
        }
        assert len(bench.submitted) == 1

    asyncio.run(run())


def test_leave_that_does_not_tell_its_start_counts_for_the_lifetime_that_is_known():
    async def run():
        bench = Bench()
        await bench.service.take_report(report('i-1#8'))
        await bench.service.take_report(departure_report(BackendId('i-1')))
        await bench.service.take_report(report('i-1#8', sequence=7))
        assert bench.service.directory.rows['i-1#8'].report.state is BackendState.gone
        await bench.service.take_report(report('i-1#9'))
        assert bench.service.directory.rows['i-1#9'].report.state is BackendState.ready

    asyncio.run(run())


def test_leave_at_a_leader_that_knows_no_lifetime_counts_for_all_that_have_begun():
    async def run():
        bench = Bench()
        await bench.service.take_report(departure_report(BackendId('i-1')))
        now = bench.service.node.clock.wall_ms()
        for name in ('i-1', 'i-2', f'i-1#{now - 1000}'):
            assert isinstance(await bench.service.take_report(report(name)), ReportTaken)
        rows = bench.service.directory.rows.values()
        ready = [row.report.instance for row in rows if row.report.state is BackendState.ready]
        assert ready == ['i-2']

    asyncio.run(run())


def test_report_without_a_start_is_foreign_where_the_server_tells_it():
    async def run():
        bench = Bench()
        await bench.service.take_report(report('i-1#8'))
        assert isinstance(await bench.service.take_report(report('i-1', 99)), ReportForeign)
        assert list(bench.service.directory.rows) == ['i-1#8']
        assert isinstance(await bench.service.take_report(report('i-2')), ReportTaken)

    asyncio.run(run())


def test_first_document_waits_for_enough_voters():
    async def run():
        bench = Bench()
        few = Leadership(term=3, leader='c1', can_serve=True, voters=4)
        bench.service.lead(few)
        submit = Submit(number=1, document=b'd')
        assert isinstance(await bench.service.documents.accept(submit), NotYet)
        assert not bench.submitted
        bench.service.lead(LEADS)
        assert isinstance(await bench.service.documents.accept(submit), DocumentHeld)

    asyncio.run(run())


def test_leave_is_acknowledged_once_the_gateway_has_it():
    async def run():
        bench = Bench()
        service = bench.service
        await service.take_report(report())
        first = await service.watch(received(request(number=0)))
        news: WatchNews = first.reply
        held = request(epoch=news.epoch, since=news.upto, number=0)
        service.directory.follow(held, service.node.clock.now())
        leave = asyncio.ensure_future(
            service.take_report(report(sequence=2, state=BackendState.draining)),
        )
        await asyncio.sleep(0.05)
        assert not leave.done()
        told = (await service.watch(received(held))).reply
        assert told.reports[0].state is BackendState.draining
        confirmed = request(epoch=told.epoch, since=told.upto, number=0)
        watching = asyncio.ensure_future(service.watch(received(confirmed)))
        assert isinstance(await asyncio.wait_for(leave, 1), ReportTaken)
        watching.cancel()

    asyncio.run(run())


def test_late_report_of_a_server_that_left_does_not_make_it_ready():
    async def run():
        bench = Bench()
        await bench.service.take_report(report(sequence=5, state=BackendState.draining))
        bench.service.lead(Leadership(term=4, leader='c2'))
        bench.service.lead(Leadership(term=5, leader='c1', can_serve=True, voters=5))
        await bench.service.take_report(report(sequence=4))
        news = bench.service.directory.news(request(), 0)
        assert [row.state for row in news.reports] == [BackendState.draining]

    asyncio.run(run())


# -- the gateway's side -------------------------------------------------------


def follower():
    node = Node(name='g1', role='gateway', address='1.1.1.1:1', secret=b'x')
    return Follower(
        node=node,
        client=CallClient(node=node),
        addresses=('c1',),
        on_change=lambda: None,
    )


def news(epoch='e1', upto=1, *, whole=True, warm=True, reports=(), silent=()):
    return WatchNews(epoch=epoch, upto=upto, whole=whole, warm=warm, reports=reports, silent=silent)


def test_new_leader_that_has_not_heard_all_takes_nobody_away():
    gateway = follower()
    gateway.take(news(reports=(report('i-1'), report('i-2'))))
    gateway.take(news('e2', warm=False, reports=(report('i-1', 2),)))
    assert len(gateway.view.serving(ServiceName('s'))) == 2


def test_complete_directory_drops_who_is_missing_after_asking_for_all():
    gateway = follower()
    gateway.take(news(reports=(report('i-1'), report('i-2'))))
    gateway.take(news('e2', warm=False, reports=(report('i-1', 2),)))
    gateway.take(news('e2', upto=2, whole=False))
    assert gateway.epoch == ''
    gateway.take(news('e2', upto=2, reports=(report('i-1', 2),)))
    assert [row.instance for row in gateway.view.serving(ServiceName('s'))] == ['i-1']
    assert gateway.epoch == 'e2'


def test_directory_marks_a_server_under_the_number_that_the_gateway_has():
    """Seen on the bench: a restarted gateway kept sending to a server that left."""
    gateway = follower()
    gateway.take(news(reports=(report('i-1', 7),)))
    gateway.take(news(upto=2, whole=False, reports=(report('i-1', 7, BackendState.draining),)))
    assert gateway.view.serving(ServiceName('s')) == []


class RecordedHost:
    """A leader that answers watches, and notes how long it was given."""

    def __init__(self, reply):
        self.reply = reply
        self.calls = []

    async def call(self, address, method, request, *, timeout_s):
        self.calls.append((address, request.epoch, request.since, timeout_s))
        if self.reply is None:
            raise UnreachableError('no power')
        body = WatchReply(reply=self.reply)
        return Received(sender='c', address=address, group='g', revision=0, body=body)


def test_host_without_power_does_not_hold_up_the_search_for_the_leader():
    """Seen on the bench: after all hosts had lost their power, gateways waited
    for those that were still down while another one led."""

    async def run():
        gateway = follower()
        gateway.client = RecordedHost(None)
        assert not await gateway._watch('down')
        gateway.client = RecordedHost(news(upto=3))
        assert await gateway._watch('c1')
        assert await gateway._watch('c1')
        searched, followed = gateway.client.calls
        assert searched == ('c1', '', 0, 0.4)
        assert followed == ('c1', 'e1', 3, 1.5)

    asyncio.run(run())


@pytest.mark.parametrize(('report_s', 'silent_s'), [(1.2, 4.5), (0.4, 1.5), (4.0, 15.0)])
def test_server_is_silent_by_the_interval_of_its_reports(report_s, silent_s):
    """With a fixed time, servers that report each five seconds would come and go."""
    service = FollowService(
        node=Node(name='c', role='control', address='', secret=b''),
        submit=None,
        confirm=None,
        voters_needed=0,
        report_s=report_s,
    )
    assert service.directory.silent_s == pytest.approx(silent_s)
