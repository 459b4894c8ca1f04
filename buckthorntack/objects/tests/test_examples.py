import hashlib
import pathlib

import pytest

from buckthorntack import objects

EXAMPLES = pathlib.Path(__file__).parents[3] / "examples"


@pytest.mark.parametrize("deployment", ["hoardline", "rendimar"])
def test_example_may_be_published(deployment):
    loaded = objects.check_folder(EXAMPLES / deployment)
    assert loaded.findings == []
    published = objects.PublishedSet(1, loaded.named_objects)
    assert len(published.regions()) == 3
    for row in published.index.rows("Organisation"):
        digest = hashlib.sha256(f"demo-{row.name}".encode()).hexdigest()
        assert published.credential(digest)["organisation"] == row.name
