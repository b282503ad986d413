"""Measure the performance of brasstray against stand-ins and real processes."""
