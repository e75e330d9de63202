Feature: Settings file
  A settings file is checked whole, and every fault is reported at once.

  Scenario: A file with only the required keys
    Given a settings file with only the required keys
    When the settings file is loaded
    Then the settings hold its values and the defaults
    And no secret is in the text form of the settings

  Scenario: All faults of a file are reported at once, each with file, key and reason
    Given a settings file with the changes
      | key                                    | value                  |
      | router.host                            | "0.0.0.0"              |
      | router.port                            | 70000                  |
      | router.fleet_secret                    | "tooshortsecret"       |
      | router.colour                          | "blue"                 |
      | platform.kv_url                        | "10.0.0.1:7000"        |
      | platform.vm_list_url                   |                        |
      | budgets.max_allotment_share            | 1.5                    |
      | budgets.min_allotment_tokens           | "many"                 |
      | streams.progress_timeout_seconds       | nan                    |
      | callers.max_body_bytes                 | true                   |
      | membershp.lease_ttl_seconds            | 9                      |
    When the settings file is loaded
    Then exactly these faults are reported
      | key                              | reason                                  |
      | membershp                        | is not a known key                      |
      | router.host                      | must be an address that other VMs reach |
      | router.port                      | must be from 1 to 65535, not 70000      |
      | router.fleet_secret              | must have at least 16 characters        |
      | router.colour                    | is not a known key                      |
      | platform.kv_url                  | must be a URL such as                   |
      | platform.vm_list_url             | is missing                              |
      | budgets.max_allotment_share      | must be above 0 and at most 1, not 1.5  |
      | budgets.min_allotment_tokens     | must be a whole number                  |
      | streams.progress_timeout_seconds | must be finite                          |
      | callers.max_body_bytes           | must be a whole number                  |
    And each fault names the settings file
    And no fault holds "tooshortsecret"

  Scenario Outline: Settings must fit each other
    Given a settings file with the changes
      | key     | value     |
      | <first> | <a>       |
      | <second>| <b>       |
    When the settings file is loaded
    Then the only fault is at "<key>"

    Examples:
      | first                        | a                   | second                                 | b                   | key                                    |
      | router.fleet_secret          | "0123456789abcdefg" | router.operator_key                    | "0123456789abcdefg" | router.operator_key                    |
      | membership.lease_ttl_seconds | 6                   | membership.heartbeat_interval_seconds  | 4                   | membership.heartbeat_interval_seconds  |
      | callers.max_body_bytes       | 4096                | callers.max_total_body_bytes           | 2048                | callers.max_body_bytes                 |
      | callers.max_deadline_seconds | 5                   | callers.default_deadline_seconds       | 6                   | callers.default_deadline_seconds       |
      | streams.min_backoff_seconds  | 3                   | streams.max_backoff_seconds            | 2                   | streams.min_backoff_seconds            |

  Scenario Outline: A file that can't be read is one fault
    Given a settings file that <state>
    When the settings file is loaded
    Then the settings file as a whole has the fault "<reason>"

    Examples:
      | state             | reason            |
      | does not exist    | can't be read     |
      | is not valid TOML | is not valid TOML |
      | is not UTF-8      | can't be read     |

  Scenario: The reference names every key with its default
    Then the settings reference and the data classes name the same keys and defaults
    And every number in the settings has a range

  Scenario: The daemon checks a file and does nothing else
    Given a settings file with only the required keys
    When quinceferryd checks the settings file
    Then it exits with 0 and says that the settings are valid
    Given a settings file with the changes
      | key         | value |
      | router.port | 0     |
    When quinceferryd checks the settings file
    Then it exits with 2 and names "router.port"
