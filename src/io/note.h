/* The log: one JSON object a line. */
#ifndef FW_IO_NOTE_H
#define FW_IO_NOTE_H

#include <stdio.h>
#include <syslog.h>

#include "base/metrics.h"
#include "core/action.h"

/* Name put on each line, and where lines go (standard error by default). */
void
Fw_Note_Setup(const char *instance, FILE *to);
/**
 * Fw_Note_SetupBounded - lines go to @fd without ever blocking.
 * @bound: bytes that may wait in memory; lines beyond are dropped, counted
 *         and told about with the next line that fits
 */
void
Fw_Note_SetupBounded(const char *instance, int fd, size_t bound);
/* Lines dropped since Fw_Note_SetupBounded. */
int64_t
Fw_Note_Dropped(void);
/* Once after Fw_Note_SetupBounded. */
void
Fw_Note_AddMetrics(struct fw_metrics *m);
/* Writes what waits, as far as its reader takes it. */
void
Fw_Note_Flush(void);
/* A line whose further members are JSON already, without braces. */
void
Fw_Note_Members(int severity, const char *event, const char *members);
void
Fw_Note_Write(const struct fw_note *note);
/**
 * Fw_Note_Log - a line from the shell itself.
 * @severity: syslog severity (LOG_INFO ...)
 *
 * Pairs of field name and string value follow, closed by NULL.
 */
void
Fw_Note_Log(int severity, const char *event, ...) __attribute__((sentinel));

#endif
