"""Tests of announcements that cannot be parsed."""

import pytest

from buckthorntack.entry import _backends
from buckthorntack.entry import _errors


@pytest.mark.parametrize("body", [b"", b"{", b"[]", b"\xff", b'{"slots": 0}'])
def test_unreadable_announcement_names_the_page(body):
    with pytest.raises(_errors.MalformedAnnouncementError) as caught:
        _backends._parse_announcement(body)
    assert "docs/BACKENDS.md" in caught.value.remedy
