Feature: A process stays on the instance list

  Guards against a fleet that overloads the platform with announcements, and
  against a process that drops off the list when a few of them fail.

  Scenario Outline: A fleet's announcements stay within the limit of writes per second
    When a process of a fleet of <fleet> announces itself for 2000 s
    Then the fleet makes at most <writes> announcements a second and each outlives the next two

    Examples:
      | fleet | writes |
      | 3 | 1 |
      | 300 | 63 |
      | 1200 | 63 |
      | 12000 | 63 |
