Feature: Every request gets its own complete answer and each fee is charged once

  Background:
    Given a platform, 4 targets of "permits" and 4 hosts as processes
    And a release note that adds them
    And all keys are served

  Scenario: A dispatcher is killed while fees are being paid
    When fees for 36 keys are being paid and the dispatcher of the first key is killed
    Then no fee was charged twice and no refusal is false
    And only fees that held one of the 12 slots when the dispatcher was killed stay unknown

  Scenario: A request that crashes targets is refused after two of them
    When a request that crashes its target is sent 6 times over all hosts
    Then 2 targets have crashed
    And every host refuses the request as not-run
    And a key of a running target is still served

  Scenario: All open connections to targets go silent
    When all connections to targets go silent while 12 requests are running
    Then all of these requests are answered
    And each key still has the same owner
    And no fee was charged twice and no refusal is false

  Scenario: Targets answer late, with another request's answer, or with a truncated one
    When targets give 4 swapped, 4 cut-off and some late answers to 60 requests
    Then no fee was charged twice and no refusal is false
    And at least 50 of these requests are answered
