Feature: Minions fail

  Scenario Outline: A minion with tasks that may not be repeated is lost
    A minion with some of a job's tasks <fault>. The job fails at once, and each task is
    reported as done, not run or may have run.
    Cause: a start without a reply may have run.

    Given 1 data centre with 3 entry hosts
    When a caller submits a leave settlement of 100 tasks
    And 1.5 s pass
    And a minion with a task <fault>
    And 5 s pass
    Then the answer is failed because of task_doubtful
    And no task starts more than once
    And each task is reported correctly

    Examples:
      | fault            |
      | dies             |
      | fails every task |

  Scenario: A minion with tasks that may be repeated dies
    The job continues after a minion dies: its tasks are sent to other minions.
    Cause: a lost minion; the job's tasks are idempotent.

    Given 1 data centre with 3 entry hosts
    When a caller submits a rerun of 100 tasks that may be repeated
    And 1.5 s pass
    And a minion with a task dies
    And 30 s pass
    Then the answer is complete

  Scenario: A minion's replies never arrive
    A job has tasks on a minion whose replies never arrive. The caller gets a failed
    answer after the task timeout, with these tasks reported as may have run.
    Cause: a network device between the two ends dropped the connection's state.

    Given 1 data centre with 3 entry hosts
    When minion 1 stops responding
    And a caller submits a leave settlement of 20 tasks
    And 40 s pass
    Then the answer is failed because of task_doubtful
    And no task starts more than once
    And each task is reported correctly

  Scenario Outline: A minion that accepts no work does not fail a job
    A minion <fault>; the job completes on the other minions.
    Cause: the platform's list lags behind the minion's state.

    Given 1 data centre with 3 entry hosts
    When minion 1 <fault>
    And a caller submits a leave settlement of 100 tasks
    And 30 s pass
    Then the answer is complete
    And no task starts more than once
    And minion 1 receives at most 0 starts

    Examples:
      | fault                              |
      | refuses work because it is leaving |
      | is dead                            |

  Scenario: The platform lists a minion as leaving
    Three seconds after the list shows a minion as leaving, no new task is sent to it.
    Cause: planned removal of the minion.

    Given 1 data centre with 3 entry hosts
    When the platform lists minion 1 as leaving
    And 3 s pass
    And a caller submits a leave settlement of 100 tasks
    And 30 s pass
    Then the answer is complete
    And minion 1 receives at most 0 starts
