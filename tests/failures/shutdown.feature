Feature: An entry host is ordered to shut down

  Scenario Outline: The <role> shuts down while a job runs
    The <role> is ordered to shut down while a job runs. It finishes its running jobs,
    and submissions at other hosts receive the same answer.
    Cause: a planned restart.

    Given 1 data centre with 3 entry hosts
    When a caller submits a leave settlement of 60 tasks
    And 1 s pass
    And the <role> is ordered to shut down
    And the caller resubmits at every other host
    And 30 s pass
    Then the answer is complete
    And every final answer is the same
    And no task starts more than once
    And the host that shut down had 0 jobs left

    Examples:
      | role     |
      | executor |
      | leader   |
