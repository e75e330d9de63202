Feature: The pages say what the code does
  Links, commands, reasons, metrics, settings and modules that the pages name are compared with the
  repository, so that a page and the code cannot part unnoticed.

  Scenario: Every relative link of every page leads somewhere
    Then no page has a link to a missing file or heading

  Scenario: Every make target that a page names exists
    Then no page names a make target that the Makefile lacks

  Scenario: Every reason of a refusal is explained to callers with its status
    Then the page "docs/callers.md" explains each reason of a refusal

  Scenario: Every metric that a page names is exported
    Then no page names a metric or label value that a router does not export
    And the page "docs/metrics.md" names every metric that a router exports

  Scenario: Every log line, setting and module that a page names exists
    Then no page names a log line, setting or module that the code lacks

  Scenario: Every log line and metric of a gateway is explained
    Then all that a gateway logs and counts is on "docs/logs.md"

  Scenario: A log line that no page explains is found
    When "docs/logs.md" loses its line on "store.lost"
    Then the check of log lines finds "store.lost is not explained"

  Scenario Outline: The check of pages finds <fault>
    When a page says "<text>"
    Then the check of pages finds "<found>"

    Examples:
      | fault                     | text                                          | found                                           |
      | a link to a missing file  | See [the moon](moon.md).                      | page.md: no file moon.md                        |
      | a link to no heading      | See [roots](../README.md#roots).              | page.md: no heading ../README.md#roots          |
      | a missing make target     | Run `make haste` first.                       | page.md: no target haste                        |
      | a metric that is not      | Watch `quinceferry_moons_total`.              | page.md: no metric quinceferry_moons_total      |
      | a label value that is not | `quinceferry_router_state{state="asleep"}`    | page.md: quinceferry_router_state has no state asleep |
      | a label of another metric | `quinceferry_streams_total{what="closed"}`    | page.md: quinceferry_streams_total has no what closed |
      | a log line that is not    | Look for `event=moon.rises`.                  | page.md: no log line moon.rises                 |
      | a setting that is not     | Raise `budgets.max_moon_share`.               | page.md: no setting budgets.max_moon_share      |
      | a module that is not      | It lives in `quinceferryd.moons`.             | page.md: no module quinceferryd.moons           |

  Scenario Outline: The check of reasons finds <fault>
    When the row of "queue_full" in "docs/callers.md" is replaced by "<row>"
    Then the check of reasons finds "<found>"

    Examples:
      | fault              | row                                                | found                       |
      | a missing reason   |                                                    | queue_full is not explained |
      | no explanation     | / `queue_full` / 503 / full /                      | queue_full is not explained |
      | a wrong status     | / `queue_full` / 429 / the queue has no more room /| queue_full has status 503   |
      | an unknown reason  | / `moon_full` / 503 / the moon has no more room /  | unknown reason moon_full    |
