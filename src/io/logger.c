#include "io/logger.h"

#include <limits.h>
#include <poll.h>
#include <stdarg.h>
#include <unistd.h>

#include "io/json.h"

static struct {
    char instance[FW_NAME_MAX];
    FILE *stream;
    int fd; /* used with @pending */
    size_t pending_max_bytes;
    GString *pending;         /* unwritten lines; NULL in blocking mode */
    int64_t unreported_drops; /* lines dropped since the last report */
    struct fw_metric dropped;
} log_state;

void
Fw_Logger_Setup(const char *instance, FILE *stream)
{
    g_strlcpy(log_state.instance, instance, sizeof(log_state.instance));
    log_state.stream = stream;
}

static const char *
severity_name(int severity)
{
    static const char *const names[] = {"emerg",   "alert",  "crit", "err",
                                        "warning", "notice", "info", "debug"};

    return names[CLAMP(severity, 0, 7)];
}

static GString *
begin_line(int severity, const char *event)
{
    GString *line = g_string_new("{\"ts\":\"");
    GDateTime *now = g_date_time_new_now_utc();
    char *ts = g_date_time_format(now, "%Y-%m-%dT%H:%M:%S");

    g_string_append_printf(line, "%s.%03dZ", ts,
                           g_date_time_get_microsecond(now) / 1000);
    g_string_append_printf(
        line, "\",\"severity\":\"%s\",\"event\":", severity_name(severity));
    Fw_Json_AppendStr(line, event);
    g_string_append(line, ",\"instance\":");
    Fw_Json_AppendStr(line, log_state.instance);
    g_free(ts);
    g_date_time_unref(now);
    return line;
}

static void
add_field(GString *line, const char *name, const char *value)
{
    g_string_append_c(line, ',');
    Fw_Json_AppendStr(line, name);
    g_string_append_c(line, ':');
    Fw_Json_AppendStr(line, value ? value : "");
}

/*
 * A write of up to PIPE_BUF bytes to a pipe that polls as writable does not
 * block, even when the reader has stopped reading.
 */
static void
flush_pending(void)
{
    struct pollfd p = {.fd = log_state.fd, .events = POLLOUT};

    while (log_state.pending->len && poll(&p, 1, 0) == 1 &&
           (p.revents & POLLOUT)) {
        size_t n = MIN(log_state.pending->len, (size_t)PIPE_BUF);
        ssize_t done = write(log_state.fd, log_state.pending->str, n);

        if (done <= 0) {
            return;
        }
        g_string_erase(log_state.pending, 0, done);
    }
}

static void
queue_line(const GString *line)
{
    if (log_state.pending->len + line->len > log_state.pending_max_bytes) {
        log_state.dropped.value++;
        log_state.unreported_drops++;
        return;
    }
    g_string_append_len(log_state.pending, line->str, (gssize)line->len);
}

static void
emit_nonblocking(const GString *line)
{
    flush_pending();
    if (log_state.unreported_drops && !log_state.pending->len) {
        GString *report = begin_line(LOG_WARNING, "log_lines_dropped");

        g_string_append_printf(report, ",\"lines\":%" G_GINT64_FORMAT "}\n",
                               log_state.unreported_drops);
        log_state.unreported_drops = 0;
        queue_line(report);
        g_string_free(report, TRUE);
    }
    queue_line(line);
    flush_pending();
}

static void
end_line(GString *line)
{
    FILE *stream = log_state.stream ? log_state.stream : stderr;

    g_string_append(line, "}\n");
    if (log_state.pending) {
        emit_nonblocking(line);
    }
    else {
        fwrite(line->str, 1, line->len, stream);
        fflush(stream);
    }
    g_string_free(line, TRUE);
}

void
Fw_Logger_SetupNonblocking(const char *instance, int fd,
                           size_t pending_max_bytes)
{
    Fw_Logger_Setup(instance, NULL);
    log_state.fd = fd;
    log_state.pending_max_bytes = pending_max_bytes;
    if (!log_state.pending) {
        log_state.pending = g_string_new(NULL);
    }
    log_state.dropped.name = "fw_log_lines_dropped_total";
    log_state.dropped.help =
        "Log lines dropped because their reader was too slow";
    log_state.dropped.value = 0;
}

int64_t
Fw_Logger_DroppedLines(void)
{
    return log_state.dropped.value;
}

void
Fw_Logger_AddMetrics(struct fw_metrics *m)
{
    Fw_Metrics_Add(m, &log_state.dropped);
}

void
Fw_Logger_Flush(void)
{
    if (log_state.pending) {
        flush_pending();
    }
}

void
Fw_Logger_LogJsonFields(int severity, const char *event, const char *members)
{
    GString *line = begin_line(severity, event);

    if (members[0]) {
        g_string_append_c(line, ',');
        g_string_append(line, members);
    }
    end_line(line);
}

void
Fw_Logger_LogNote(const struct fw_note *note)
{
    GString *line = begin_line(note->severity, note->event);

    for (int i = 0; i < note->n; i++) {
        add_field(line, note->fields[i].name, note->fields[i].value);
    }
    end_line(line);
}

void
Fw_Logger_Log(int severity, const char *event, ...)
{
    GString *line = begin_line(severity, event);
    const char *name;
    va_list ap;

    va_start(ap, event);
    while ((name = va_arg(ap, const char *))) {
        add_field(line, name, va_arg(ap, const char *));
    }
    va_end(ap);
    end_line(line);
}
