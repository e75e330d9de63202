Feature: Copies of the list of upstreams among gateways that were cut off and others that were not
  A gateway that was cut off takes entries that are missing for ones whose leases ended in an outage of
  the store. Others that were in touch know that these upstreams have left.

  Scenario Outline: Gateways in touch use upstreams again that left, by the copy of one that came back
    Given <gateways> gateways that read the list of 40 upstreams and pass copies on, seed <seed>
    When 4 times <cut> of them, readers among them, are cut off for 3 seconds while upstreams leave
    Then gateways in touch used no upstream more than 2 seconds after it had left
    And gateways in touch used every upstream that had not left

    Examples:
      | gateways | cut | seed |
      | 3        | 2   | 1    |
      | 3        | 1   | 2    |
      | 7        | 4   | 3    |
      | 7        | 4   | 4    |
      | 83       | 40  | 5    |
      | 195      | 60  | 6    |

  Scenario Outline: Upstreams that are back soon after an outage of the store are not used meanwhile
    Given <gateways> gateways that read the list of 12 upstreams and pass copies on, seed <seed>
    When the store is away for 6 seconds, and upstreams register again within 1.5 s
    Then gateways used every upstream that had not left

    Examples:
      | gateways | seed |
      | 3        | 1    |
      | 7        | 2    |
      | 83       | 3    |
