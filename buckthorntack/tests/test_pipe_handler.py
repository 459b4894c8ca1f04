"""Log lines to a pipe that nobody reads never hold a process up."""

import json
import os

import logbook
import pytest

from buckthorntack import logs


@pytest.fixture
def pipe():
    ends = os.pipe()
    yield ends
    for end in ends:
        os.close(end)


def read_all(descriptor):
    """Bytes that lie in a pipe."""
    os.set_blocking(descriptor, False)
    data = b""
    while True:
        try:
            data += os.read(descriptor, 1 << 20)
        except BlockingIOError:
            return data


def parse(data):
    return [json.loads(line) for line in data.splitlines()]


def test_lines_are_json_with_their_fields(pipe):
    reader, writer = pipe
    with logs.PipeHandler(writer).applicationbound():
        log = logbook.Logger("part")
        log.info("text", extra={"event": 7, "name": "n", "odd": object})
    [line] = parse(read_all(reader))
    assert (line["component"], line["event"]) == ("part", 7)
    assert "class" in line["odd"]


def test_full_pipe_does_not_block_and_is_told_of(pipe):
    reader, writer = pipe
    handler = logs.PipeHandler(writer, most_bytes=10_000)
    with handler.applicationbound():
        log = logbook.Logger("part")
        for number in range(3000):
            log.info("x" * 100, extra={"number": number})
        assert handler.left_out > 0
        data = read_all(reader)
        while handler.left_out or not data.endswith(b'again"}\n'):
            log.info("again")
            data += read_all(reader)
    lines = parse(data)
    left_out = sum(line.get("left_out_lines", 0) for line in lines)
    written = sum("level" in line for line in lines)
    assert left_out > 0
    assert written >= 3000 - left_out


def test_reader_that_is_gone_harms_nobody(pipe):
    reader, writer = os.pipe()
    os.close(reader)
    with logs.PipeHandler(writer).applicationbound():
        for _ in range(3):
            logbook.Logger("part").info("text")
    os.close(writer)
