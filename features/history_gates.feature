Feature: Gates of the history check
  A router among others on one loop can be paused or killed between any two of its steps.

  Scenario: A paused router sends late what it decided before
    Given a gated router that checks a flag and then writes a key
    When it is paused between the check and the write, for 30 seconds
    Then the key is written 30 seconds after the check
    And the gated router had seen its flag only before the pause

  Scenario: Timers of a paused router fall due together at its end
    Given a gated router that ticks each second
    When it is paused from second 2.5 to second 7.5
    Then it ticked at seconds 1, 2, 7.5 and 8.5

  Scenario: A killed router takes no further step, but what it sent takes effect
    Given a gated router that writes one key and then another
    When it is killed while the first write is on its way
    Then only the first key is written
    And the gated router never learned of it

  Scenario: A write of a cancelled task still takes effect
    Given a gated router that writes one key and then another
    When the writing task is cancelled while the first write is on its way
    Then only the first key is written

  Scenario: A cut path refuses new connections and holds back answers
    Given a gated server that answers one event each second
    When a caller connects, and the way back is cut for 5 seconds after 1.5 seconds
    Then the caller gets the held events when the way is open again
    And a new connection during the cut was not begun

  Scenario: A silent connection never delivers, but a new one does
    Given a gated server that answers one event each second
    When a caller connects, and the connection goes silent after 1.5 seconds
    Then the caller has got 1 event after 10 seconds
    And a caller on a new connection gets all events

  Scenario: The server learns that its reader has gone
    Given a gated server that answers one event each second
    When a caller connects and leaves after 1.5 seconds
    Then the server stopped after 1 event
