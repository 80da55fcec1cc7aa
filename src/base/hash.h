/* XXH3 for placement, SHA-256 for API keys. */
#ifndef FW_BASE_HASH_H
#define FW_BASE_HASH_H

#include <stddef.h>
#include <stdint.h>

#define FW_DIGEST_HEX_SIZE 65 /* bytes of a SHA-256 in hex, with NUL */

uint64_t
Fw_Hash_Bytes(const void *data, size_t len, uint64_t seed);
uint64_t
Fw_Hash_Str(const char *s);

/**
 * Fw_Hash_Weight - rendezvous weight of @node for @key.
 *
 * A key belongs to the node with the highest weight, so removing a node
 * remaps only the keys that it owned.
 */
uint64_t
Fw_Hash_Weight(uint64_t key, const char *node);

/**
 * Fw_Hash_KeyDigest - hex SHA-256 of a caller's API key.
 * @out: at least FW_DIGEST_HEX_SIZE bytes
 */
void
Fw_Hash_KeyDigest(const char *key, char *out);

/**
 * Fw_Hash_DigestEqual - compares two hex digests in constant time, so that
 * response times reveal nothing about a valid digest.
 *
 * Return: 1 when both have the length of a digest and are equal, else 0.
 */
int
Fw_Hash_DigestEqual(const char *a, const char *b);

#endif
