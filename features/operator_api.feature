Feature: Operator API
  Operators change and inspect the fleet by calls that a committed schema describes.

  Scenario: The committed operator schema is what the server serves
    Given an operated router
    Then its routes have the committed operator schema
    And it serves the committed operator schema

  Scenario: An undescribed route makes the operator schema differ
    Given an operated router with one route more
    Then its routes differ from the committed operator schema

  Scenario Outline: A call without the operators' key does nothing
    Given an operated router
    When an operator with the authorization "<authorization>" registers the model "ledger-large"
    Then the operator call fails with status 401 and code "unauthenticated"
    And the operated configuration has revision 0

    Examples:
      | authorization     |
      | none              |
      | Bearer wrong      |
      | Basic operator-1  |

  Scenario: An operator sets up a workspace
    Given an operated router
    When an operator registers the model "ledger-large"
    And an operator creates the workspace "choir" with the model "ledger-large"
    And an operator tops up "choir" by 5000 tokens
    Then the operated workspace "choir" has the model "ledger-large" and 1 key
    And the balance of the operated workspace "choir" is 5000 tokens

  Scenario: An update changes only what it names
    Given an operated router with the workspace "choir"
    When an operator sets the priority of "choir" to "high"
    Then the operated workspace "choir" has the model "ledger-large" and 1 key
    And the operated workspace "choir" has the priority "HIGH" and 4 concurrent streams

  Scenario: A rotated key may leave the previous one valid
    Given an operated router with the workspace "choir"
    When an operator rotates the key of "choir" and keeps the previous one
    Then the operated workspace "choir" has the model "ledger-large" and 2 key
    When an operator rotates the key of "choir"
    Then the operated workspace "choir" has the model "ledger-large" and 1 key

  Scenario: A repeated operation gets its first answer
    Given an operated router
    When an operator registers the model "ledger-large" as operation "op-1" at revision 0
    And an operator registers the model "ledger-large" as operation "op-1" at revision 1
    Then the operator call made revision 1
    And the operated configuration has revision 1

  Scenario: An operation id that comes with another request is refused
    Given an operated router
    When an operator registers the model "ledger-large" as operation "op-1" at revision 0
    And an operator registers the model "fleet-large" as operation "op-1" at revision 0
    Then the operator call fails with status 409 and code "operation_reused"

  Scenario: The loser of a race learns the revision and the other operation
    Given an operated router
    When an operator registers the model "ledger-large" as operation "op-1" at revision 0
    And an operator registers the model "ledger-large" as operation "op-2" at revision 0
    Then the operator call fails with status 409 and code "revision_conflict"
    And the operator failure names revision 1 and operation "op-1"

  Scenario Outline: A request that can't be right is refused by name
    Given an operated router with the workspace "choir"
    When an operator sends "<call>" with <fields>
    Then the operator call fails with status <status> and code "<code>"
    And the operator failure says "<detail>"

    Examples:
      | call             | fields                                                                          | status | code      | detail           |
      | RegisterUpstream | {"upstream": "e1", "address": "http://10.0.0.9:80", "zone": "a"}                | 400    | malformed | checks_fencing   |
      | RegisterUpstream | {"upstream": "e1", "address": "10.0.0.9", "zone": "a", "checks_fencing": true}  | 400    | malformed | address          |
      | RemoveUpstream   | {"upstream": "e1"}                                                              | 409    | refused   | does not exist   |
      | RemoveUpstream   | {"upstream": "e1", "force": true}                                               | 400    | malformed | force            |
      | CreateWorkspace  | {"workspace": "choir", "key_hash": "%a"}                                        | 409    | refused   | exists already   |
      | CreateWorkspace  | {"workspace": "band", "key_hash": "%choir"}                                     | 409    | refused   | in use           |
      | CreateWorkspace  | {"workspace": "band", "key_hash": "%a", "models": ["absent"]}                   | 409    | refused   | not registered   |
      | CreateWorkspace  | {"workspace": "band", "key_hash": "secret-in-clear"}                            | 400    | malformed | key_hash         |
      | UpdateWorkspace  | {"workspace": "band", "priority": "low"}                                        | 409    | refused   | does not exist   |
      | TopUp            | {"workspace": "band", "tokens": 5}                                              | 404    | not_found | does not exist   |
      | TopUp            | {"workspace": "choir", "tokens": 0}                                             | 400    | malformed | tokens           |

  Scenario: A router that has not applied the expected revision refuses a top-up
    Given an operated router with the workspace "choir"
    When an operator tops up "choir" by 5000 tokens at revision 9
    Then the operator call fails with status 503 and code "revision_not_applied"
    And the balance of the operated workspace "choir" is 0 tokens

  Scenario: An operator is told when the key-value service does not answer
    Given an operated router whose key-value service is out
    When an operator registers the model "ledger-large"
    Then the operator call fails with status 503 and code "unavailable"
    And the operator failure says "no answer"

  Scenario: A router that has not joined tells its status and refuses the rest
    Given an operated router that is starting
    Then its operator status is "starting"
    When an operator registers the model "ledger-large"
    Then the operator call fails with status 503 and code "router_not_ready"

  Scenario: A router with a live lease can't be declared gone
    Given an operated router
    When an operator declares the router "r-1" gone
    Then the operator call fails with status 409 and code "refused"
    When an operator declares the router "r-9" gone
    Then the operator call names the VM "vm-9"

  Scenario: Only a known router is drained
    Given an operated router
    When an operator drains the router "r-9"
    Then the operator call fails with status 404 and code "not_found"
    When an operator drains the router "r-1"
    Then the operated router "r-1" is draining
