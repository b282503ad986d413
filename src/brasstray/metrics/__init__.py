"""Record metrics and render them for Prometheus."""
