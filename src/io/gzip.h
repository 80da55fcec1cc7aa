/* Compression of bodies that instances send each other. */
#ifndef FW_IO_GZIP_H
#define FW_IO_GZIP_H

#include <glib.h>

/* Appends the compressed @data to @out. */
void
Fw_Gzip_Compress(const void *data, gsize len, GByteArray *out);
/*
 * Appends the decompressed @data to @out. Return: 0, -EBADMSG if it is not
 * valid, or -EMSGSIZE if @out would exceed @max bytes.
 */
int
Fw_Gzip_Decompress(const void *data, gsize len, gsize max, GByteArray *out);

#endif
