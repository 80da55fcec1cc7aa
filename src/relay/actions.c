#include <stdarg.h>
#include <stdio.h>

#include "relay/relay_internal.h"

static void
clear_action(gpointer data)
{
    struct fw_rl_action *a = data;

    if (a->kind == FW_RL_DO_CALL) {
        g_free((char *)a->u.upstream_call.server);
        g_free((char *)a->u.upstream_call.team);
        g_free((char *)a->u.upstream_call.path);
    }
}

void
Fw_RelayActions_Init(struct fw_rl_actions *acts)
{
    acts->all = g_array_new(FALSE, TRUE, sizeof(struct fw_rl_action));
    g_array_set_clear_func(acts->all, clear_action);
}

void
Fw_RelayActions_Clear(struct fw_rl_actions *acts)
{
    if (acts->all) {
        g_array_unref(acts->all);
        acts->all = NULL;
    }
}

struct fw_rl_action *
Fw_RelayActions_Add(struct fw_rl_actions *acts, enum fw_rl_action_kind kind)
{
    struct fw_rl_action *a;

    g_array_set_size(acts->all, acts->all->len + 1);
    a = &g_array_index(acts->all, struct fw_rl_action, acts->all->len - 1);
    a->kind = kind;
    return a;
}

/* The request, and with it the configuration, may end before the call starts.
 */
void
Fw_RelayActions_AddCall(struct fw_rl_actions *acts,
                        const struct fw_rl_upstream_call *up)
{
    struct fw_rl_upstream_call *u =
        &Fw_RelayActions_Add(acts, FW_RL_DO_CALL)->u.upstream_call;

    *u = *up;
    u->server = g_strdup(up->server ? up->server : "");
    u->team = g_strdup(up->team ? up->team : "");
    u->path = g_strdup(up->path ? up->path : "");
}

/*
 * Turns a truncated list of JSON members into a single string member, so that
 * the line stays valid JSON.
 */
static void
wrap_truncated_text(char text[FW_RL_LOG_TEXT_MAX])
{
    static const char head[] = "\"cut_off\":\"";
    size_t at = sizeof(head) - 1;
    char *copy = g_strdup(text);

    memcpy(text, head, at);
    for (const char *p = copy; *p && at < FW_RL_LOG_TEXT_MAX - 2; p++) {
        text[at++] = *p == '"' || *p == '\\' ? '\'' : *p;
    }
    text[at++] = '"';
    text[at] = 0;
    g_free(copy);
}

void
Fw_RelayActions_Log(struct fw_rl_actions *acts, const struct fw_relay *r,
                    int severity, const char *event, const char *fmt, ...)
{
    struct fw_rl_action *a;
    va_list ap;
    int n;

    if (severity > r->opts.log_level) {
        return;
    }
    a = Fw_RelayActions_Add(acts, FW_RL_DO_LOG);
    a->u.log.severity = severity;
    a->u.log.event = event;
    va_start(ap, fmt);
    n = vsnprintf(a->u.log.text, sizeof(a->u.log.text), fmt, ap);
    va_end(ap);
    if (n >= FW_RL_LOG_TEXT_MAX) {
        wrap_truncated_text(a->u.log.text);
    }
}
