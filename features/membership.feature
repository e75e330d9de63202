Feature: Membership
  Routers come, go, pause and part; each knows whether it may still serve.

  Scenario: Three routers join and see each other
    Given a fleet of 3 member routers
    When 5 fleet seconds pass
    Then every router is serving and sees 3 members
    And no two incarnations share a fencing number

  Scenario: The answer to the fencing draw is lost after the write
    Given a fleet whose next write below "fencing" loses its answer
    And 2 member routers are added
    When 10 fleet seconds pass
    Then every router is serving and sees 2 members
    And no two incarnations share a fencing number

  Scenario: The answer to the incarnation record is lost after the write
    Given a fleet whose next write below "incarnations/" loses its answer
    And 2 member routers are added
    When 10 fleet seconds pass
    Then every router is serving and sees 2 members
    And the fleet holds 2 incarnation records

  Scenario: The answer to the heartbeat record is lost after the write
    Given a fleet whose next write below "members/" loses its answer
    And 2 member routers are added
    When 20 fleet seconds pass
    Then every router is serving and sees 2 members
    And the fleet holds 2 incarnation records

  Scenario: A paused router whose lease lapsed was not closed
    Given a fleet of 3 member routers
    And 5 fleet seconds pass
    When router "vm-1" is paused for 20 fleet seconds
    Then router "vm-2" sees 2 members
    When router "vm-1" resumes and 10 fleet seconds pass
    Then router "vm-1" serves under its first incarnation
    And every router is serving and sees 3 members

  Scenario: A paused router whose incarnation was closed joins as a new one
    Given a fleet of 3 member routers
    And 5 fleet seconds pass
    When router "vm-1" is paused for 20 fleet seconds
    And the incarnation of router "vm-1" is closed by router "vm-2"
    And router "vm-1" resumes and 10 fleet seconds pass
    Then router "vm-1" gave up its first incarnation
    And every router is serving and sees 3 members

  Scenario: A router cut off from the key-value service keeps serving
    Given a fleet of 3 member routers
    And 5 fleet seconds pass
    When router "vm-1" is cut off for 60 fleet seconds
    Then router "vm-1" is in state "serving"
    And router "vm-1" sees 3 members
    And router "vm-2" sees 2 members

  Scenario: A router cut off while its incarnation is closed learns it on return
    Given a fleet of 3 member routers
    And 5 fleet seconds pass
    When router "vm-1" is cut off for 30 fleet seconds
    And the incarnation of router "vm-1" is closed by router "vm-2"
    And router "vm-1" is reconnected and 15 fleet seconds pass
    Then router "vm-1" gave up its first incarnation
    And every router is serving and sees 3 members

  Scenario: A close prepared before a router shows itself again fails
    Given a fleet of 2 member routers
    And 20 fleet seconds pass
    When router "vm-1" is paused for 20 fleet seconds
    And router "vm-2" prepares to close the incarnation of router "vm-1"
    And router "vm-1" resumes and 10 fleet seconds pass
    Then the prepared close fails
    And router "vm-1" serves under its first incarnation

  Scenario: An outage longer than every lease leaves the members in view
    Given a fleet of 3 member routers
    And 5 fleet seconds pass
    When the key-value service is out for 60 fleet seconds
    Then every router is serving and sees 3 members at each of 20 fleet seconds

  Scenario Outline: An outage in which some leases end, or soon after it, leaves the members in view
    Given a fleet of 3 member routers
    And 5 fleet seconds pass
    When the key-value service is out for <seconds> fleet seconds
    Then every router is serving and sees 3 members at each of 20 fleet seconds

    Examples:
      | seconds |
      | 5       |
      | 6       |
      | 7       |
      | 8       |
      | 9       |
      | 10      |

  Scenario: A router that ends while another one alone is cut off is gone when that one is back
    Given a fleet of 3 member routers
    And 5 fleet seconds pass
    When router "vm-1" is cut off for 1 fleet seconds
    And router "vm-3" is paused for 20 fleet seconds
    And router "vm-1" is reconnected and 4 fleet seconds pass
    Then router "vm-1" sees 2 members

  # Guards against a partition of one router that it takes for an outage in which leases expired.
  Scenario: A router that leaves soon after another one alone was cut off stays in view of that one
    Given a fleet of 3 member routers
    And 5 fleet seconds pass
    When router "vm-1" is cut off for 20 fleet seconds
    And router "vm-1" is reconnected and 3 fleet seconds pass
    And router "vm-3" ends, its record is removed and 3 fleet seconds pass
    Then router "vm-1" sees 2 members

  Scenario: A router that starts in an outage does not serve
    Given a fleet whose key-value service is out
    And 1 member router is added
    When 30 fleet seconds pass
    Then router "vm-1" is in state "starting"
    When the key-value service returns and 10 fleet seconds pass
    Then router "vm-1" is in state "serving"

  Scenario: A heartbeat that changes nothing writes no record
    Given a fleet of 3 member routers
    And 20 fleet seconds pass
    When call counts are taken over 60 fleet seconds
    Then there were no writes below "members" or "incarnations"
    And there were at most 70 renewals of leases

  Scenario: A new VM that is not listed yet is not taken for gone
    Given a fleet of 2 member routers
    And a router "vm-9" whose VM is not listed
    When router "vm-9" is killed and 120 fleet seconds pass under observation by "vm-1"
    Then router "vm-1" has no proof that "vm-9" is gone

  Scenario: A listed VM that vanished is proven gone only after the lag
    Given a fleet of 2 member routers
    And 20 fleet seconds pass
    When the VM of router "vm-2" ends
    And router "vm-1" observes for 25 fleet seconds
    Then router "vm-1" has no proof that "vm-2" is gone
    When router "vm-1" observes for 60 fleet seconds
    Then router "vm-1" has proof that "vm-2" is gone

  Scenario: A VM missing from one stale reading is not taken for gone
    Given a fleet of 2 member routers
    And 20 fleet seconds pass
    When the VM list drops "vm-2" for 3 fleet seconds
    And router "vm-1" observes for 90 fleet seconds
    Then router "vm-1" has no proof that "vm-2" is gone

  Scenario: A restarted process supersedes the earlier one on its address
    Given a fleet of 2 member routers
    And 10 fleet seconds pass
    When router "vm-2" is killed and started again on the same address
    And 20 fleet seconds pass
    Then the earlier incarnation of "vm-2" is not proven absent
    When router "vm-2" reports that it listens and 10 fleet seconds pass
    Then the earlier incarnation of "vm-2" is proven superseded
