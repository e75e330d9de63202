Feature: Budgets
  Tokens move from a workspace's budget record to routers by compare-and-swap, and never twice.

  Scenario: Two routers draw on one budget until it is spent
    Given a budget of 1000 tokens and 2 routers
    When both routers reserve 300 tokens at once, 3 times
    Then 3 reservations succeed
    And the budget record adds up

  Scenario: A draw whose answer was lost is credited once
    Given a budget of 1000 tokens and 1 router
    When the answer to the next budget write is lost
    And the router reserves 300 tokens, failing
    And the router reserves 300 tokens
    Then the router holds 300 tokens of the record's 300
    And the budget record adds up

  Scenario: Returned tokens whose answer was lost are not spent here again
    Given a budget of 1000 tokens and 1 router
    When the router reserves 600 tokens and settles 100
    And the answer to the next budget write is lost
    And the router is asked to return 500 tokens
    Then the router can not reserve 200 tokens while the service is down

  Scenario: A top-up sent twice counts once
    Given a budget of 1000 tokens and 1 router
    When the answer to the next budget write is lost
    And the operator tops up 500 tokens as "april", with an unknown result
    And the operator tops up 500 tokens as "april"
    And the operator tops up 500 tokens as "april"
    Then 1500 tokens are granted

  Scenario: An operation id cannot be used for another amount
    Given a budget of 1000 tokens and 1 router
    When the operator tops up 500 tokens as "april"
    Then a top-up of 600 tokens as "april" is rejected
    And 1500 tokens are granted

  Scenario: A top-up during a partition reaches the side that reaches the service
    Given a budget of 1000 tokens and 2 routers
    When both routers reserve 500 tokens at once, 1 times
    And router 2 loses the service
    And the operator tops up 500 tokens as "april"
    Then router 1 can reserve 500 tokens
    And router 2 can not reserve 500 tokens
    And the budget record adds up

  Scenario: A closed allotment cannot grow
    Given a budget of 1000 tokens and 1 router
    When the router reserves 100 tokens and settles 50
    And the router's allotment is closed
    Then the router is fenced when it reserves 500 tokens

  Scenario: The last tokens are not held by routers that do not need them
    Given a budget of 10000 tokens and 2 routers with default settings
    When router 1 reserves 1000 tokens
    Then router 2 can reserve 5000 tokens
    And the budget record adds up

  Scenario: More top-ups than the record remembers still count once each
    Given a budget of 1000 tokens and 1 router
    When the operator tops up 10 tokens 70 times, each sent twice
    Then 1700 tokens are granted
