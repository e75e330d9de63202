Feature: Metrics and log lines of a router
  Counters and histograms for each workspace and class stay bounded; lines tell of changes only.

  Scenario: One streamed answer is counted and timed
    Given a router with scraped metrics
    When 20 streamed answers of 40 chunks are read by the workspace "choir"
    And the metrics are scraped with the operators' key
    Then the series quinceferry_requests_total of "choir" shows 19 with the labels class=normal and outcome=run
    And the series quinceferry_tokens_total of "choir" shows 760 with the labels kind=output
    And the series quinceferry_first_token_seconds_count of "choir" shows 19 with the labels class=normal
    And the series quinceferry_between_tokens_seconds_count of "choir" is between 19 and 80
    And the series quinceferry_requests_total of "other" shows 1 with the labels class=normal and outcome=run

  Scenario: Refusals are counted by reason, with and without a workspace
    Given a router with scraped metrics
    When "choir" sends 3 malformed requests and a wrong key is used 2 times
    And the metrics are scraped with the operators' key
    Then the series quinceferry_refusals_total of "other" shows 3 with the labels reason=malformed
    And the series quinceferry_refusals_total of "none" shows 2 with the labels reason=unauthenticated

  Scenario: A caller that leaves is counted as such
    Given a router with scraped metrics
    When a caller of the workspace "choir" leaves a streamed answer
    And the metrics are scraped with the operators' key
    Then the series quinceferry_requests_total of "other" shows 1 with the labels class=normal and outcome=caller_left

  Scenario: Metrics are not shown without the operators' key
    Given a router with scraped metrics
    When the metrics are scraped with a workspace key
    Then the scrape is refused with 401 and shows nothing

  Scenario: Twelve thousand workspaces do not make twelve thousand series
    Given labels for at most 48 workspaces
    When 12000 workspaces send 3 requests each and then "busy" sends 2000
    Then at most 48 workspaces are named and "busy" is one of them
    And at most 384 workspaces are remembered without a name

  Scenario: What a router counts for itself is exported
    Given a real router that was never started, with scraped metrics
    When it has admitted 3 requests, read "budgets/choir" 2 times and become ready
    Then its exposition shows these lines
      | line                                                             |
      | quinceferry_admissions_total{class="high",result="admitted"} 3.0 |
      | quinceferry_kv_calls_total{purpose="budgets",verb="get"} 2.0     |
      | quinceferry_router_state{state="serving"} 1.0                    |
      | quinceferry_kv_available 1.0                                     |
      | quinceferry_open_requests 0.0                                    |

  Scenario: Only changes are logged, one line each
    Given a log of a router's changes
    When the router joins, applies revision 4 and is checked 3 times
    Then the log holds one line for the state and one for the revision
    And each line is a JSON object with time, level and event

  Scenario: Secrets are hidden in log lines
    When a line with the field "fleet_secret" set to "do-not-show" is logged
    Then the log shows the field but not "do-not-show"

  Scenario: An unexpected error is logged once for each place
    Given a router with scraped metrics
    When the pipeline breaks with the same error 3 times
    Then the log holds one line about a bug
