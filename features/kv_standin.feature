Feature: Stand-in key-value service
  The stand-in keeps the platform's contract, and shows its faults on demand.

  Scenario: Of two writers that read the same version, one wins
    Given a stand-in KV
    When two clients write the same KV key from the same version
    Then one KV write succeeds and the other gets a conflict

  Scenario: A deleted key never repeats a version
    Given a stand-in KV
    When a KV key is written, deleted and written again
    Then the second KV version is higher than the first

  Scenario: The answer to a write is lost after it took effect
    Given a stand-in KV
    When a KV write is made while its answer is lost
    Then the KV caller sees that no answer came
    And the KV key holds the new value

  Scenario: A write is refused before it takes effect
    Given a stand-in KV
    When a KV write is made while writes are refused
    Then the KV caller sees that no answer came
    And the KV key does not exist

  Scenario: A slow write takes effect after its caller has given up
    Given a stand-in KV
    When a KV write is made while every call takes minutes
    Then the KV caller sees that no answer came
    And the KV key holds the new value in the end, but not at the timeout

  Scenario: A lease that is not renewed lapses, and its keys go
    Given a stand-in KV
    When a leased KV key is renewed once and then left alone
    Then the KV watch reports its deletion after the renewed lease ended
    And the KV lease cannot be renewed or used again

  Scenario: A watch sees each change below its prefix once
    Given a stand-in KV
    When KV keys inside and outside a watched prefix change
    Then the KV watch returns the inner changes in order and then none

  Scenario: A watch whose cursor is older than the history starts afresh
    Given a stand-in KV that remembers 3 events
    When 5 KV changes pass a sleeping watcher
    Then the KV watch asks the watcher to read the prefix again

  Scenario: During an outage every call ends without an answer
    Given a stand-in KV
    When the KV is out
    Then every KV method reports that no answer came, naming its step and peer
    And every KV method has waited for its timeout and no longer

  Scenario: A partition cuts off one client only
    Given a stand-in KV
    When one KV client is partitioned
    Then its KV calls fail and those of another client succeed

  Scenario: A watch that waits when an outage begins gets no event
    Given a stand-in KV
    When the KV goes out under a waiting watch and a key's lease ends
    Then the KV caller sees that no answer came

  Scenario: Calls beyond the rate are turned away and all are counted
    Given a stand-in KV that admits 5 writes and 7 reads a second
    When 8 KV writes and 9 KV watches are made at once
    Then 3 KV writes and 2 KV watches are turned away
    And the KV counts 8 writes and 9 watches by purpose
    And a second later a KV write is admitted

  Scenario: A value above the limit is not written
    Given a stand-in KV
    When a KV value of 1000001 bytes is written
    Then the KV refuses it for its size
    And the KV key does not exist
