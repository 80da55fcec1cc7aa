/* A Check suite with one test case, as each test program has it. */
#ifndef FW_TESTS_SUITE_H
#define FW_TESTS_SUITE_H

#include <check.h>
#include <glib.h>

/* Creates a suite and its test case, both called @name. */
TCase *
Fw_Suite_New(const char *name);
/*
 * Runs and frees the suite created last, which has @tc. Return: the exit
 * status of the program.
 */
int
Fw_Suite_Run(TCase *tc);

#endif
