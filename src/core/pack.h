/* Helpers over msgpack-c for encoding and decoding messages. */
#ifndef FW_CORE_PACK_H
#define FW_CORE_PACK_H

#include <glib.h>
#include <msgpack.h>
#include <stdint.h>

/* Initialises @pk to append to @out. */
void
Fw_Pack_Begin(msgpack_packer *pk, GByteArray *out);
void
Fw_Pack_Str(msgpack_packer *pk, const char *s);

/*
 * Read element @i of the array @arr. Return: 0, or -EBADMSG when @arr is no
 * array, the element is missing, has another type or is out of range, or a
 * string contains NUL or exceeds @size with its terminating NUL.
 */
int
Fw_Unpack_Str(const msgpack_object *arr, uint32_t i, char *out, size_t size);
int
Fw_Unpack_I64(const msgpack_object *arr, uint32_t i, int64_t *out);
int
Fw_Unpack_U64(const msgpack_object *arr, uint32_t i, uint64_t *out);
/* Returns element @i of @arr when it is an array, else NULL. */
const msgpack_object *
Fw_Unpack_Array(const msgpack_object *arr, uint32_t i);

#endif
