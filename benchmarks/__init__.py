"""Measurements that developers run; see docs/design."""
