Feature: A new version is judged by how it answers beside the former ones

  Rolled back by mistake, a good version doesn't come out; a bad one that isn't
  noticed gets all requests.

  # Guards against judging by load, speed of upstreams or empty caches, which
  # no version is to blame for.
  Scenario Outline: Good versions are kept: <case>
    Given 20 drawn versions with <load>
    When each is judged again and again
    Then at most 1 of them is found bad

    Examples:
      | case | load |
      | equal upstreams | slowest=1 fastest=1 |
      | unequal upstreams | slowest=0.5 fastest=2 |
      | very unequal upstreams | slowest=0.2 fastest=5 |
      | one upstream each | upstreams=1 |
      | many upstreams | upstreams=20 slowest=0.2 fastest=5 answers=3000 |
      | overload begins | overloaded_from=0.4 |
      | all versions fail at times | failing=0.1 |
      | cold caches | cold=1 |
      | slower by a fifth | bad=1 slower=1.2 |

  # Guards against evidence that is overlooked or asked for too long.
  Scenario Outline: Bad versions are found: <case>
    Given 20 drawn versions with <load>
    When each is judged again and again
    Then at least 19 of them are found bad, half of them within <answers> bad answers

    Examples:
      | case | load | answers |
      | a quarter fails | bad=0.25 | 20 |
      | a quarter fails under overload | bad=0.35 overloaded_from=0.2 | 50 |
      | all fail on one route | bad=1 bad_routes=1 answers=4000 | 10 |
      | half fails from the middle on | bad=0.5 bad_from=0.5 | 25 |
      | a quarter is 5 times slower | bad=0.25 slower=5 answers=6000 | 50 |
      | one route is 5 times slower | bad=1 slower=5 bad_routes=1 answers=4000 | 20 |
      | half is 5 times slower from the middle on | bad=0.5 slower=5 bad_from=0.5 answers=4000 | 50 |
      | all is 5 times slower | bad=1 slower=5 slowest=0.6 fastest=1.6 answers=4000 | 50 |

  # Guards against a verdict on versions that nobody has used.
  Scenario Outline: With <load>, too little is known
    Given 20 drawn versions with <load>
    When each is judged again and again
    Then at least 19 of them are found to have too few answers

    Examples:
      | load |
      | answers=40 |
      | answers=60 |

  # Guards against a version of which little is known that gets all requests
  # where those exceed what a bad version may get.
  Scenario Outline: After 0.8 of the time, <answers> of <all> answers, a version may get all requests: <may>
    Then a version with <answers> of <all> answers after 0.8 of the time may get all requests: <may>

    Examples:
      | answers | all | may |
      | 2 | 20 | yes |
      | 4 | 120 | yes |
      | 11 | 250 | no |
      | 5 | 2000 | no |
