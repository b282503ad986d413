Feature: The host that runs a job fails

  Scenario Outline: The executor is lost while its tasks run
    The entry host that runs a job is <fault> with tasks started. The caller gets no
    answer and submits again with the same key.
    Cause: the executor's record of started tasks is unreachable.

    Given 1 data centre with 3 entry hosts
    When a caller submits a leave settlement of 60 tasks
    And 1 s pass
    And the executor is <fault>
    And the caller resubmits at every other host
    And 30 s pass
    Then the answer is failed because of executor_fenced
    And every final answer is the same
    And no task starts more than once
    And each task is reported correctly

    Examples:
      | fault                      |
      | killed                     |
      | paused                     |
      | partitioned from its peers |

  Scenario: A fenced executor resumes and finishes the job
    The executor is paused for 30 s, and another host reports the job as failed. Then
    the executor resumes, runs the remaining tasks and produces an answer.
    Cause: a pause longer than every timeout; the executor cannot know it was fenced.

    Given 1 data centre with 3 entry hosts
    When a caller submits a leave settlement of 60 tasks
    And 1 s pass
    And the executor is paused
    And the caller resubmits at every other host
    And 30 s pass
    And the failed host recovers
    And 30 s pass
    Then at least 3 final answers are reported
    And every final answer is the same
    And no task starts more than once

  Scenario: A host is paused for less than the fencing timeout
    The executor is paused for 3 s while the caller's second submission waits.
    Cause: a short pause, which must not fail the job.

    Given 1 data centre with 3 entry hosts
    When a caller submits a leave settlement of 60 tasks
    And 1 s pass
    And the executor is paused
    And 3 s pass
    And the failed host recovers
    And the caller resubmits at every other host
    Then the answer is complete
    And every final answer is the same
    And no task starts more than once

  Scenario: The executor's process is replaced
    The executor's process is replaced on the same host. The new process has no record
    of the job and must not start it again.
    Cause: hosts have no disks, so a restart loses the record of started tasks.

    Given 1 data centre with 3 entry hosts
    When a caller submits a leave settlement of 60 tasks
    And 1 s pass
    And the executor is killed
    And a new process starts on the failed host
    And the caller resubmits at every other host
    And 30 s pass
    Then the answer is failed because of executor_fenced
    And every final answer is the same
    And no task starts more than once

  Scenario: The executor dies after its answer was committed
    A job is answered, then its executor dies and the caller asks again. The results are
    lost, but reporting the job as failed with unknown tasks would be wrong.
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
    A host forwards a request and the reply is lost. The caller receives "not yet
    known", never "not run", and gets the answer later.
    Cause: the forwarding host cannot know whether the job runs.

    Given 2 data centres with 3 entry hosts each
    When the caller resubmits in data centre 1
    And the next 3 replies between hosts are lost
    And 30 s pass
    Then the answer is complete
    And no task starts more than once

  Scenario: A job is cancelled at a host that does not run it
    Task starts stop at once, and the answer reports the state of each task.
    Cause: no failure; a cancellation must report each task correctly.

    Given 1 data centre with 3 entry hosts
    When a caller submits a leave settlement of 100 tasks
    And 1.5 s pass
    And the caller cancels the job at another host
    Then the answer is failed because of cancelled
    And 36 tasks were not run
    And every final answer is the same
    And no task starts more than once
    And each task is reported correctly
