Feature: Minions fail

  Scenario Outline: A minion is lost with tasks that may not be repeated on it
    An auditor's draw runs; a minion with some of its tasks <fault>. The draw is failed
    at once, and each task is told as done, not run or may have run.
    Cause: a start without a reply may have run.

    Given 1 data centre with 3 entry hosts
    When a caller submits a leave settlement of 100 tasks
    And 1.5 s pass
    And a minion with a task <fault>
    And 5 s pass
    Then the answer is failed because of task_doubtful
    And no task starts more than once
    And each task is told truly

    Examples:
      | fault            |
      | dies             |
      | fails everything |

  Scenario: A minion dies under a job that may be repeated
    A rerun goes on when a minion dies: its tasks are sent elsewhere.
    Cause: a lost minion; the job's tasks are idempotent.

    Given 1 data centre with 3 entry hosts
    When a caller submits a rerun of 100 tasks that may be repeated
    And 1.5 s pass
    And a minion with a task dies
    And 30 s pass
    Then the answer is complete

  Scenario: A connection to a minion goes silent
    A leave settlement has tasks on a minion whose replies never come. The manager gets
    a failed answer once the task's timeout has passed, with those as may have run.
    Cause: something between the two ends has lost track of the connection.

    Given 1 data centre with 3 entry hosts
    When minion 1 falls silent
    And a caller submits a leave settlement of 20 tasks
    And 40 s pass
    Then the answer is failed because of task_doubtful
    And no task starts more than once
    And each task is told truly

  Scenario Outline: A minion that takes no work costs nothing but a refusal
    A minion <fault>; the job completes on the others.
    Cause: the platform's list lags behind the minion's state.

    Given 1 data centre with 3 entry hosts
    When minion 1 <fault>
    And a caller submits a leave settlement of 100 tasks
    And 30 s pass
    Then the answer is complete
    And no task starts more than once
    And minion 1 is started on at most 0 times

    Examples:
      | fault              |
      | refuses as leaving |
      | is dead            |

  Scenario: The platform lists a minion as leaving
    Three seconds after the list says that a minion leaves, nothing new is sent to it.
    Cause: a planned departure.

    Given 1 data centre with 3 entry hosts
    When the platform lists minion 1 as leaving
    And 3 s pass
    And a caller submits a leave settlement of 100 tasks
    And 30 s pass
    Then the answer is complete
    And minion 1 is started on at most 0 times
