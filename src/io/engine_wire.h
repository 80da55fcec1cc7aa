/*
 * The HTTP and JSON protocol of the engines (docs/PROTOCOLS.md): encodes
 * calls and decodes responses of core/up.h. To support engines with another
 * protocol, replace engine_encode.c and engine_decode.c.
 */
#ifndef FW_IO_ENGINE_WIRE_H
#define FW_IO_ENGINE_WIRE_H

#include <json-glib/json-glib.h>
#include <libsoup/soup.h>

#include "core/up.h"

/**
 * Fw_Engine_EncodeRequest - builds the HTTP request for a call.
 *
 * Return: a new message, or NULL when the upstream's URL is invalid.
 */
SoupMessage *
Fw_Engine_EncodeRequest(const struct fw_up_start *up);

/**
 * Fw_Engine_DecodeStreamLine - parses one line of a decode stream.
 * @ev: set to PIECE with u.token, or to DONE with u.end
 * @root: owns the strings that @ev refers to; unref it after use of @ev
 *
 * Return: 0, or -EBADMSG with @root set to NULL.
 */
int
Fw_Engine_DecodeStreamLine(const char *line, size_t len,
                           struct fw_up_event *ev, JsonNode **root);

/**
 * struct fw_engine_response - owns the memory that a decoded event refers to.
 * @root: parsed JSON, or NULL
 * @request_ids: ids of FW_UP_LIST_REQUESTS; the strings belong to @root
 * @attached: per request id, nonzero while its client is connected
 */
struct fw_engine_response {
    JsonNode *root;
    const char **request_ids;
    unsigned char *attached;
    struct fw_up_cache_event *cache_events;
};

/**
 * Fw_Engine_DecodeResponse - parses the response body of a successful call.
 * @ev: its kind selects the format; the result is stored in its u
 * @resp: to be released with Fw_Engine_ClearResponse, also after an error
 *
 * Return: 0 or -EBADMSG.
 */
int
Fw_Engine_DecodeResponse(GBytes *body, struct fw_up_event *ev,
                         struct fw_engine_response *resp);
void
Fw_Engine_ClearResponse(struct fw_engine_response *resp);

#endif
