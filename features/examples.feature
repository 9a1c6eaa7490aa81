Feature: The example deployments are complete and consistent

  Scenario Outline: Objects, settings and instances of an example agree
    Given the example deployment <name>
    Then its objects pass the check
    And it has <teams> teams and the services <services>
    And its instances cover the availability zones <zones>
    And each of its instances has settings that agree with the list
    And no two of its processes share a port
    And <call> is non-idempotent there and <lookup> is idempotent

    Examples:
      | name | teams | services | zones | call | lookup |
      | lakeshore | 5 | bean-model 10, release-desk 5 | cleveland duluth milwaukee toledo | POST release-desk releases | GET release-desk holds/7 |
      | kuldiga | 5 | lm-pool 5, registry-app 3 | riga-a riga-b riga-c | POST registry-app confirmations | GET registry-app loans/7 |
