Feature: Gateway processes and configurations with malformed entries
  The same as in gateway_malformed_configurations.feature, with processes that know each other and are
  killed: what they decide must not depend on which versions they have had.

  # Guards against revoked keys that stay valid, and a fleet that serves nobody after a restart.
  Scenario Outline: One malformed entry decides for all others of its version
    Given 3 gateway processes that know each other
    When the operators revoke all keys by a version with <path> = <value>
    Then within 2 seconds each process answers 401 without a valid key, and 200 on an anonymous route
    When one of the processes is killed and started again
    Then within 20 seconds each process answers 401 without a valid key, and 200 on an anonymous route
    When all of the processes are killed and started again
    Then within 20 seconds each process answers 401 without a valid key, and 200 on an anonymous route
    And none of the processes served a revoked key after these 2 seconds

    Examples:
      | path       | value                            |
      | tenants[1] | {"name": "b", "api_keys": "one"} |
      | tenants[1] | {"name": "b", "api_keys": null}  |
      | tenants    | null                             |

  # Guards against processes that differ, for good, in what they answer while no document can be read.
  Scenario: A process that starts while the document can't be read answers as the others do
    Given 3 gateway processes that know each other
    When the operators write a document that is cut short
    Then within 4 seconds each process answers 401 without a valid key, and 200 on an anonymous route
    When one of the processes is killed and started again
    Then within 20 seconds each process answers 401 without a valid key, and 200 on an anonymous route
    And the processes answered as described
