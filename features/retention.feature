Feature: Retention
  Lasting keys stay bounded without losing a bill before its time.

  Scenario: The journal of a router that is gone is folded once its proofs are no longer needed
    Given a retired router with 5 bills in its journal
    When retention checks at once and again after 3 hours
    Then its journal has no keys and its 5 bills are listed

  Scenario: A journal whose router still has a record is left alone
    Given a recorded router with 5 bills in its journal
    When retention checks at once and again after 3 hours
    Then its journal has 5 keys and its 5 bills are listed

  Scenario: Interrupted folding loses nothing
    Given a retired router with 5 bills in its journal
    When retention checks at once, is interrupted after 3 hours, and checks again
    Then its journal has no keys and its 5 bills are listed

  Scenario: Bills past their time are dropped
    Given a retired router with 5 bills in its journal
    When retention checks at once and again after 3 hours
    And retention checks after 50 days
    Then its journal has no keys and its 0 bills are listed

  Scenario: The totals of a live journal outlive its old bills
    Given a recorded router with 5 bills folded in two segments
    When retention checks after 50 days
    Then its 3 latest bills are listed and the journal still tells what was spent
