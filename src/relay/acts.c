#include <stdarg.h>
#include <stdio.h>

#include "relay/relay_internal.h"

void
Fw_Acts_Init(struct fw_rl_acts *acts)
{
    acts->all = g_array_new(FALSE, TRUE, sizeof(struct fw_rl_act));
}

void
Fw_Acts_Clear(struct fw_rl_acts *acts)
{
    if (acts->all) {
        g_array_unref(acts->all);
        acts->all = NULL;
    }
}

struct fw_rl_act *
Fw_Acts_Add(struct fw_rl_acts *acts, enum fw_rl_act_kind kind)
{
    struct fw_rl_act *a;

    g_array_set_size(acts->all, acts->all->len + 1);
    a = &g_array_index(acts->all, struct fw_rl_act, acts->all->len - 1);
    a->kind = kind;
    return a;
}

void
Fw_Acts_Log(struct fw_rl_acts *acts, const struct fw_relay *r, int severity,
            const char *event, const char *fmt, ...)
{
    struct fw_rl_act *a;
    va_list ap;

    if (severity > r->opts.log_level) {
        return;
    }
    a = Fw_Acts_Add(acts, FW_RL_DO_LOG);
    a->u.log.severity = severity;
    a->u.log.event = event;
    va_start(ap, fmt);
    vsnprintf(a->u.log.text, sizeof(a->u.log.text), fmt, ap);
    va_end(ap);
}
