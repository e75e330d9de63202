Feature: Command line
  Operators drive the fleet from a shell; what is printed suits programs, and exit statuses tell.

  Scenario: A new workspace's key is printed once and only its digest is sent
    Given a shell beside an operated router
    When the shell runs "operator register-model ledger-large"
    And the shell runs "operator create-workspace choir --model ledger-large --concurrent-streams 3"
    Then the shell command ends with status 0
    And the printed key opens the workspace "choir"
    And the operated workspace "choir" has the priority "NORMAL" and 3 concurrent streams

  Scenario: A change repeated by its operation id is made once
    Given a shell beside an operated router
    When the shell runs "operator register-model ledger-large --operation-id op-7"
    And the shell runs "operator register-model ledger-large --operation-id op-7"
    Then the shell command ends with status 0
    And the operated configuration has revision 1

  Scenario: A repeated creation without its key is refused before it is sent
    Given a shell beside an operated router
    When the shell runs "operator create-workspace choir --operation-id op-7"
    Then the shell command ends with status 2
    And the operated configuration has revision 0

  Scenario: An update leaves what it does not name
    Given a shell beside an operated router
    When the shell runs "operator register-model ledger-large"
    And the shell runs "operator create-workspace choir --model ledger-large --concurrent-streams 3"
    And the shell runs "operator update-workspace choir --priority low"
    Then the operated workspace "choir" has the priority "LOW" and 3 concurrent streams

  Scenario Outline: Exit statuses tell programs what to do
    Given a shell beside an operated router
    When the shell runs "<command>"
    Then the shell command ends with status <status>
    And the shell is told "<words>"

    Examples:
      | command                                                  | status | words                |
      | operator balance choir                                   | 1      | does not exist       |
      | operator register-upstream e1 http://10.0.0.1 --zone a   | 2      | checks-fencing       |
      | --router "" ask ledger-large hello                       | 2      | workspace key        |

  Scenario: A drain shows its progress until the router has left
    Given an operated router that leaves 3 looks after its drain
    When an operator follows the drain of "vm-1"
    Then the drain has shown "r-1: serving, 2 requests open"
    And the drain ended with the state "left"
