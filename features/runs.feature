Feature: Stored runs
  A finished answer is kept in few pieces, and is the same for every reader.

  Scenario: A stored answer takes one piece and reads the same
    Given a run whose answer came in 240 pieces
    When the run has ended
    Then the store holds the answer in 1 piece
    And a later reader of the run gets the same text and the end

  Scenario: Pieces with a gap between them stay apart
    Given a run whose answer came in 6 pieces with a gap after 4
    When the run has ended
    Then the store holds the answer in 2 pieces

  Scenario: A reader in the middle of an answer that is dropped still gets all of it
    Given a run whose answer came in 10 pieces
    And a reader of the run that has read 4 pieces
    When the run has ended
    And the store drops the text of the run
    Then the reader of the run gets 10 pieces and the end

  Scenario: A replaced run is not forgotten with the one before it
    Given a run whose answer came in 2 pieces
    When the run has ended
    And the store drops the text of the run
    And the same request is run again 7000 seconds later
    And 300 seconds pass for the store
    Then the store knows the later run of the request
