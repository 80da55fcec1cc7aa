#include "base/hash.h"

#include <glib.h>
#include <string.h>
#include <xxhash.h>

uint64_t
Fw_Hash_Bytes(const void *data, size_t len, uint64_t seed)
{
    return XXH3_64bits_withSeed(data, len, seed);
}

uint64_t
Fw_Hash_Str(const char *s)
{
    return XXH3_64bits_withSeed(s, strlen(s), 0);
}

uint64_t
Fw_Hash_Weight(uint64_t key, const char *node)
{
    return XXH3_64bits_withSeed(node, strlen(node), key);
}

void
Fw_Hash_KeyDigest(const char *key, char *out)
{
    char *hex = g_compute_checksum_for_string(G_CHECKSUM_SHA256, key, -1);

    g_strlcpy(out, hex, FW_DIGEST_HEX_SIZE);
    g_free(hex);
}

int
Fw_Hash_DigestEqual(const char *a, const char *b)
{
    unsigned char diff = 0;

    if (strlen(a) != FW_DIGEST_HEX_SIZE - 1 ||
        strlen(b) != FW_DIGEST_HEX_SIZE - 1) {
        return 0;
    }
    for (size_t i = 0; i < FW_DIGEST_HEX_SIZE - 1; i++) {
        diff |= (unsigned char)(a[i] ^ b[i]);
    }
    return diff == 0;
}
