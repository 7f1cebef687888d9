"""How many requests an endpoint gets, and from whom.

`limits` leads: it bounds the concurrent requests of each endpoint. `shares`
splits them among the instances; `rate_limits`, `rejections` and `restrictions`
hold what endpoints state in their answers.
"""
