Feature: A process keeps itself on the instance list

  Scenario Outline: A fleet's announcements stay within their budget of writes
    When a process of a fleet of <fleet> announces itself for 2000 s
    Then the fleet makes at most <writes> announcements a second and each outlives the next two

    Examples:
      | fleet | writes |
      | 3 | 1 |
      | 300 | 63 |
      | 1200 | 63 |
      | 12000 | 63 |
