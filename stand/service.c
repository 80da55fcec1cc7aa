/* Server of a plain service: idempotent readings, non-idempotent orders. */
#include <inttypes.h>
#include <string.h>

#include "stand/stand.h"

struct fw_stand_service {
    struct fw_stand_port port;
    int64_t orders;
};

/* Ignores the idempotency key, so a repeated order takes effect twice. */
static void
receive_order(struct fw_stand_service *p, struct fw_stand_reply *r)
{
    SoupMessageHeaders *h = soup_server_message_get_request_headers(r->msg);
    const char *key = soup_message_headers_get_one(h, "Idempotency-Key");

    Fw_StandJournal_Add(r, "order", key ? key : "");
    Fw_StandReply_Json(r, 201, "{\"order\":%" PRId64 ",\"server\":\"%s\"}",
                       ++p->orders, p->port.name);
}

static void
handle(struct fw_stand_reply *r)
{
    const char *method = soup_server_message_get_method(r->msg);

    if (strcmp(method, "GET") == 0 && strcmp(r->path, "/readings") == 0) {
        Fw_StandJournal_Add(r, "reading", "");
        Fw_StandReply_Text(r, 200, "application/json",
                           "{\"readings\":[{\"station\":\"cacilhas\","
                           "\"slack_water\":\"06:42\",\"height_cm\":112}]}");
    }
    else if (strcmp(method, "POST") == 0 && strcmp(r->path, "/orders") == 0) {
        receive_order(r->port->owner, r);
    }
    else {
        Fw_StandReply_Error(r, 404, "no such call");
    }
}

struct fw_stand_port *
Fw_StandService_New(struct fw_stand *s, const char *name, const char *domain)
{
    struct fw_stand_service *p = g_new0(struct fw_stand_service, 1);

    p->port.owner = p;
    p->port.handle = handle;
    return Fw_StandPort_Open(&p->port, s, "service", name, domain);
}
