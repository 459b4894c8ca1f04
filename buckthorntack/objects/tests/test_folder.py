import json

from buckthorntack import objects
from buckthorntack.objects.tests import sets


def test_findings_name_their_file(tmp_path):
    named_objects = sets.with_fields("Organisation", "council", quota="x")
    first, second = named_objects[:10], named_objects[10:]
    text = "// with a comment\n" + json.dumps(second)
    (tmp_path / "a.json").write_text(json.dumps(first))
    (tmp_path / "b.json").write_text(text)
    loaded = objects.check_folder(tmp_path)
    assert loaded.named_objects == named_objects
    (found,) = loaded.findings
    line = objects.format_finding(found)
    assert line.startswith("b.json: Organisation council: quota: ")
    assert "remedy: add Quota 'x'" in line


def test_unreadable_files_are_told_together(tmp_path):
    (tmp_path / "a.json").write_text("[")
    (tmp_path / "b.json").write_text('{"kind": "Region", "kind": "Quota"}')
    (tmp_path / "c.json").write_bytes(b"\xff")
    (tmp_path / "d.json").write_text("[" * 100_000)
    (tmp_path / "e.json").write_text('{"kind": "Region", "object": {}}')
    loaded = objects.load_folder(tmp_path)
    files = [found["file"] for found in loaded.findings]
    assert files == ["a.json", "b.json", "c.json", "d.json"]
    assert len(loaded.named_objects) == 1


def test_missing_or_empty_folder_is_a_finding(tmp_path):
    for folder in (tmp_path, tmp_path / "absent"):
        (found,) = objects.check_folder(folder).findings
        assert found["remedy"] == "name the folder that holds the objects"
