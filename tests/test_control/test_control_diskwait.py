"""Start of a control host on a full disk."""

from __future__ import annotations

import asyncio

import pytest

from ringseam.control import diskwait
from ringseam.control.diskwait import DiskWait
from ringseam.control.storage import Storage
from ringseam.errors import StorageError
from ringseam.node import Node
from tests.fakes import MemoryFiles


class InitiallyFullDisk(MemoryFiles):
    """A disk that is full for the first ``refusals`` writes."""

    def __init__(self, refusals):
        super().__init__()
        self.refusals = refusals

    def append(self, name, chunk):
        self.full = self.refusals > 0
        self.refusals -= 1
        super().append(name, chunk)


@pytest.fixture
def logged():
    return []


@pytest.fixture
def make_wait(logged, monkeypatch, tmp_path):
    """Return a factory of waits that record the events they log."""
    monkeypatch.setattr(diskwait, 'DISK_RETRY_S', 0)
    node = Node(name='c1', role='control', address='c1', secret=b'x')
    node.events.emit = lambda logger, event, **fields: logged.append(event.name)

    def make(files):
        wait = DiskWait(node=node, folder=str(tmp_path))
        wait.storage = Storage(files=files)
        return wait

    return make


def test_probe_leaves_nothing_behind():
    files = MemoryFiles()
    storage = Storage(files=files)
    assert storage.is_writable()
    files.full = True
    assert not storage.is_writable()
    files.full = False
    assert storage.is_writable()
    assert files.names() == []


def test_start_waits_until_the_disk_takes_bytes(make_wait, logged):
    """Guards against starts that fail one after another while the disk is full.

    Without the wait, 14 starts in a row ended with storage_failed.
    """
    asyncio.run(make_wait(InitiallyFullDisk(3)).wait(lambda: False))
    assert logged == ['storage_waited_for', 'storage_regained']


def test_start_on_a_sound_disk_says_nothing(make_wait, logged):
    asyncio.run(make_wait(MemoryFiles()).wait(lambda: False))
    assert logged == []


def test_stop_ends_the_wait(make_wait):
    with pytest.raises(StorageError, match='stopped'):
        asyncio.run(make_wait(InitiallyFullDisk(10)).wait(lambda: True))
