Feature: Guarantees that hold while hosts and targets fail

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
    And every caller got the complete answer to its own request or a correct refusal

  Scenario: A withdrawn target gets no new work after 3 s, also from a dispatcher that is cut off
    Given steady load of 40 requests a second for 30 keys
    When the dispatcher of "permits-02" is cut off from all other hosts and the platform
    And a note withdraws target "permits-02" through another host
    And 6 s pass
    Then no request has started on "permits-02" later than 3 s after acceptance
    And every caller got the complete answer to its own request or a correct refusal

  Scenario: Planned stops of all hosts, one after the other, cut no request
    Given steady load of 40 requests a second for 30 keys
    When each host is stopped gracefully and started again
    Then no request was cut
    And every caller got the complete answer to its own request or a correct refusal

  Scenario: A key has one owner and is served again within 2 s while the platform is down
    Given steady load of 40 requests a second for 30 keys
    When the platform is down and target "permits-03" is killed
    And 4 s pass
    Then every key was answered again within 2 s
    And every caller got the complete answer to its own request or a correct refusal

  Scenario: A target that is paused and resumed does not run old requests beside the new owner
    Given steady load of 40 requests a second for 30 keys
    When target "permits-01" is paused for 3 s
    And 2 s pass
    Then every caller got the complete answer to its own request or a correct refusal

  Scenario: Of two concurrent notes one is accepted, and an accepted note never reverts
    When two operators submit different notes with the same predecessor at the same time
    Then one note is accepted and the other one is refused with a conflict
    And submitting the accepted note again gives the same acceptance
    When the platform is down and host "host-04" is killed and started again
    Then every host has the accepted version within 10 s

  Scenario: A note is accepted once if the answer to its commit is lost
    When the platform loses the answer to the next commit and a note is submitted
    Then the submission is answered with its acceptance
    And every host has the accepted version within 3 s
