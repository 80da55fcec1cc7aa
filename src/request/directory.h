/*
 * Directory of the instances that run requests with a caller's id.
 *
 * Each entry is held in memory by one instance, chosen by rendezvous hash of
 * the key. The directory is best effort: when an entry is missing or wrong,
 * or two instances hold one, the request may run twice.
 */
#ifndef FW_REQUEST_DIRECTORY_H
#define FW_REQUEST_DIRECTORY_H

#include <glib.h>
#include <stdint.h>

#include "base/limits.h"

#define FW_DIRECTORY_TTL_US (600 * FW_SEC)
#define FW_DIRECTORY_ENTRIES_MAX 8192

/** struct fw_directory - @entries: key to owner; see directory.c. */
struct fw_directory {
    GHashTable *entries;
};

void
Fw_Directory_Init(struct fw_directory *d);
void
Fw_Directory_Fini(struct fw_directory *d);

/**
 * Fw_Directory_Claim - looks up the owner of @key, or makes @asker the owner.
 * @key: from Fw_Join_Key
 *
 * Return: the recorded owner, else @asker. Valid until the directory changes.
 */
const char *
Fw_Directory_Claim(struct fw_directory *d, uint64_t key, const char *asker,
                   int64_t now_us);
/* Replaces the owner of @key. Does nothing when the directory is full. */
void
Fw_Directory_Set(struct fw_directory *d, uint64_t key, const char *owner,
                 int64_t now_us);
/* Removes entries set more than FW_DIRECTORY_TTL_US ago. */
void
Fw_Directory_Expire(struct fw_directory *d, int64_t now_us);

#endif
