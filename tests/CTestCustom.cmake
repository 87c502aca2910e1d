# CI runs the tests that KNOWN-RED.txt lists apart from the others: .ci/known_red.
string(REPLACE "\n" ";" CTEST_CUSTOM_TESTS_IGNORE "$ENV{REEDCHUTE_KNOWN_RED}")
