Feature: Journal
  What was about to run and what was billed is durable, in order, and ends where another closed it.

  Scenario: Many entries share one write
    Given a journal of router "r1"
    When 50 requests are recorded at once
    Then the journal holds 50 requests in at most 2 slots

  Scenario: An append whose answer was lost is not made twice
    Given a journal of router "r1"
    When the answers to the next 2 journal writes are lost
    And 3 requests are recorded at once
    Then the journal holds 3 requests in at most 1 slots

  Scenario: Entries wait while the service is down and follow in order
    Given a journal of router "r1"
    When the service is down for 30 seconds while 5 requests are recorded
    Then the journal holds 5 requests in at most 5 slots

  Scenario: A closed journal takes nothing more
    Given a journal of router "r1"
    When 2 requests are recorded at once
    And router "r2" closes the journal
    And 2 requests are recorded at once, failing
    Then the journal holds 2 requests in at most 1 slots
    And the writer is fenced

  Scenario: A close and an append at the same slot cannot both succeed
    Given a journal of router "r1"
    When router "r2" closes the journal while 3 are recorded, over 40 orders
    Then each recorded request is either in the closed journal or refused

  Scenario: Folding keeps every bill and the totals
    Given a journal of router "r1"
    When 200 requests are recorded and settled one by one, with one left open after 150
    And the journal is folded with a crash between its writes
    And the journal is folded
    Then 150 slots are gone
    And the bills and totals of 199 requests are as before

  Scenario: A settlement that comes after the fence is kept for the next journal
    Given a journal of router "r1"
    When 2 requests are recorded at once
    And router "r2" closes the journal
    And 1 requests are recorded at once, failing
    And a settlement is appended to the fenced journal
    Then the fenced journal hands on that settlement
