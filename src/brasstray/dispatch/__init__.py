"""Run jobs: send each task to a minion and collect the results into one answer."""
