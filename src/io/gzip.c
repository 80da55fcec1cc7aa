#include "io/gzip.h"

#include <errno.h>
#include <gio/gio.h>

/* Fastest level: repeated keys and names are most of the data. */
#define FW_GZIP_LEVEL 1
#define FW_GZIP_CHUNK_BYTES 32768

/* Return: 0, -EBADMSG or -EMSGSIZE. */
static int
convert(GConverter *converter, const guint8 *data, gsize len, gsize max,
        GByteArray *out)
{
    guint8 chunk[FW_GZIP_CHUNK_BYTES];
    GConverterResult result;

    do {
        gsize n_read = 0;
        gsize n_written = 0;

        result = g_converter_convert(converter, data, len, chunk,
                                     sizeof(chunk), G_CONVERTER_INPUT_AT_END,
                                     &n_read, &n_written, NULL);
        if (result == G_CONVERTER_ERROR) {
            return -EBADMSG;
        }
        if (n_written > max - out->len) {
            return -EMSGSIZE;
        }
        g_byte_array_append(out, chunk, (guint)n_written);
        data += n_read;
        len -= n_read;
    } while (result != G_CONVERTER_FINISHED);
    return 0;
}

void
Fw_Gzip_Compress(const void *data, gsize len, GByteArray *out)
{
    GZlibCompressor *z =
        g_zlib_compressor_new(G_ZLIB_COMPRESSOR_FORMAT_GZIP, FW_GZIP_LEVEL);
    int rc = convert(G_CONVERTER(z), data, len, G_MAXUINT, out);

    g_assert(rc == 0);
    g_object_unref(z);
}

int
Fw_Gzip_Decompress(const void *data, gsize len, gsize max, GByteArray *out)
{
    GZlibDecompressor *z =
        g_zlib_decompressor_new(G_ZLIB_COMPRESSOR_FORMAT_GZIP);
    int rc = convert(G_CONVERTER(z), data, len, max, out);

    g_object_unref(z);
    return rc;
}
