/* Requests of callers (API clients), and the responses to them. */
#ifndef FW_CORE_CALL_H
#define FW_CORE_CALL_H

#include <glib.h>
#include <stdint.h>

#include "base/limits.h"
#include "base/ran.h"

/** enum fw_call_kind - type of a request. */
enum fw_call_kind {
    FW_CALL_COMPLETION, /* also chat; the I/O shell joins the messages */
    FW_CALL_MODELS,
    FW_CALL_SERVICE,
};

/**
 * struct fw_call - a request that was received completely and validated.
 * @call: handle chosen by the I/O shell, unique in this process
 * @key: API key or NULL; valid for the current step only, never logged
 * @request_id: chosen by the caller, or empty
 * @idem_key: idempotency key, or empty
 * @deadline_us: monotonic time by which the response must be complete, 0 for
 *               none
 * @prompt_tokens: estimate, one token per four bytes
 * @path: path below /v1/services/NAME, with query
 */
struct fw_call {
    uint64_t call;
    enum fw_call_kind kind;
    const char *key;
    char request_id[FW_ID_MAX];
    char idem_key[FW_ID_MAX];
    int64_t deadline_us;
    char model[FW_NAME_MAX];
    GBytes *prompt;
    int64_t prompt_tokens;
    int64_t max_tokens;
    int stream;
    char service[FW_NAME_MAX];
    char method[16];
    const char *path;
    char content_type[64];
    GBytes *body;
};

/** struct fw_call_start - start of the response to a completion. */
struct fw_call_start {
    uint64_t call;
    char request_id[FW_ID_MAX];
    char model[FW_NAME_MAX];
};

/** struct fw_call_token - text of one output token; @index counts from 0. */
struct fw_call_token {
    uint64_t call;
    int64_t index;
    char *text; /* owned by the action */
};

/**
 * struct fw_call_end - the response to a completion is complete.
 * @reason: finish reason
 * @transfer_us: duration of the KV transfer
 * @prefill: name of the prefill engine
 * @decode: name of the decode engine
 */
struct fw_call_end {
    uint64_t call;
    char reason[16];
    int64_t prompt_tokens;
    int64_t output_tokens;
    int64_t cached_tokens;
    int64_t transfer_us;
    char prefill[FW_NAME_MAX];
    char decode[FW_NAME_MAX];
};

/**
 * struct fw_call_fail - a request was rejected or failed. Sent as an error
 * response, or as the final error event when a stream has already started.
 * @code: stable error code for programs, e.g. "rate_limited"
 * @retry_after_us: 0 when retrying later would not help
 */
struct fw_call_fail {
    uint64_t call;
    char request_id[FW_ID_MAX];
    int status;
    char code[32];
    char message[160];
    enum fw_ran ran;
    int64_t retry_after_us;
};

/**
 * struct fw_call_response - a complete response: of a plain service, of
 * /v1/models or to an operator's request.
 * @body: reference owned by the action
 */
struct fw_call_response {
    uint64_t call;
    char request_id[FW_ID_MAX];
    int status;
    char content_type[64];
    GBytes *body;
    enum fw_ran ran;
};

#endif
