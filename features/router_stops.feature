Feature: A stopping router accepts only what it can finish
  Requests that may end after the stop are refused as never sent; all others are served.

  Scenario: A request that may end after its router's stop is accepted and cut
    Given 2 routers and a budget of 100000 tokens
    When r2 begins a stop of at most 60 seconds, and 30 seconds pass
    And ticketed request "a" of home r2, with 40 seconds, is sent to r2 for 2500 tokens
    Then request "a" is refused as "router_stopping" and was not run
    And the stop of r2 cut 0 requests

  Scenario: A peer forwards a request that may end after the stop of its home
    Given 2 routers and a budget of 100000 tokens
    When r2 begins a stop of at most 60 seconds, and 30 seconds pass
    And ticketed request "a" of home r2, with 40 seconds, is sent to r1 for 2500 tokens
    Then request "a" is refused as "router_stopping" and was not run
    And the stop of r2 cut 0 requests

  Scenario: Steady traffic holds a stop until its bound and is cut there
    Given 2 routers and a budget of 100000 tokens
    When r2 begins a stop of at most 60 seconds, and 1 seconds pass
    And ticketed requests of home r2, with 10 seconds each, are sent to r2 until it has stopped
    Then every request was answered whole or refused as never sent
    And the stop of r2 cut 0 requests

  Scenario: A request that fits into the stop of its router is refused
    Given 2 routers and a budget of 100000 tokens
    When r2 begins a stop of at most 60 seconds, and 30 seconds pass
    And ticketed request "a" of home r2, with 20 seconds, is sent to r2 for 40 tokens
    Then request "a" is answered whole
    And it ran 1 time and has 1 bill for what the engine used

  Scenario: A refused request runs at the stopping router when a copy with less time comes late
    Given 2 routers and a budget of 100000 tokens
    When r2 begins a stop of at most 60 seconds, and 30 seconds pass
    And ticketed request "a" of home r2, with 40 seconds, is sent to r2 for 40 tokens
    And a copy of request "a", with 10 seconds, comes to r2
    Then request "a" is refused as "router_stopping" and was not run

  Scenario: A refused request cannot run at another router with a new ticket
    Given 2 routers and a budget of 100000 tokens
    When r2 begins a stop of at most 60 seconds, and 30 seconds pass
    And ticketed request "a" of home r2, with 40 seconds, is sent to r2 for 40 tokens
    And later ticketed request "a" of home r1 is sent to r1
    Then request "a" is answered whole
    And it ran 1 time and has 1 bill for what the engine used

  Scenario: An idempotent request that may end after its router's stop is accepted and cut
    Given 2 routers and a budget of 100000 tokens
    When r2 begins a stop of at most 60 seconds, and 30 seconds pass
    And request "a" is sent to r2
    Then request "a" is refused as "router_stopping" and was not run
    When request "a" is sent to r1
    Then request "a" is answered whole

  Scenario: A stopping router relays a request of another home that outlasts the stop
    Given 2 routers and a budget of 100000 tokens
    When r2 begins a stop of at most 60 seconds, and 30 seconds pass
    And ticketed request "a" of home r1, with 40 seconds, is sent to r2 for 40 tokens
    Then request "a" is refused as "router_not_ready" and may have run
    When the same copy of request "a" comes to r1 again
    Then request "a" is answered whole
    And it ran 1 time and has 1 bill for what the engine used

  Scenario: A router that has left relays a request of another home and cuts it when it ends
    Given 2 routers and a budget of 100000 tokens
    When r2 is stopped
    And ticketed request "a" of home r1, with 40 seconds, is sent to r2 for 40 tokens
    Then request "a" is refused as "router_not_ready" and may have run
    When the same copy of request "a" comes to r1 again
    Then request "a" is answered whole

  Scenario: A stopping router joins an idempotent request at its home that outlasts the stop
    Given 2 routers and a budget of 100000 tokens
    When request "a" is sent to r1
    And r2 begins a stop of at most 60 seconds, and 30 seconds pass
    And ticketed idempotent request "a" of home r1, with 40 seconds, is sent to r2
    Then request "a" is refused as "router_not_ready" and may have run

  Scenario: A stopping router does not relay a request that fits into its stop
    Given 2 routers and a budget of 100000 tokens
    When r2 begins a stop of at most 60 seconds, and 30 seconds pass
    And ticketed request "a" of home r1, with 20 seconds, is sent to r2 for 40 tokens
    Then request "a" is answered whole
    And it ran 1 time and has 1 bill for what the engine used

  Scenario: A router that has written its bills promises to hold a copy and ends with it
    Given 2 routers and a budget of 100000 tokens
    When r2 is stopped
    And a copy of a bill is sent to r2
    Then the copy is not held
