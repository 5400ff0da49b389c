Feature: Path of a request through separate processes

  Scenario: A request entering at any host reaches the one owner of its key
    Given a platform, 4 targets of "permits" and 2 hosts as processes
    And a release note that adds them
    When each host gets 20 requests for 10 keys
    Then every request is answered by a target
    And each key was served by one target only

  Scenario: A request also reaches the owner when every link goes through a relay
    Given a platform, 4 targets of "permits" and 3 hosts behind a relay
    And a release note that adds them
    When each host gets 10 requests for 10 keys
    Then every request is answered by a target
    And each key was served by one target only
