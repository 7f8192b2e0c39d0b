"""Changes that the leader sends to gateways, and confirmations that it waits for."""

from __future__ import annotations

import asyncio

import msgspec
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
from ringseam.control.follow import FollowedState, FollowService
from ringseam.control.replicamessages import (
    Leadership,
    NotLeading,
    ReadConfirmed,
)
from ringseam.envelopes import ReceivedMessage
from ringseam.errors import UnreachableError
from ringseam.followmessages import (
    AcceptedDocument,
    GroupNotReady,
    ReportAccepted,
    ReportRejected,
    SubmitRequest,
    WatchReply,
    WatchRequest,
    WatchUpdate,
)
from ringseam.gateway.following.follower import Follower
from ringseam.messages import Redirect
from ringseam.node import Node
from ringseam.routes import ServiceName
from ringseam.rpc import CallClient

GATEWAY = GatewayState(name='g1', address='1.1.1.1:1', zone='a')
LEADING = Leadership(term=3, leader='c1', can_serve=True, voters=5, members=('c1', 'c2'))


def report(name='i-1', sequence=1, state=BackendState.ready):
    return BackendReport(
        instance=BackendId(name),
        service=ServiceName('s'),
        address='2.2.2.2:2',
        zone='a',
        sequence=sequence,
        state=state,
    )


def new_directory(epoch='e1'):
    return BackendDirectory(epoch=epoch, started=0, silence_timeout_s=4, gateway_timeout_s=2)


def request(**fields):
    return WatchRequest(gateway=GATEWAY, **fields)


def test_only_whole_deltas_of_a_warm_directory_tell_that_versions_are_uniform():
    """A gateway that has just started learns from them what it has not seen itself."""
    directory = new_directory()
    directory.report(report('i-1'), 0)
    assert directory.delta(request(), 4).uniform == ()
    (uniform,) = directory.delta(request(), 7).uniform
    assert (uniform.software, uniform.duration_s) == ('', 3)
    assert directory.delta(request(epoch='e1', since=directory.change), 7).uniform == ()
    other = msgspec.structs.replace(report('i-2'), software='v2')
    directory.report(other, 8)
    assert directory.delta(request(), 20).uniform == ()
    directory.report(report('i-1', 2), 10)
    directory.expire(12.5)
    (uniform,) = directory.delta(request(), 13).uniform
    assert (uniform.software, uniform.duration_s) == ('', 0.5)


def test_changed_version_is_told_to_gateways():
    directory = new_directory()
    directory.report(report('i-1'), 0)
    changed = msgspec.structs.replace(report('i-1', 2), software='v2')
    assert directory.report(changed, 1)


def test_delta_holds_what_changed_since():
    directory = new_directory()
    directory.report(report('i-1'), 0)
    first = directory.delta(request(), 0)
    assert first.whole
    directory.report(report('i-2'), 1)
    later = directory.delta(request(epoch='e1', since=first.upto), 1)
    assert [server.instance for server in later.reports] == ['i-2']
    assert not later.whole


def test_repeated_report_is_no_change():
    directory = new_directory()
    assert directory.report(report(sequence=1), 0)
    assert not directory.report(report(sequence=2), 1)


def test_silent_server_is_removed_and_announced():
    directory = new_directory()
    directory.report(report(), 0)
    upto = directory.change
    assert directory.expire(10) == ['i-1']
    assert directory.delta(request(epoch='e1', since=upto), 10).silent == ('i-1',)


def test_confirmation_needs_every_known_gateway():
    directory = new_directory()
    directory.record_watch(request(epoch='e1', since=5, number=2), 0)
    other = GatewayState(name='g2', address='1.1.1.2:1', zone='b')
    directory.record_watch(WatchRequest(gateway=other, epoch='old', since=9, number=1), 0)
    assert not directory.is_confirmed(change=5)
    assert not directory.is_confirmed(number=2)
    directory.record_watch(WatchRequest(gateway=other, epoch='e1', since=6, number=2), 1)
    assert directory.is_confirmed(change=5, number=2)


def test_silent_gateway_is_not_waited_for():
    directory = new_directory()
    directory.record_watch(request(), 0)
    directory.expire(10)
    assert directory.is_confirmed(change=99, number=99)


class Host:
    """A control host whose log commits at once, or not at all."""

    def __init__(self, *, leads=True, commits=True):
        self.commits = commits
        self.submitted = []
        self.service = FollowService(
            node=Node(name='c1', role='control', address='c1', secret=b'x'),
            submit=self.submit,
            confirm_leadership=self.confirm_leadership,
            target_voters=5,
            report_interval_s=1.2,
        )
        if leads:
            self.service.update_leadership(LEADING)

    async def submit(self, command):
        self.submitted.append(command)
        if not self.commits:
            return NotLeading()
        if hasattr(command, 'number'):
            if command.number > self.service.state.number:
                state = FollowedState(number=command.number, document=command.document)
                self.service.update_state(state)
            return DocumentPut(newest=self.service.state.number)
        state = FollowedState(
            number=self.service.state.number,
            document=self.service.state.document,
            retired=(*self.service.state.retired, command.instance),
        )
        self.service.update_state(state)
        return BackendRetired(instance=command.instance)

    async def confirm_leadership(self):
        return ReadConfirmed(term=3) if self.commits else NotLeading()


def received(body):
    return ReceivedMessage('g1', '1.1.1.1:1', '', 0, body)


def test_host_that_does_not_lead_redirects():
    async def run():
        host = Host(leads=False)
        assert isinstance(await host.service.accept_report(report()), Redirect)
        assert isinstance(
            await host.service.documents.accept(SubmitRequest(number=1, document=b'')), Redirect
        )
        assert isinstance(await host.service.documents.read_newest(), Redirect)
        watch_reply = await host.service.watch(received(request()))
        assert isinstance(watch_reply.reply, Redirect)

    asyncio.run(run())


def test_leader_without_a_quorum_acknowledges_nothing():
    async def run():
        host = Host(commits=False)
        leaving = report(state=BackendState.draining)
        assert isinstance(await host.service.accept_report(leaving), Redirect)
        assert isinstance(
            await host.service.documents.accept(SubmitRequest(number=1, document=b'')), Redirect
        )
        assert isinstance(await host.service.documents.read_newest(), Redirect)

    asyncio.run(run())


def test_resent_document_needs_no_log_entry():
    """Answers to an operator are lost, and the same large document is submitted many times."""

    async def run():
        host = Host()
        submit = SubmitRequest(number=3, document=b'd')
        assert (await host.service.documents.accept(submit)).number == 3
        again = await asyncio.gather(*(host.service.documents.accept(submit) for _ in range(20)))
        older = await host.service.documents.accept(SubmitRequest(number=2, document=b'other'))
        assert {reply.number for reply in [*again, older]} == {3}
        assert len(host.submitted) == 1
        assert host.service.state.document == b'd'
        host.commits = False
        assert isinstance(await host.service.documents.accept(submit), Redirect)

    asyncio.run(run())


def test_documents_that_wait_for_a_stalled_disk_are_bounded():
    """A commit takes seconds while operators resend eight documents each second; holding
    all of them would take a third of the memory of a 300 MB host."""

    async def run():
        host = Host()
        stalled = asyncio.Event()
        commit = host.service.submit

        async def submit_once_resumed(command):
            await stalled.wait()
            return await commit(command)

        host.service.submit = submit_once_resumed
        submissions = [
            SubmitRequest(number=number, document=bytes(2 * 2**20)) for number in range(1, 40)
        ]
        tasks = [
            asyncio.ensure_future(host.service.documents.accept(submit)) for submit in submissions
        ]
        await asyncio.sleep(0)
        refused = [task for task in tasks if task.done()]
        assert len(refused) == len(submissions) - 8
        stalled.set()
        replies = await asyncio.gather(*tasks)
        assert sum(isinstance(reply, AcceptedDocument) for reply in replies) == 8
        assert host.service.state.number == 8
        assert not host.service.documents.pending_bytes

    asyncio.run(run())


def test_delta_of_a_restarted_server_ends_its_earlier_lifetime():
    directory = new_directory()
    directory.report(report('i-1#5', sequence=900), 0)
    upto = directory.change
    assert directory.report(report('i-1#8', sequence=1), 1)
    update = directory.delta(request(epoch='e1', since=upto), 1)
    assert [server.instance for server in update.reports] == ['i-1#8']
    assert update.silent == ('i-1#5',)


def test_late_report_of_an_earlier_lifetime_changes_nothing():
    directory = new_directory()
    directory.report(report('i-1#5', sequence=3), 0)
    directory.report(report('i-1#8', sequence=1), 1)
    change = directory.change
    for state in BackendState:
        assert not directory.report(report('i-1#5', sequence=999, state=state), 2)
    assert directory.expire(10) == ['i-1#8']
    assert not directory.report(report('i-1#5', sequence=1000), 11)
    assert directory.change == change + 1


def test_late_leave_of_an_earlier_lifetime_keeps_the_later_one():
    """Also at a new leader that knows neither and receives the late leave first."""

    async def run():
        host = Host()
        late = report('i-1#5', sequence=9, state=BackendState.draining)
        await host.service.accept_report(late)
        host.service.update_leadership(Leadership(term=4, leader='c2'))
        host.service.update_leadership(Leadership(term=5, leader='c1', can_serve=True, voters=5))
        await host.service.accept_report(late)
        await host.service.accept_report(report('i-1#8', sequence=1))
        await host.service.accept_report(late)
        entries = host.service.directory.entries
        assert {name: entry.report.state for name, entry in entries.items()} == {
            'i-1#8': BackendState.ready,
        }
        assert len(host.submitted) == 1

    asyncio.run(run())


def test_leave_without_a_start_belongs_to_the_known_lifetime():
    async def run():
        host = Host()
        await host.service.accept_report(report('i-1#8'))
        await host.service.accept_report(departure_report(BackendId('i-1')))
        await host.service.accept_report(report('i-1#8', sequence=7))
        assert host.service.directory.entries['i-1#8'].report.state is BackendState.gone
        await host.service.accept_report(report('i-1#9'))
        assert host.service.directory.entries['i-1#9'].report.state is BackendState.ready

    asyncio.run(run())


def test_leave_without_a_known_lifetime_ends_all_started_ones():
    async def run():
        host = Host()
        await host.service.accept_report(departure_report(BackendId('i-1')))
        now = host.service.node.clock.wall_ms()
        for name in ('i-1', 'i-2', f'i-1#{now - 1000}'):
            assert isinstance(await host.service.accept_report(report(name)), ReportAccepted)
        entries = host.service.directory.entries.values()
        ready = [
            entry.report.instance for entry in entries if entry.report.state is BackendState.ready
        ]
        assert ready == ['i-2']

    asyncio.run(run())


def test_report_without_a_start_is_foreign_if_the_known_lifetime_has_one():
    async def run():
        host = Host()
        await host.service.accept_report(report('i-1#8'))
        assert isinstance(await host.service.accept_report(report('i-1', 99)), ReportRejected)
        assert list(host.service.directory.entries) == ['i-1#8']
        assert isinstance(await host.service.accept_report(report('i-2')), ReportAccepted)

    asyncio.run(run())


def test_first_document_waits_for_enough_voters():
    async def run():
        host = Host()
        few = Leadership(term=3, leader='c1', can_serve=True, voters=4)
        host.service.update_leadership(few)
        submit = SubmitRequest(number=1, document=b'd')
        assert isinstance(await host.service.documents.accept(submit), GroupNotReady)
        assert not host.submitted
        host.service.update_leadership(LEADING)
        assert isinstance(await host.service.documents.accept(submit), AcceptedDocument)

    asyncio.run(run())


def test_leave_is_acknowledged_once_the_gateway_confirms_it():
    async def run():
        host = Host()
        service = host.service
        await service.accept_report(report())
        first = await service.watch(received(request(number=0)))
        first_update: WatchUpdate = first.reply
        held = request(epoch=first_update.epoch, since=first_update.upto, number=0)
        service.directory.record_watch(held, service.node.clock.now())
        leave = asyncio.ensure_future(
            service.accept_report(report(sequence=2, state=BackendState.draining)),
        )
        await asyncio.sleep(0.05)
        assert not leave.done()
        update = (await service.watch(received(held))).reply
        assert update.reports[0].state is BackendState.draining
        confirmed = request(epoch=update.epoch, since=update.upto, number=0)
        watching = asyncio.ensure_future(service.watch(received(confirmed)))
        assert isinstance(await asyncio.wait_for(leave, 1), ReportAccepted)
        watching.cancel()

    asyncio.run(run())


def test_late_report_of_a_server_that_left_does_not_make_it_ready():
    async def run():
        host = Host()
        await host.service.accept_report(report(sequence=5, state=BackendState.draining))
        host.service.update_leadership(Leadership(term=4, leader='c2'))
        host.service.update_leadership(Leadership(term=5, leader='c1', can_serve=True, voters=5))
        await host.service.accept_report(report(sequence=4))
        update = host.service.directory.delta(request(), 0)
        assert [server.state for server in update.reports] == [BackendState.draining]

    asyncio.run(run())


# -- gateway -----------------------------------------------------------------


def follower():
    node = Node(name='g1', role='gateway', address='1.1.1.1:1', secret=b'x')
    return Follower(
        node=node,
        client=CallClient(node=node),
        addresses=('c1',),
        on_change=lambda: None,
    )


def watch_update(epoch='e1', upto=1, *, whole=True, warm=True, reports=(), silent=()):
    return WatchUpdate(
        epoch=epoch, upto=upto, whole=whole, warm=warm, reports=reports, silent=silent
    )


def test_new_leader_that_has_not_warmed_up_removes_no_server():
    gateway = follower()
    gateway.apply(watch_update(reports=(report('i-1'), report('i-2'))))
    gateway.apply(watch_update('e2', warm=False, reports=(report('i-1', 2),)))
    assert len(gateway.view.serving(ServiceName('s'))) == 2


def test_complete_directory_removes_missing_servers():
    gateway = follower()
    gateway.apply(watch_update(reports=(report('i-1'), report('i-2'))))
    gateway.apply(watch_update('e2', warm=False, reports=(report('i-1', 2),)))
    gateway.apply(watch_update('e2', upto=2, whole=False))
    assert gateway.epoch == ''
    gateway.apply(watch_update('e2', upto=2, reports=(report('i-1', 2),)))
    assert [server.instance for server in gateway.view.serving(ServiceName('s'))] == ['i-1']
    assert gateway.epoch == 'e2'


def test_state_change_with_an_unchanged_sequence_is_applied():
    """Otherwise a restarted gateway keeps sending to a server that has left."""
    gateway = follower()
    gateway.apply(watch_update(reports=(report('i-1', 7),)))
    gateway.apply(
        watch_update(upto=2, whole=False, reports=(report('i-1', 7, BackendState.draining),))
    )
    assert gateway.view.serving(ServiceName('s')) == []


class RecordingClient:
    """A client whose host answers watches; records the calls with their time-outs."""

    def __init__(self, reply):
        self.reply = reply
        self.calls = []

    async def call(self, address, method, request, *, timeout_s):
        self.calls.append((address, request.epoch, request.since, timeout_s))
        if self.reply is None:
            raise UnreachableError('host is down')
        body = WatchReply(reply=self.reply)
        return ReceivedMessage(sender='c', address=address, group='g', revision=0, body=body)


def test_unreachable_host_does_not_delay_the_search_for_the_leader():
    """Otherwise, after a power failure of all hosts, gateways wait for those that are
    still down while another one leads."""

    async def run():
        gateway = follower()
        gateway.client = RecordingClient(None)
        assert not await gateway._watch('down')
        gateway.client = RecordingClient(watch_update(upto=3))
        assert await gateway._watch('c1')
        assert await gateway._watch('c1')
        searched, followed = gateway.client.calls
        assert searched == ('c1', '', 0, 0.4)
        assert followed == ('c1', 'e1', 3, 1.5)

    asyncio.run(run())


@pytest.mark.parametrize(
    ('report_interval_s', 'silence_timeout_s'), [(1.2, 4.5), (0.4, 1.5), (4.0, 15.0)]
)
def test_silence_timeout_follows_the_report_interval(report_interval_s, silence_timeout_s):
    """With a fixed time-out, servers that report every 5 s would be removed and added."""
    service = FollowService(
        node=Node(name='c', role='control', address='', secret=b''),
        submit=None,
        confirm_leadership=None,
        target_voters=0,
        report_interval_s=report_interval_s,
    )
    assert service.directory.silence_timeout_s == pytest.approx(silence_timeout_s)
