/*
 * Seeded runs, one per promise: events and faults drawn from the seed, the
 * promise checked after every step.
 */
#ifndef FW_EXPLORE_H
#define FW_EXPLORE_H

#include <glib.h>

/**
 * struct fw_run - one seeded run of one promise.
 * @rand: the only source of choice; the same seed gives the same run
 * @steps: events to draw
 * @trace: what happened, one line a step, printed at the first breach
 * @breach: empty, or what was found broken
 */
struct fw_run {
    GRand *rand;
    int steps;
    GString *trace;
    char breach[240];
};

/* Adds a line to the trace. */
void
Fw_Run_Trace(struct fw_run *run, const char *fmt, ...)
    __attribute__((format(printf, 2, 3)));
/* Notes the breach; the first one stands. */
void
Fw_Run_Breach(struct fw_run *run, const char *fmt, ...)
    __attribute__((format(printf, 2, 3)));

/**
 * struct fw_promise - a row of the table.
 * @run: steps until @steps are done or a breach is noted
 * @fault: planted fault that must make the check fail
 */
struct fw_promise {
    const char *name;
    void (*run)(struct fw_run *run);
    const char *fault;
};

/* All promises, closed by a row without a name; see table.c. */
extern const struct fw_promise Fw_Promises[];

const struct fw_promise *
Fw_Property_Find(const char *name);
/* Runs one seed. Return: 0, or 1 when the promise was broken. */
int
Fw_Promise_Run(const struct fw_promise *p, guint32 seed, int steps,
               GString *report);

#endif
