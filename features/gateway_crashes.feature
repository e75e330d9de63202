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

  Scenario: A request that crashes its upstreams is run no more after the third
    Given a fleet of 3 gateways before 8 upstreams of service llm
    And "boom" crashes all upstreams of the fleet
    When the gateways get "boom" on /ask/ in turn, 9 times
    Then 3 upstreams of the fleet have crashed
    And the last 6 were refused with 503, and told when to come back
    And "hello" on /ask/ is answered at each gateway

  Scenario: A resumable request that crashes its upstreams is run no more after the third
    Given a fleet of 3 gateways before 8 upstreams of service llm
    And "boom" crashes all upstreams of the fleet
    When the gateways get "boom" on /draft/ in turn, 9 times
    Then 3 upstreams of the fleet have crashed
    And "hello" on /draft/ is answered at each gateway
