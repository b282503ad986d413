"""Write log lines without ever waiting for whoever reads them."""
