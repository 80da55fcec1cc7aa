/* Requests to the platform's append-only log and to its registry. */
#ifndef FW_CORE_LOG_H
#define FW_CORE_LOG_H

#include <stdint.h>

#include "base/limits.h"

/* Names of log streams; a partitioned stream appends "-N". */
#define FW_STREAM_CONFIG "config"
#define FW_STREAM_SNAPSHOT "snapshot"
#define FW_STREAM_ROLES "roles"
#define FW_STREAM_IDEM "idem"

/**
 * struct fw_log_append - append @records atomically and in order.
 * @ticket: id that is returned with the result
 */
struct fw_log_append {
    uint64_t ticket;
    char stream[FW_NAME_MAX];
    int n;
    char **records; /* JSON, owned by the action */
};

/**
 * struct fw_log_read - read records starting at @from_offset.
 * @ticket: id that is returned with the result
 * @wait_us: long poll: how long the log may wait for a first record
 */
struct fw_log_read {
    uint64_t ticket;
    char stream[FW_NAME_MAX];
    uint64_t from_offset;
    int max_records;
    int64_t wait_us;
};

/**
 * struct fw_log_appended - result of an append.
 * @err: 0 on success, -EAGAIN when nothing was appended, -EIO when the
 *       outcome is unknown
 * @first_offset: offset of the first appended record when @err is 0
 */
struct fw_log_appended {
    uint64_t ticket;
    char stream[FW_NAME_MAX];
    int err;
    uint64_t first_offset;
};

/**
 * struct fw_log_records - result of a read.
 * @err: 0 or a negative errno
 * @sent_us: monotonic time when the read was sent; every record appended
 *           before it is visible to the read, up to the requested limit
 * @first_offset: offset of records[0]; higher than requested when older
 *                records have expired
 * @oldest_offset: lowest offset still retained
 * @end_offset: offset of the next record to be appended
 */
struct fw_log_records {
    uint64_t ticket;
    char stream[FW_NAME_MAX];
    int err;
    int64_t sent_us;
    uint64_t first_offset;
    uint64_t oldest_offset;
    uint64_t end_offset;
    int n;
    const char *const *records; /* JSON, valid for the current step only */
};

/** enum fw_registry_kind - type of a registry entry. */
enum fw_registry_kind {
    FW_REGISTRY_INSTANCE,
    FW_REGISTRY_UPSTREAM,
};

/**
 * struct fw_registry_entry - one entry of the platform's registry, which is
 * eventually consistent.
 * @addr: address that peers or callers of an upstream connect to
 * @domain: failure domain
 * @draining: nonzero while the instance or upstream is draining
 */
struct fw_registry_entry {
    enum fw_registry_kind kind;
    char name[FW_NAME_MAX];
    char addr[FW_URL_MAX];
    char domain[FW_NAME_MAX];
    char region[FW_NAME_MAX];
    int draining;
};

/**
 * struct fw_registry_snapshot - contents of the registry.
 * @err: 0 or a negative errno
 * @entries: valid for the current step only
 */
struct fw_registry_snapshot {
    int err;
    int n;
    const struct fw_registry_entry *entries;
};

#endif
