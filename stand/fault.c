/* Injected faults: set by control requests, active until cleared or used up.
 */
#include <errno.h>
#include <string.h>

#include "stand/port.h"

/* A fault that does not apply to a port's kind has no effect on it. */
static const char *const fault_names[] = {
    "die",     /* crashed: connections closed, state lost, until cleared */
    "die-in",  /* crash at stage; in decode after "after" tokens */
    "poison",  /* crash at stage if the prompt contains "text" */
    "stall",   /* no progress at stage until cleared */
    "late",    /* each token is sent ms later */
    "doubled", /* each token is sent twice */
    "out-of-order", /* tokens with an even index are sent three steps later */
    "leaving",      /* reports leaving and rejects prefills and imports */
    "order-delay",  /* orders are executed ms later */
    "load-lag",     /* load report refreshed every ms */
    "cache-late",   /* cache events are visible after ms */
    "cache-gap",    /* permille of the cache events are lost */
    "lost-answer",  /* request takes effect, connection closed */
    "refuse",       /* request has no effect, status is sent */
    "hang",         /* request has no effect and gets no response */
    "slow",         /* response is sent ms later */
    "rate",         /* log: rate limit, count appends per second */
    "retain",       /* log: last count records of a stream are kept */
    "list-lag",     /* list: changes are visible after ms */
    "weights-rate", /* weight store: count bytes per second */
};

const char *
Fw_StandFault_Names(void)
{
    static char *all;

    if (!all) {
        GString *s = g_string_new(NULL);

        for (size_t i = 0; i < G_N_ELEMENTS(fault_names); i++) {
            g_string_append_printf(s, "%s%s", i ? " " : "", fault_names[i]);
        }
        all = g_string_free(s, FALSE);
    }
    return all;
}

static int
is_known(const char *name)
{
    for (size_t i = 0; i < G_N_ELEMENTS(fault_names); i++) {
        if (strcmp(fault_names[i], name) == 0) {
            return 1;
        }
    }
    return 0;
}

static void
copy_str(JsonObject *o, const char *name, char *out, size_t size)
{
    g_strlcpy(out, json_object_get_string_member_with_default(o, name, ""),
              size);
}

int
Fw_StandFault_Set(struct fw_stand_port *port, JsonObject *o)
{
    const char *name =
        json_object_get_string_member_with_default(o, "name", "");
    struct fw_stand_fault *f;

    if (!is_known(name)) {
        return -EINVAL;
    }
    Fw_StandFault_Clear(port, name);
    if (strcmp(name, "die") == 0) {
        Fw_StandPort_Crash(
            port, json_object_get_int_member_with_default(o, "ms", 0));
        return 0;
    }
    f = g_new0(struct fw_stand_fault, 1);
    g_strlcpy(f->name, name, sizeof(f->name));
    f->duration_ms = json_object_get_int_member_with_default(o, "ms", 0);
    f->count = json_object_get_int_member_with_default(o, "count", -1);
    f->after_tokens = json_object_get_int_member_with_default(o, "after", 0);
    f->permille = json_object_get_int_member_with_default(o, "permille", 0);
    f->status = json_object_get_int_member_with_default(o, "status", 503);
    copy_str(o, "path", f->path_prefix, sizeof(f->path_prefix));
    copy_str(o, "text", f->prompt_marker, sizeof(f->prompt_marker));
    copy_str(o, "stage", f->stage, sizeof(f->stage));
    Fw_List_Append(&port->faults, &f->link);
    if (port->on_fault_change) {
        port->on_fault_change(port);
    }
    return 0;
}

static struct fw_stand_fault *
find(const struct fw_stand_port *port, const char *name)
{
    struct fw_list *pos;

    FW_LIST_EACH (pos, &port->faults) {
        struct fw_stand_fault *f =
            FW_LIST_ENTRY(pos, struct fw_stand_fault, link);

        if (strcmp(f->name, name) == 0) {
            return f;
        }
    }
    return NULL;
}

const struct fw_stand_fault *
Fw_StandFault_Find(const struct fw_stand_port *port, const char *name)
{
    return find(port, name);
}

const struct fw_stand_fault *
Fw_StandFault_Trigger(struct fw_stand_port *port, const char *name,
                      const char *path)
{
    struct fw_stand_fault *f = find(port, name);

    if (!f || f->count == 0 || !g_str_has_prefix(path, f->path_prefix)) {
        return NULL;
    }
    if (f->count > 0) {
        f->count--;
    }
    return f;
}

int
Fw_StandFault_Clear(struct fw_stand_port *port, const char *name)
{
    struct fw_stand_fault *f = find(port, name);

    if (!f) {
        return -ENOENT;
    }
    if (strcmp(name, "die") == 0 && port->restart_timer) {
        g_source_remove(port->restart_timer);
        port->restart_timer = 0;
    }
    Fw_List_Remove(&f->link);
    g_free(f);
    if (port->on_fault_change) {
        port->on_fault_change(port);
    }
    return 0;
}

void
Fw_StandFault_ClearAll(struct fw_stand_port *port)
{
    while (!Fw_List_Empty(&port->faults)) {
        struct fw_stand_fault *f =
            FW_LIST_ENTRY(port->faults.next, struct fw_stand_fault, link);

        Fw_StandFault_Clear(port, f->name);
    }
}
