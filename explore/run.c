/* Runs one property with one seed and keeps its trace. */
#include <stdarg.h>
#include <string.h>

#include "explore/explore.h"

void
Fw_Run_Trace(struct fw_run *run, const char *fmt, ...)
{
    va_list ap;

    va_start(ap, fmt);
    g_string_append_vprintf(run->trace, fmt, ap);
    va_end(ap);
    g_string_append_c(run->trace, '\n');
}

const char *
Fw_Run_Name(const char *fmt, ...)
{
    g_autofree char *text = NULL;
    va_list ap;

    va_start(ap, fmt);
    text = g_strdup_vprintf(fmt, ap);
    va_end(ap);
    return g_intern_string(text);
}

void
Fw_Run_Fail(struct fw_run *run, const char *fmt, ...)
{
    va_list ap;

    if (run->failure[0]) {
        return;
    }
    va_start(ap, fmt);
    g_vsnprintf(run->failure, sizeof(run->failure), fmt, ap);
    va_end(ap);
}

const struct fw_property *
Fw_Property_Find(const char *name)
{
    for (const struct fw_property *p = Fw_Properties; p->name; p++) {
        if (strcmp(p->name, name) == 0) {
            return p;
        }
    }
    return NULL;
}

int
Fw_Property_Run(const struct fw_property *p, guint32 seed, int steps,
                GString *report)
{
    struct fw_run run = {
        .rand = g_rand_new_with_seed(seed),
        .steps = steps,
        .trace = g_string_new(NULL),
    };
    int failed;

    p->run(&run);
    failed = run.failure[0] != '\0';
    if (failed) {
        g_string_append_printf(report, "%s: failed: %s\nseed %u\n%s", p->name,
                               run.failure, seed, run.trace->str);
    }
    g_rand_free(run.rand);
    g_string_free(run.trace, TRUE);
    return failed;
}
