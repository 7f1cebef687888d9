"""A settings file that changes while the process runs."""

import dataclasses
import time

import pytest

from cardamombarrow.kernel import reloading
from cardamombarrow.kernel import settings


@dataclasses.dataclass(frozen=True)
class _Part:
    name: str = settings.setting(help="a required key")
    names: tuple[str, ...] = settings.setting((), help="names")
    size: int = settings.setting(1, help="size")


@dataclasses.dataclass(frozen=True)
class _Settings:
    part: _Part


@pytest.fixture
def path(tmp_path):
    path = tmp_path / "settings.ini"
    path.write_text("[part]\nname = x\nnames = a\n")
    return path


@pytest.fixture
def applied():
    return []


@pytest.fixture
def reloader(path, applied):
    current = settings.read(_Settings, path)
    appliers = {"part.names": lambda new: applied.append(new.part.names)}
    made = reloading.Reloader(path, current, appliers)
    made.start()
    yield made
    made.stop()


def _wait(applied, count):
    deadline_s = time.monotonic() + 10
    while len(applied) < count and time.monotonic() < deadline_s:
        time.sleep(0.01)


def test_a_change_is_applied_on_request(path, applied, reloader):
    path.write_text("[part]\nname = x\nnames = a, b\nsize = 2\n")
    reloader.request_reload()
    _wait(applied, 1)
    assert applied == [("a", "b")]


def test_a_file_with_mistakes_changes_nothing(path, applied, reloader):
    # The file is read while it is being written, or has a mistake. The
    # process continues with its current settings.
    path.write_text("[part]\nname = x\nsize = many\n")
    reloader.request_reload()
    path.unlink()
    reloader.request_reload()
    path.write_text("[part]\nname = x\nnames = c\n")
    reloader.request_reload()
    _wait(applied, 1)
    assert applied == [("c",)]


def test_changed_keys_are_named_by_section():
    old = _Settings(_Part("x", ("a",), 1))
    new = _Settings(_Part("x", ("a",), 2))
    assert reloading.changed_keys(old, new) == {"part.size"}
