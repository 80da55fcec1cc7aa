/* The cases; each returns 0 if the rule held, 1 if not, 2 if it couldn't run.
 */
#ifndef REVIEW_CASES_H
#define REVIEW_CASES_H

#include "world.h"

int
run_late_answer(int trouble, const char *dir);
int
run_late_refusal(int trouble, const char *dir);
int
run_long_key(int trouble, const char *dir);
int
run_long_prefix(int trouble, const char *dir);

#endif
