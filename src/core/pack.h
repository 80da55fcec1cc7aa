/* Short helpers over msgpack-c for the subsystems' codecs. */
#ifndef FW_CORE_PACK_H
#define FW_CORE_PACK_H

#include <glib.h>
#include <msgpack.h>
#include <stdint.h>

/* Makes @pk append to @out. */
void
Fw_Pack_Begin(msgpack_packer *pk, GByteArray *out);
void
Fw_Pack_Str(msgpack_packer *pk, const char *s);

/*
 * Readers of element @i of an array object; 0 or -EBADMSG when it is missing
 * or of another type. A string that does not fit @size is -EBADMSG too.
 */
int
Fw_Unpack_Str(const msgpack_object *arr, uint32_t i, char *out, size_t size);
int
Fw_Unpack_I64(const msgpack_object *arr, uint32_t i, int64_t *out);
int
Fw_Unpack_U64(const msgpack_object *arr, uint32_t i, uint64_t *out);
/* The nested array at @i, or NULL. */
const msgpack_object *
Fw_Unpack_Array(const msgpack_object *arr, uint32_t i);

#endif
