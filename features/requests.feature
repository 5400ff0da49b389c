Feature: Every request is answered with its own whole answer and fees are paid once

  Background:
    Given a platform, 4 targets of "permits" and 4 hosts as processes
    And a release note that adds them
    And all keys are served

  Scenario: A dispatcher is killed while fees are being paid
    When fees for 36 keys are running and the dispatcher of the first is killed
    Then no fee ran twice and no refusal is false
    And every fee that was not running at the loss is paid in the end

  Scenario: A request that crashes targets is refused after two of them
    When a request that crashes its target is sent 6 times over all hosts
    Then 2 targets have crashed
    And every host refuses the request as not-run
    And a key of a living target is still served

  Scenario: All open connections to targets go silent
    When all connections to targets go silent while each host gets 10 requests
    Then all of these requests are answered
    And each key still has its former owner
    And no fee ran twice and no refusal is false

  Scenario: Targets answer late, with the answers of others, or break off
    When targets give 4 crossed, 4 cut and some late answers to 60 requests
    Then no fee ran twice and no refusal is false
    And at least 50 of these requests are answered
