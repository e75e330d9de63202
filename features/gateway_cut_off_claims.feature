Feature: What a fleet knows of gateways that reach no upstream of a service
  Such a gateway says so in its digests. Callers are sent to others, and it is chosen for no forwarded
  request.

  Scenario Outline: Cut-off gateways are known too late, or for too long after their return
    Given <count> gateways that know each other, losing 5 of 100 digests, seed <seed>
    When <which> of them lose a service
    Then 95 of 100 know it within 3 seconds
    And most of them as long as it lasts, with at most 6 digests a second each on average
    And address answers name only the others while these are at least half
    And after the return 95 of 100 have forgotten it within 3 seconds

    Examples:
      | count | seed | which       |
      | 9     | 201  | one         |
      | 9     | 202  | a zone      |
      | 9     | 203  | two thirds  |
      | 9     | 204  | all but one |
      | 83    | 205  | one         |
      | 83    | 206  | a zone      |
      | 83    | 207  | two thirds  |
      | 83    | 208  | all but one |
      | 195   | 209  | one         |
      | 195   | 210  | a zone      |
      | 195   | 211  | two thirds  |
      | 195   | 212  | all but one |
