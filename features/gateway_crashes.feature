Feature: Requests that crash the upstreams that run them
  One request ended every upstream that began to run it. Its caller sent it again and again, and the fleet
  passed it on thirteen times in fourteen seconds, until no upstream was left and the requests of all
  others were broken off or refused.

  Scenario: A connection that breaks alone is no crash
    Given a fleet of 1 gateway before 2 upstreams of service app
    And its log is kept
    When app-1 and app-2 break the next connection
    And gateway 1 gets "hello" on /post/ 1 time
    Then the log names "attempt.unknown" 1 time
    And the log names "upstream.crashed" 0 times

  Scenario: The log tells which content an upstream had when it crashed
    Given a fleet of 1 gateway before 3 upstreams of service llm
    And its log is kept
    And "boom" crashes all upstreams of the fleet
    When gateway 1 gets "boom" on /ask/ 2 times
    Then the log names "upstream.crashed" 2 times
    And all of these lines name the same content
