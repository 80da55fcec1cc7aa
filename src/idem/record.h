/*
 * Records of the idempotency log streams.
 *
 * All readers apply the same records in the same order, so they agree on the
 * first attempt of a key without further coordination.
 */
#ifndef FW_IDEM_RECORD_H
#define FW_IDEM_RECORD_H

#include <glib.h>
#include <stdint.h>

#include "base/limits.h"
#include "base/ran.h"

/* Larger bodies are not stored, which bounds the size of a read. */
#define FW_IDEM_BODY_BYTES_MAX 4096
#define FW_IDEM_DIGEST_MAX 33 /* 128 bits in hex and the closing NUL */
#define FW_IDEM_OWNER_MAX (FW_NAME_MAX + 40) /* INSTANCE.BOOT.SEQ */

/** enum fw_idem_record_kind - kind of a record. */
enum fw_idem_record_kind {
    FW_IDEM_REC_INTENT,
    FW_IDEM_REC_OUTCOME,
    FW_IDEM_REC_MARK, /* timestamp only, for streams without other records */
};

/**
 * struct fw_idem_record - one record.
 * @at_ms: wall-clock time of the writer, not below the largest time in the
 *         records that it has read
 * @digest: of service, team and idempotency key
 * @owner: attempt that the record is about, as INSTANCE.BOOT.SEQ
 * @body_hash: hash of the request body, for an intent
 * @ran, @status, @content_type, @body: for an outcome
 * @body_omitted: the response body was too large to be stored
 */
struct fw_idem_record {
    enum fw_idem_record_kind kind;
    int64_t at_ms;
    char digest[FW_IDEM_DIGEST_MAX];
    char owner[FW_IDEM_OWNER_MAX];
    uint64_t body_hash;
    enum fw_ran ran;
    int status;
    char content_type[64];
    GBytes *body;
    int body_omitted;
};

/* Return: a JSON text, to be freed with g_free. */
char *
Fw_Idem_FormatRecord(const struct fw_idem_record *rec);
/**
 * Fw_Idem_ParseRecord - parses a record from its JSON text.
 * @rec: filled; to be cleared with Fw_Idem_ClearRecord
 *
 * Return: 0, or -EBADMSG for an unknown or malformed record; @rec then owns
 * no memory.
 */
int
Fw_Idem_ParseRecord(const char *text, struct fw_idem_record *rec);
void
Fw_Idem_ClearRecord(struct fw_idem_record *rec);

/* Writes the hex digest that identifies a key to @out, which holds at least
 * FW_IDEM_DIGEST_MAX bytes. */
void
Fw_Idem_Digest(const char *service, const char *team, const char *idem_key,
               char *out);

#endif
