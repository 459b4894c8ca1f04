import datetime

from buckthorntack.configuration import _transfer
from buckthorntack.schema import messages

NOW = datetime.timedelta(seconds=1)


def _chunk(index):
    return messages.ConfigurationChunk(
        revision=7, index=index, chunks=40, data=b"x"
    )


def test_a_repeated_chunk_asks_for_nothing_more():
    transfer = _transfer.CopyTransfer("source", NOW)
    assert transfer.add_chunk(_chunk(0), NOW)
    assert transfer.add_chunk(_chunk(1), NOW)
    assert transfer.add_chunk(_chunk(1), NOW) == []
    assert transfer.add_chunk(_chunk(0), NOW) == []
