Feature: Audit of the demo on a stand-in platform
  The audit must see what it is there for.

  Scenario: A clean run has no faults
    Given a platform demo in which post-1 ran 1 time and 100 tokens are counted
    Then the platform audit finds nothing

  Scenario: A second run of a request is found
    Given a platform demo in which post-1 ran 2 times and 100 tokens are counted
    Then the platform audit finds "post-1: ran twice"

  Scenario: Tokens beyond the budget are found
    Given a platform demo in which post-1 ran 1 time and 60001 tokens are counted
    Then the platform audit finds "60001 tokens counted, 0 used of 60000"

  Scenario: Uncounted tokens are found
    Given a platform demo in which post-1 ran 1 time and 100 tokens are counted
    And one stream of it was whole
    Then the platform audit finds "100 tokens counted, 440 used of 60000"
