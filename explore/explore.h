/*
 * Randomised tests of the core: each run drives a component with events and
 * faults drawn from a seed, and checks one property while it does.
 */
#ifndef FW_EXPLORE_H
#define FW_EXPLORE_H

#include <glib.h>

/**
 * struct fw_run - one run of a property with one seed.
 * @rand: the only source of randomness, so that a seed reproduces its run
 * @steps: number of steps to run
 * @trace: events of the run, one per line, reported when the property fails
 * @failure: description of the first violation, empty while the property holds
 */
struct fw_run {
    GRand *rand;
    int steps;
    GString *trace;
    char failure[240];
};

/* Appends a line to the trace. */
void
Fw_Run_Trace(struct fw_run *run, const char *fmt, ...)
    __attribute__((format(printf, 2, 3)));
/* Records a violation of the property; only the first one is kept. */
void
Fw_Run_Fail(struct fw_run *run, const char *fmt, ...)
    __attribute__((format(printf, 2, 3)));

/* A name that lives until the end of the process; equal ones are shared. */
const char *
Fw_Run_Name(const char *fmt, ...) __attribute__((format(printf, 1, 2)));

/**
 * struct fw_property - a property of the system and the test that checks it.
 * @run: runs until the steps of the run are done or a violation is recorded
 * @fault: name of a fault, see base/fault.h, with which the test must fail
 */
struct fw_property {
    const char *name;
    void (*run)(struct fw_run *run);
    const char *fault;
};

/* Table of all properties; the last entry has no name. */
extern const struct fw_property Fw_Properties[];

/* Return: the property, or NULL when there is none of that name. */
const struct fw_property *
Fw_Property_Find(const char *name);
/* Runs one seed and appends the trace of a failed run to @report. Return: 0,
 * or 1 when the property was violated. */
int
Fw_Property_Run(const struct fw_property *p, guint32 seed, int steps,
                GString *report);

#endif
