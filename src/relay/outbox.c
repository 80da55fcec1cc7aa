/* Messages queued for sending. */
#include "relay/relay_internal.h"

void
Fw_Outbox_Init(struct fw_rl_outbox *outbox)
{
    outbox->all = g_ptr_array_new_with_free_func(g_free);
}

void
Fw_Outbox_Clear(struct fw_rl_outbox *outbox)
{
    for (guint i = 0; i < outbox->all->len; i++) {
        struct fw_rl_datagram *d = g_ptr_array_index(outbox->all, i);

        g_bytes_unref(d->data);
    }
    g_ptr_array_set_size(outbox->all, 0);
}

void
Fw_Outbox_AddShared(struct fw_rl_outbox *outbox, const char *addr,
                    GBytes *data)
{
    struct fw_rl_datagram *d = g_new0(struct fw_rl_datagram, 1);

    g_strlcpy(d->addr, addr, sizeof(d->addr));
    d->data = g_bytes_ref(data);
    g_ptr_array_add(outbox->all, d);
}

void
Fw_Outbox_Add(struct fw_rl_outbox *outbox, const char *addr,
              const GByteArray *msg)
{
    GBytes *data = g_bytes_new(msg->data, msg->len);

    Fw_Outbox_AddShared(outbox, addr, data);
    g_bytes_unref(data);
}
