/* How each test program runs its cases. */
#ifndef FW_TESTS_SUITE_H
#define FW_TESTS_SUITE_H

#include <check.h>
#include <glib.h>

/* A case of a suite of its own, both called @name. */
TCase *
Fw_Suite_New(const char *name);
/* Runs the suite of @tc and frees it. Return: the program's exit status. */
int
Fw_Suite_Run(TCase *tc);

#endif
