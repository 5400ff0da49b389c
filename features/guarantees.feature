Feature: What must always hold, with hosts and targets that fail

  Background:
    Given a platform, 6 targets of "permits" and 4 hosts behind a relay
    And a release note that adds them
    And all keys are served

  Scenario: A failure domain that operators take out gets no new work after 3 s
    Given steady load of 40 requests a second for 30 keys
    When host "host-02" is paused for 4 s
    And a note takes failure domain "akl-b" out through "host-01" while it is paused
    And 6 s pass
    Then no request has started in "akl-b" later than 3 s after acceptance
    And every caller got a whole answer to its own request or a true refusal

  Scenario: A withdrawn target gets no new work after 3 s, also by a dispatcher that is cut off
    Given steady load of 40 requests a second for 30 keys
    When the dispatcher of "permits-02" is cut off from all other hosts and the platform
    And a note withdraws target "permits-02" through another host
    And 6 s pass
    Then no request has started on "permits-02" later than 3 s after acceptance
    And every caller got a whole answer to its own request or a true refusal

  Scenario: Planned stops of all hosts, one after the other, cut no request
    Given steady load of 40 requests a second for 30 keys
    When each host is stopped gracefully and started again
    Then no request was cut
    And every caller got a whole answer to its own request or a true refusal

  Scenario: A key has one owner and is served again within 2 s while the platform is down
    Given steady load of 40 requests a second for 30 keys
    When the platform is down and target "permits-03" is lost
    And 4 s pass
    Then every key was answered again within 2 s
    And every caller got a whole answer to its own request or a true refusal

  Scenario: A target that freezes and returns does not run old requests beside the new owner
    Given steady load of 40 requests a second for 30 keys
    When target "permits-01" is paused for 3 s
    And 2 s pass
    Then every caller got a whole answer to its own request or a true refusal

  Scenario: Of two operators who race one wins, and an accepted note never reverts
    When two operators submit different notes after the same version
    Then one note is accepted and the other one is told of the conflict
    And submitting the accepted note again gives the same acceptance
    When the platform is down and host "host-04" is killed and started again
    Then every host has the accepted version within 10 s

  Scenario: A note whose acceptance is lost on its way back is accepted once
    When the platform loses the answer to the next commit and a note is submitted
    Then the submission is answered with its acceptance
    And every host has the accepted version within 3 s
