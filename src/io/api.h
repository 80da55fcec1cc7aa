/*
 * JSON of the completions API: parses and validates request bodies, writes
 * response bodies and stream chunks. Independent of sockets.
 */
#ifndef FW_IO_API_H
#define FW_IO_API_H

#include <glib.h>
#include <stdint.h>

#include "core/call.h"

/** enum fw_api - completion endpoint, which decides the JSON schema. */
enum fw_api {
    FW_API_COMPLETION, /* /v1/completions */
    FW_API_CHAT,       /* /v1/chat/completions */
};

/**
 * struct fw_api_limits - limits set by the configuration.
 * @prompt_tokens_max: requests with a longer prompt are rejected
 * @max_tokens_default: for requests that set no max_tokens
 */
struct fw_api_limits {
    int64_t prompt_tokens_max;
    int64_t max_tokens_default;
};

/**
 * struct fw_api_request - a validated completion request.
 * @prompt: owned by the caller of Fw_Api_Parse; the messages of a chat are
 *          joined into one text
 * @prompt_tokens: estimated from the length of the prompt
 * @include_usage: stream_options.include_usage
 */
struct fw_api_request {
    char model[FW_NAME_MAX];
    GBytes *prompt;
    int64_t prompt_tokens;
    int64_t max_tokens;
    int stream;
    int include_usage;
};

/**
 * struct fw_api_error - why a request was rejected.
 * @status: HTTP status
 * @code, @message: literals for the error response
 */
struct fw_api_error {
    int status;
    const char *code;
    const char *message;
};

/**
 * Fw_Api_Parse - parses and validates the body of a completion request.
 *
 * Return: 0, or -EBADMSG with @err set and nothing in @out to free.
 */
int
Fw_Api_Parse(enum fw_api api, const char *body, size_t len,
             const struct fw_api_limits *limits, struct fw_api_request *out,
             struct fw_api_error *err);

/**
 * Fw_Api_ParseDeadline - converts an RFC 3339 time to monotonic time.
 * @now_us: current monotonic time in microseconds
 *
 * Return: the deadline in microseconds, at least 1 even when it has passed,
 * or 0 when @text is not a time with an offset.
 */
int64_t
Fw_Api_ParseDeadline(const char *text, int64_t now_us);

/*
 * Nonzero when @id consists of 1 to FW_ID_MAX - 1 visible ASCII characters
 * other than double quote and backslash.
 */
int
Fw_Api_IsValidId(const char *id);

/**
 * struct fw_api_response - fields common to all chunks of one response.
 * @created_s: Unix time in seconds
 * @include_usage: add a chunk with token counts to a stream
 */
struct fw_api_response {
    enum fw_api api;
    int64_t created_s;
    int include_usage;
    char request_id[FW_ID_MAX];
    char model[FW_NAME_MAX];
};

/*
 * Chunks of a streamed response, appended to @out as server-sent events. The
 * first chunk carries the role of a chat message and is empty for
 * FW_API_COMPLETION. The final one carries the finish reason; it is followed
 * by a chunk with token counts, if requested, and by "data: [DONE]".
 */
void
Fw_Api_WriteFirstChunk(const struct fw_api_response *resp, GString *out);
void
Fw_Api_WriteTextChunk(const struct fw_api_response *resp, const char *text,
                      GString *out);
void
Fw_Api_WriteFinalChunk(const struct fw_api_response *resp,
                       const struct fw_call_end *end, GString *out);
/* Writes the response to a request without "stream". */
void
Fw_Api_WriteResponse(const struct fw_api_response *resp, const char *text,
                     const struct fw_call_end *end, GString *out);
/* Writes {"error":{...}}, with the run verdict @ran as a member. */
void
Fw_Api_WriteError(int status, const char *code, const char *message,
                  enum fw_ran ran, GString *out);

#endif
