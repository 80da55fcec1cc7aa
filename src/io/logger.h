/* Logger of this process: writes one JSON object per line. */
#ifndef FW_IO_LOGGER_H
#define FW_IO_LOGGER_H

#include <stdio.h>
#include <syslog.h>

#include "base/metrics.h"
#include "core/action.h"

/*
 * Sets the instance name in each line and the stream that lines are written
 * to; without a call, or with NULL, that is standard error.
 */
void
Fw_Logger_Setup(const char *instance, FILE *stream);
/**
 * Fw_Logger_SetupNonblocking - logs to pipe @fd without blocking.
 * @pending_max_bytes: limit for lines buffered while the pipe is full
 *
 * Lines beyond the limit are dropped and counted. Their number is logged once
 * the buffer is empty.
 */
void
Fw_Logger_SetupNonblocking(const char *instance, int fd,
                           size_t pending_max_bytes);
/* Number of lines dropped since Fw_Logger_SetupNonblocking. */
int64_t
Fw_Logger_DroppedLines(void);
/* To be called once, after Fw_Logger_SetupNonblocking. */
void
Fw_Logger_AddMetrics(struct fw_metrics *m);
/* Writes buffered lines as far as possible without blocking. */
void
Fw_Logger_Flush(void);
/* Logs a line; @members is JSON, without braces, added to the object. */
void
Fw_Logger_LogJsonFields(int severity, const char *event, const char *members);
/* Logs a line requested by the core (FW_ACT_NOTE). */
void
Fw_Logger_LogNote(const struct fw_note *note);
/**
 * Fw_Logger_Log - logs a line with string fields.
 * @severity: syslog severity, such as LOG_INFO
 *
 * Pairs of field name and value follow, terminated by NULL.
 */
void
Fw_Logger_Log(int severity, const char *event, ...) __attribute__((sentinel));

#endif
