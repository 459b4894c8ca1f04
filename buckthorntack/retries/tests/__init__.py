"""Tests of the retries package."""
