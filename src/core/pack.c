#include "core/pack.h"

#include <errno.h>
#include <string.h>

static int
append(void *data, const char *buf, size_t len)
{
    g_byte_array_append(data, (const guint8 *)buf, (guint)len);
    return 0;
}

void
Fw_Pack_Begin(msgpack_packer *pk, GByteArray *out)
{
    msgpack_packer_init(pk, out, append);
}

void
Fw_Pack_Str(msgpack_packer *pk, const char *s)
{
    msgpack_pack_str_with_body(pk, s, strlen(s));
}

static const msgpack_object *
element(const msgpack_object *arr, uint32_t i)
{
    if (arr->type != MSGPACK_OBJECT_ARRAY || i >= arr->via.array.size) {
        return NULL;
    }
    return &arr->via.array.ptr[i];
}

int
Fw_Unpack_Str(const msgpack_object *arr, uint32_t i, char *out, size_t size)
{
    const msgpack_object *o = element(arr, i);

    if (!o || o->type != MSGPACK_OBJECT_STR || o->via.str.size >= size) {
        return -EBADMSG;
    }
    out[0] = '\0';
    if (o->via.str.size == 0) {
        return 0; /* o->via.str.ptr may be NULL */
    }
    if (memchr(o->via.str.ptr, '\0', o->via.str.size)) {
        return -EBADMSG;
    }
    memcpy(out, o->via.str.ptr, o->via.str.size);
    out[o->via.str.size] = '\0';
    return 0;
}

int
Fw_Unpack_I64(const msgpack_object *arr, uint32_t i, int64_t *out)
{
    const msgpack_object *o = element(arr, i);

    if (!o) {
        return -EBADMSG;
    }
    if (o->type == MSGPACK_OBJECT_NEGATIVE_INTEGER) {
        *out = o->via.i64;
        return 0;
    }
    if (o->type != MSGPACK_OBJECT_POSITIVE_INTEGER || o->via.u64 > INT64_MAX) {
        return -EBADMSG;
    }
    *out = (int64_t)o->via.u64;
    return 0;
}

int
Fw_Unpack_U64(const msgpack_object *arr, uint32_t i, uint64_t *out)
{
    const msgpack_object *o = element(arr, i);

    if (!o || o->type != MSGPACK_OBJECT_POSITIVE_INTEGER) {
        return -EBADMSG;
    }
    *out = o->via.u64;
    return 0;
}

const msgpack_object *
Fw_Unpack_Array(const msgpack_object *arr, uint32_t i)
{
    const msgpack_object *o = element(arr, i);

    return o && o->type == MSGPACK_OBJECT_ARRAY ? o : NULL;
}
