/*
 * Client of the platform's append-only log. Executes FW_ACT_LOG_APPEND and
 * FW_ACT_LOG_READ, emits FW_EV_LOG_APPENDED and FW_EV_LOG_RECORDS.
 */
#ifndef FW_IO_LOG_CLIENT_H
#define FW_IO_LOG_CLIENT_H

#include "base/metrics.h"
#include "core/log.h"
#include "io/sink.h"

struct fw_log_client;

/* @url: base URL of the log; stream NAME is at URL/log/NAME. */
struct fw_log_client *
Fw_LogClient_New(const struct fw_sink *sink, struct fw_metrics *metrics,
                 const char *url);
void
Fw_LogClient_Free(struct fw_log_client *c);

/**
 * Fw_LogClient_Append - appends records to a stream, without retries.
 *
 * Emits one FW_EV_LOG_APPENDED. Its err is 0, -EAGAIN when the records are
 * certainly not in the log (rejected, or never sent), or -EIO when the outcome
 * is unknown.
 */
void
Fw_LogClient_Append(struct fw_log_client *c, const struct fw_log_append *a);
/* Reads records; emits one FW_EV_LOG_RECORDS. Errors may be retried. */
void
Fw_LogClient_Read(struct fw_log_client *c, const struct fw_log_read *r);

#endif
