Feature: Costs of membership and configuration
  The bench that measures calls of the key-value service runs, and an idle fleet costs little.

  Scenario: An idle fleet only renews its leases
    When the membership bench runs with 9 routers
    Then no call was rejected
    And the idle fleet wrote nothing but lease renewals
    And the idle fleet made fewer than 1 reads a second for each router
    And a change was applied everywhere within 1 seconds and accepted within 5
