"""Stand-ins and processes that the scripts of the review share.

Only Python's standard library is used, so that nothing has to be installed.
"""
