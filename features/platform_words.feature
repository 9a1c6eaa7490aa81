Feature: Only the platform adapter uses the platform's names

  Scenario: No other module uses a name of the platform's protocol
    Then no module outside "godwitloft/platform" and "godwitloft/standins" contains
      | name |
      | Godwitloft- |
      | godwitloft- |
      | rows-tx |
      | rows-get |
      | rows-feed |
      | blob-put |
      | kv-fetch |
      | kv-move |
      | api-keys |
      | tenant |
      | drain-ms |
      | revoke-ms |
      | max-attempts |
