"""Benchmarks, run by hand or by make."""
