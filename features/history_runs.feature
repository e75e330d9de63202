Feature: History check
  Real routers run concurrently under seeded faults, and a checker judges what was recorded.

  Scenario Outline: A run under faults keeps every promise
    When the history check runs seed <seed> for a short time
    Then it reports no violation
    And it served at least 50 requests

    Examples:
      | seed |
      | 101  |
      | 102  |
      | 103  |
      | 104  |

  Scenario Outline: A seeded defect is found
    When the history check runs with the defect <defect>
    Then some seed reports the violation that the defect causes
    And without the defect that seed reports none

    Examples:
      | defect                   |
      | no-reservation           |
      | close-ignored            |
      | no-deduplication         |
      | rerun-after-silence      |
      | top-up-without-operation |
      | not-run-after-send       |
      | stale-chunks             |
      | closed-allotment-freed   |
      | stop-without-finishing   |

  Scenario: A seed can be replayed
    When the history check runs seed 101 for a short time, twice
    Then both runs recorded the same

  Scenario: A failing seed is explained
    When the history check runs with the defect no-reservation
    Then its account names the faults, the workspace and the violation
