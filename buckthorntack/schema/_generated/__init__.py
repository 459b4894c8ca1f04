"""Types generated from the schemas; see tools/generate.py."""
