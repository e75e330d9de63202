Feature: Members of a fleet of gateways
  Registrations in the store say who is a member; probes say who answers.

  Background:
    Given a gateway among members b and c

  Scenario: A member whose registration lapsed stays while it answers
    When the registration of b lapses
    And 3 seconds pass among the members
    Then the members are a, b, c and callers may use a, b, c

  Scenario: A member whose registration lapsed goes once it does not answer
    When the registration of b lapses
    And b does not answer any more
    And 4 seconds pass among the members
    Then the members are a, c and callers may use a, c

  Scenario: A member that does not answer is named to no caller
    When b does not answer any more
    And 3 seconds pass among the members
    Then the members are a, b, c and callers may use a, c

  Scenario: A member that is stopping is named to no caller, and goes with its registration
    When b says that it is stopping
    And the registration of b lapses
    And 3 seconds pass among the members
    Then the members are a, c and callers may use a, c

  Scenario: While the store is away the members stay
    When the member list can't be read
    And 9 seconds pass among the members
    Then the members are a, b, c and callers may use a, b, c
