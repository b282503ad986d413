"""Read and validate the settings files of both daemons."""
