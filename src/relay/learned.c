/*
 * What was learned of each service's streams, and how an instance that has
 * just started gets it from the others: for its first answers it would
 * otherwise fill engines by a blind guess.
 */
#include <errno.h>
#include <string.h>

#include "base/hash.h"
#include "core/pack.h"
#include "relay/relay_internal.h"

#define FW_FORM_LEARNED 5
/* Figures go as whole numbers, in thousandths. */
#define FW_FIGURE_SCALE 1000.0
/* A service's hash and its figures. */
#define FW_LEARNED_WIDTH (1 + FW_LENGTH_FIGURES)

struct fw_learned *
Fw_Learned_Of(const struct fw_relay *r, const char *service)
{
    struct fw_learned *l;

    for (guint i = 0; i < r->learned->len; i++) {
        l = g_ptr_array_index(r->learned, i);
        if (strcmp(l->service, service) == 0) {
            return l;
        }
    }
    l = g_new(struct fw_learned, 1);
    Fw_Learned_Init(l, service);
    g_ptr_array_add(r->learned, l);
    return l;
}

int
Fw_Relay_WriteLearned(const struct fw_relay *r, GByteArray *out)
{
    msgpack_packer pk;

    if (!r->learned->len) {
        return 0;
    }
    Fw_Pack_Begin(&pk, out);
    msgpack_pack_array(&pk, 2);
    msgpack_pack_int(&pk, FW_FORM_LEARNED);
    msgpack_pack_array(&pk, r->learned->len);
    for (guint i = 0; i < r->learned->len; i++) {
        const struct fw_learned *l = g_ptr_array_index(r->learned, i);
        double figures[FW_LENGTH_FIGURES];

        Fw_Length_Write(&l->length, figures);
        msgpack_pack_array(&pk, FW_LEARNED_WIDTH);
        msgpack_pack_uint64(&pk, Fw_Hash_Str(l->service));
        for (int k = 0; k < FW_LENGTH_FIGURES; k++) {
            msgpack_pack_int64(&pk, (int64_t)(figures[k] * FW_FIGURE_SCALE));
        }
    }
    return 1;
}

static void
adopt(struct fw_relay *r, const char *service,
      const msgpack_object_array *rows)
{
    uint64_t hash = Fw_Hash_Str(service);

    for (uint32_t i = 0; i < rows->size; i++) {
        double figures[FW_LENGTH_FIGURES];

        if ((uint64_t)Fw_Rows_Cell(rows, i, 0) != hash) {
            continue;
        }
        for (int k = 0; k < FW_LENGTH_FIGURES; k++) {
            figures[k] =
                (double)Fw_Rows_Cell(rows, i, k + 1) / FW_FIGURE_SCALE;
        }
        Fw_Length_Adopt(&Fw_Learned_Of(r, service)->length, figures);
    }
}

int
Fw_Learned_Read(struct fw_relay *r, const msgpack_object *o)
{
    const msgpack_object_array *rows;
    uint64_t form;

    if (o->type != MSGPACK_OBJECT_ARRAY || o->via.array.size != 2 ||
        Fw_Unpack_U64(o, 0, &form) || form != FW_FORM_LEARNED) {
        return -EBADMSG;
    }
    rows = Fw_Rows_Of(o, 1, FW_LEARNED_WIDTH);
    if (!rows) {
        return -EBADMSG;
    }
    for (guint i = 0; r->rules && i < r->rules->services->len; i++) {
        const struct fw_rl_service_rule *s =
            g_ptr_array_index(r->rules->services, i);

        if (s->engines) {
            adopt(r, s->name, rows);
        }
    }
    return 0;
}
