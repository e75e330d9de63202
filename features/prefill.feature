Feature: Prompts that engines have still to read
  Long prompts use more than one engine and leave one to live work; a prompt counts as an engine's
  backlog only while the engine may be reading it.

  Scenario Outline: Whole-year ledgers that come together are all answered
    Given <routers> routers before 3 engines that are idle
    When 24 callers of one workspace send <ledgers> of 9900 tokens at once, and receipts meanwhile
    Then no ledger is refused
    And the ledgers run on at least 2 engines
    And every receipt has its first token within 0.5 seconds

    Examples:
      | routers | ledgers           |
      | 1       | one ledger        |
      | 3       | one ledger        |
      | 1       | different ledgers |
      | 3       | different ledgers |

  Scenario Outline: Short prompts of an engine that is slow to its first token are not refused
    Given a router that journals for <journal> seconds before an engine of 10000 slots
    And that engine takes 1.5 seconds to each first token
    When 32 prompts of <tokens> tokens a second are sent to it for 10 seconds
    Then none of the prompts is refused

    Examples:
      | journal | tokens |
      | 0       | 100    |
      | 0.25    | 100    |
      | 1       | 100    |
      | 0.25    | 400    |

  Scenario: An engine's report of unread prompts outweighs the estimate
    Given a lone router that sent 8 prompts of 1200 tokens 2 seconds ago
    When the engine reports 9600 unread tokens
    Then there is no room for another prompt
    When the engine reports 0 unread tokens
    Then there is room for another prompt

  Scenario: A cold ledger that waits for its journal entry keeps its engine from another
    Given a lone router that journals a ledger of 9900 tokens
    Then there is no room for another ledger at that engine

  Scenario: A queue that has not moved yet is not taken for one that never will
    Given a pool with 3 waiting requests that was watched for 2 seconds
    Then a wait of 6 seconds is expected
