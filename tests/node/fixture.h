/* The fleet used by the tests of this directory. */
#ifndef FW_TESTS_NODE_FIXTURE_H
#define FW_TESTS_NODE_FIXTURE_H

#include "harness.h"

/*
 * Creates a harness with teams a and b (keys key-a and key-b), prefill engines
 * p0 and p1, decode engines d0 and d1, and service grid-desk on servers s0 and
 * s1. All nodes are ready. Prefill, import, decode, resume and service calls
 * are answered by the test (FW_HARNESS_HOLD).
 */
struct harness *
Fw_Fixture_New(int nodes);

#endif
