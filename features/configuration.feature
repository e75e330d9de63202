Feature: Configuration
  Accepted changes are in force at every router that may serve, and are never taken back.

  Background:
    Given a fleet of 3 member routers
    And 20 fleet seconds pass

  Scenario: A change is in force everywhere within five seconds
    When an operator at "vm-1" puts workspace "choir" expecting revision 0 as operation "op-1"
    And 5 fleet seconds pass
    Then every router applies and reports revision 1 as accepted
    And every router knows workspace "choir"

  Scenario: Operators race to change the same workspace
    Given workspace "choir" exists at revision 1
    When operators at "vm-1" and "vm-2" change "choir" at once, both expecting revision 1
    Then one change is made and the other operator is told which operation came between
    And 5 fleet seconds pass
    And every router applies and reports revision 2 as accepted

  Scenario: Operators change different workspaces at once
    When operators at "vm-1" and "vm-2" create "choir" and "club" at once
    And 5 fleet seconds pass
    Then every router applies and reports revision 2 as accepted
    And every router knows workspace "choir"
    And every router knows workspace "club"

  Scenario: A repeated operation gets its first answer, at any router
    Given workspace "choir" exists at revision 1
    When an operator at "vm-2" puts workspace "choir" expecting revision 1 as operation "op-2"
    And an operator at "vm-3" puts workspace "choir" expecting revision 1 as operation "op-2"
    Then both answers name revision 2
    And the log ends at revision 2

  Scenario: One operation reaches two routers at once
    When operators at "vm-1" and "vm-2" create "choir" at once under one operation id
    Then both answers name revision 1
    And the log ends at revision 1

  Scenario: An operation id is used again for another request
    Given workspace "choir" exists at revision 1
    When an operator at "vm-2" puts workspace "club" expecting revision 0 as operation "op-choir"
    Then the change is refused as "operation_reused"

  Scenario: The answer to a log write is lost after it took effect
    Given the next write below "config/log/" loses its answer
    When an operator at "vm-1" puts workspace "choir" expecting revision 0 as operation "op-1"
    And 5 fleet seconds pass
    Then the log ends at revision 1
    And every router applies and reports revision 1 as accepted

  Scenario: Every answer to a log write is lost, and another operator comes between
    Given all writes of "vm-1" below "config/log/" lose their answers
    When operators at "vm-1" and "vm-2" create "choir" and "club" at once
    And 10 fleet seconds pass
    Then every router applies and reports revision 2 as accepted

  Scenario: An operator's change during an outage is not known to be made
    Given the key-value service is out
    When an operator at "vm-1" puts workspace "choir" expecting revision 0 as operation "op-1"
    Then the change ends without an answer
    When the key-value service returns and 10 fleet seconds pass
    And an operator at "vm-1" puts workspace "choir" expecting revision 0 as operation "op-1"
    Then the log ends at revision 1

  Scenario: A change waits for a paused router, and the operator sees why
    When router "vm-3" is paused for 20 fleet seconds
    And an operator at "vm-1" puts workspace "choir" expecting revision 0 as operation "op-1"
    And 20 fleet seconds pass
    Then revision 1 is proposed and awaits "vm-3" as "lease_lapsed"
    When router "vm-3" resumes and 10 fleet seconds pass
    Then every router applies and reports revision 1 as accepted

  Scenario: A closed incarnation is awaited until its VM is proven gone
    When router "vm-3" is paused for 20 fleet seconds
    And the incarnation of router "vm-3" is closed by router "vm-2"
    And an operator at "vm-1" puts workspace "choir" expecting revision 0 as operation "op-1"
    And 20 fleet seconds pass
    Then revision 1 is proposed and awaits "vm-3" as "closed_not_proven_gone"
    When the VM of router "vm-3" ends
    And 120 fleet seconds pass
    Then revision 1 is accepted

  Scenario: A change waits for a router that is partitioned, which then applies it
    When router "vm-3" is cut off for 1 fleet seconds
    And an operator at "vm-1" puts workspace "choir" expecting revision 0 as operation "op-1"
    And 60 fleet seconds pass
    Then revision 1 is proposed and awaits "vm-3" as "lease_lapsed"
    And router "vm-3" is in state "serving"
    When router "vm-3" is reconnected and 10 fleet seconds pass
    Then every router applies and reports revision 1 as accepted

  Scenario: A router that joins reads changes that are not accepted yet
    When router "vm-3" is paused for 20 fleet seconds
    And an operator at "vm-1" puts workspace "choir" expecting revision 0 as operation "op-1"
    And 1 member router is added
    And 5 fleet seconds pass
    Then router "vm-4" applies revision 1

  Scenario: A router whose watch is silent polls the log
    Given watches of router "vm-3" never answer
    When an operator at "vm-1" puts workspace "choir" expecting revision 0 as operation "op-1"
    And 8 fleet seconds pass
    Then router "vm-3" applies revision 1

  Scenario: The watch history is lost during a change
    When the key-value service forgets its history
    And an operator at "vm-1" puts workspace "choir" expecting revision 0 as operation "op-1"
    And 8 fleet seconds pass
    Then every router applies and reports revision 1 as accepted

  Scenario: A router cut off through a compaction catches up from the snapshot
    When router "vm-3" is cut off for 1 fleet seconds
    And 2 changes are made at "vm-1"
    And router "vm-3" is paused and reconnected
    And the VM list and the records say that router "vm-3" has confirmed everything
    And 600 changes are made at "vm-1"
    And 20 fleet seconds pass
    Then the log starts above revision 1
    When router "vm-3" resumes and 15 fleet seconds pass
    And 1 member router is added
    And 10 fleet seconds pass
    Then every router applies and reports revision 602 as accepted
    And every router holds the same configuration

  Scenario: A write into a compacted part of the log is void
    Given 600 changes are made at "vm-1"
    And 20 fleet seconds pass
    When an entry for revision 5 is written by a router that lags
    Then the append reports that the log has moved on
    And revision 5 is not in the log

  Scenario: Operators race during a partition
    Given workspace "choir" exists at revision 1
    When router "vm-3" is cut off for 20 fleet seconds
    And operators at "vm-1" and "vm-2" change "choir" at once, both expecting revision 1
    Then one change is made and the other operator is told which operation came between
    And 20 fleet seconds pass
    And revision 2 is proposed and awaits "vm-3" as "lease_lapsed"
    When router "vm-3" is reconnected and 10 fleet seconds pass
    Then every router applies and reports revision 2 as accepted

  Scenario: The router that accepts changes pauses while an answer is lost
    Given the next write below "config/log/" loses its answer
    When router "vm-1" is paused for 1 fleet seconds
    And an operator at "vm-2" puts workspace "choir" expecting revision 0 as operation "op-1"
    And 20 fleet seconds pass
    Then the log ends at revision 1
    When router "vm-1" resumes and 10 fleet seconds pass
    Then every router applies and reports revision 1 as accepted

  Scenario: A router on a VM that was never listed dies during a change
    Given a router "vm-9" whose VM is not listed
    And 10 fleet seconds pass
    When router "vm-9" is killed and 200 fleet seconds pass
    And an operator at "vm-1" puts workspace "choir" expecting revision 0 as operation "op-1"
    And 200 fleet seconds pass
    Then revision 1 is proposed and awaits "vm-9" as "lease_lapsed"
    When an operator at "vm-1" declares "vm-9" gone
    And 10 fleet seconds pass
    Then revision 1 is accepted

  Scenario: A live router cannot be declared gone
    When an operator at "vm-1" declares "vm-2" gone
    Then the declaration is refused

  Scenario: A resumed router whose incarnation was closed applies what it missed before it serves
    When router "vm-3" is paused for 20 fleet seconds
    And the incarnation of router "vm-3" is closed by router "vm-2"
    And an operator at "vm-1" puts workspace "choir" expecting revision 0 as operation "op-1"
    And router "vm-3" resumes and 10 fleet seconds pass
    Then router "vm-3" gave up its first incarnation
    And router "vm-3" applies revision 1

  Scenario: Entries are applied only in order
    When a router is given an entry that it has applied before, and one that skips a revision
    Then neither changes its configuration

  Scenario Outline: Random faults never revert or split an accepted configuration
    When faults drawn from seed <seed> strike for 120 fleet seconds while operators change workspaces
    Then no accepted revision was missing at a router that may serve
    And no router ever went back
    And after healing every router applies and reports the last revision as accepted

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |
      | 4    |
      | 5    |
      | 6    |
      | 7    |
      | 8    |
