Feature: The host that runs a job fails

  Scenario Outline: The executor is lost while its tasks run
    A manager submits a leave settlement; the entry host that runs it is <fault> with
    tasks started; the manager, told nothing, submits again with the same key.
    Cause: the executor's memory of what it started is out of reach.

    Given 1 data centre with 3 entry hosts
    When a caller submits a leave settlement of 60 tasks
    And 1 s pass
    And the executor is <fault>
    And the caller resubmits at every other host
    And 30 s pass
    Then the answer is failed because of executor_fenced
    And every final answer is the same
    And no task starts more than once
    And each task is told truly

    Examples:
      | fault                  |
      | killed                 |
      | paused                 |
      | cut off from its peers |

  Scenario: A host that was taken for dead wakes up and finishes the job
    A manager submits, the executor freezes for half a minute, and another host tells
    the manager "failed". Then the executor wakes, runs the rest and has an answer.
    Cause: a pause past every timeout; the executor cannot know that it was fenced.

    Given 1 data centre with 3 entry hosts
    When a caller submits a leave settlement of 60 tasks
    And 1 s pass
    And the executor is paused
    And the caller resubmits at every other host
    And 30 s pass
    And the one that was struck goes on
    And 30 s pass
    Then at least 3 answers are told
    And every final answer is the same
    And no task starts more than once

  Scenario: A host freezes for less than it takes to be fenced
    A manager submits and the executor freezes for three seconds. The manager's second
    try waits. Cause: a short pause, which must not cost the job.

    Given 1 data centre with 3 entry hosts
    When a caller submits a leave settlement of 60 tasks
    And 1 s pass
    And the executor is paused
    And 3 s pass
    And the one that was struck goes on
    And the caller resubmits at every other host
    Then the answer is complete
    And every final answer is the same
    And no task starts more than once

  Scenario: A new process takes the place of the executor's
    A manager submits; the executor's process is replaced on the same host. The new one
    knows nothing of the job and must not start it again.
    Cause: hosts have no disks, so a restart forgets what was started.

    Given 1 data centre with 3 entry hosts
    When a caller submits a leave settlement of 60 tasks
    And 1 s pass
    And the executor is killed
    And a new process starts on its host
    And the caller resubmits at every other host
    And 30 s pass
    Then the answer is failed because of executor_fenced
    And every final answer is the same
    And no task starts more than once

  Scenario: The answer was committed before its host died
    A manager's job is done and answered; then its host dies. The manager asks again:
    the results are gone, but "failed, nothing known" would be untrue.
    Cause: the journal keeps the outcome and digest of an answer, not its results.

    Given 1 data centre with 3 entry hosts
    When a caller submits a settlement of 10 tasks of 100 ms
    And 2 s pass
    And the executor is killed
    And 7 s pass
    And a caller submits a settlement of 10 tasks of 100 ms
    And 30 s pass
    Then the answer is failed because of answer_lost
    And no task starts more than once

  Scenario: A reply between two entry hosts is lost
    A manager's request reaches a host that passes it on; the reply gets lost. The
    manager is told "not yet known" and never "not run", and hears the answer later.
    Cause: the host that passed the job on cannot know whether it runs.

    Given 2 data centres with 3 entry hosts each
    When the caller resubmits in data centre 1
    And the next 3 replies between hosts are lost
    And 30 s pass
    Then the answer is complete
    And no task starts more than once

  Scenario: A wave of doubt ends with a cancellation
    An auditor changes a threshold and cancels the old job at another host than the one
    that runs it. Starts stop at once; what became of each task is told.
    Cause: none; a cancellation must be true.

    Given 1 data centre with 3 entry hosts
    When a caller submits a leave settlement of 100 tasks
    And 1.5 s pass
    And the caller cancels the job at another host
    Then the answer is failed because of cancelled
    And 36 tasks were not run
    And every final answer is the same
    And no task starts more than once
    And each task is told truly
