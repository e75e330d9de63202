Feature: Rolling replacement of a fleet
  Real routers are replaced one after another while callers send; no caller notices.

  Scenario: All routers are replaced by new ones under load
    Given a lab fleet of 4 routers under load from callers in every zone
    When each router is replaced by one on a new VM, one after another
    Then no request was cut, refused or left without an answer because of it
    And each promise held in the replacement
    And callers sent more than 200 requests

  Scenario: All routers are restarted on their VMs under load
    Given a lab fleet of 4 routers under load from callers in every zone
    When each router is stopped and started again on its VM, one after another
    Then no request was cut, refused or left without an answer because of it
    And each promise held in the replacement
    And callers sent more than 200 requests
